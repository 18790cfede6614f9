//! Tables of the root state, reads, snapshots and the verifier.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use bronzespoke_model::{config, id, service, team, vm};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{allotments, command, view};
use crate::{dedupe, envelope, error, escrow, shared};

/// An availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// Region.
    pub region: id::RegionId,
    /// Wall time of the addition, in milliseconds.
    pub added_ms: u64,
    /// Whether the zone was there before any request id was claimed.
    pub founding: bool,
    /// Wall time of the declaration that the zone is lost, in milliseconds.
    pub lost_ms: Option<u64>,
}

/// Availability zones.
pub type Zones = BTreeMap<id::AvailabilityZoneId, Zone>;

/// Allotments of all teams.
pub type Allotments = BTreeMap<id::TeamId, Arc<BTreeMap<id::AvailabilityZoneId, allotments::Allotment>>>;

/// Safety rules that tests switch off to show that the checks catch their absence.
#[doc(hidden)]
#[derive(Debug, Clone, Copy)]
#[expect(clippy::struct_excessive_bools, reason = "each rule is switched on its own")]
pub struct Rules {
    /// Grants are refused above the limit.
    pub limit: bool,
    /// A withdrawn key cannot be granted.
    pub withdrawn: bool,
    /// A configuration change needs the version in force.
    pub version: bool,
    /// A resent command gets its first outcome.
    pub dedupe: bool,
    /// An older snapshot is refused.
    pub snapshot: bool,
    /// Granted counters only grow.
    pub monotonic: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            limit: true,
            withdrawn: true,
            version: true,
            dedupe: true,
            snapshot: true,
            monotonic: true,
        }
    }
}

/// State of the root group.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct State {
    pub(super) applied: u64,
    pub(super) now_ms: u64,
    pub(super) version: id::ConfigVersion,
    pub(super) config: config::Config,
    pub(super) config_command: Option<id::CommandId>,
    pub(super) next_team: id::TeamId,
    pub(super) next_service: id::ServiceId,
    pub(super) next_queue: id::QueueId,
    pub(super) keys: Arc<BTreeMap<team::KeyHash, id::TeamId>>,
    /// Withdrawn keys with the order of their withdrawal.
    pub(super) withdrawn: shared::Map<team::KeyHash, u64>,
    pub(super) withdrawals: u64,
    pub(super) teams: Arc<BTreeMap<id::TeamId, Arc<team::Team>>>,
    pub(super) team_names: Arc<BTreeMap<String, id::TeamId>>,
    pub(super) services: Arc<BTreeMap<String, service::Service>>,
    pub(super) queues: Arc<BTreeMap<String, service::Queue>>,
    pub(super) vms: Arc<BTreeMap<id::VmId, vm::Vm>>,
    pub(super) zones: Arc<Zones>,
    /// VM that founded the group of each zone.
    pub(super) founders: BTreeMap<id::AvailabilityZoneId, id::VmId>,
    pub(super) drains: Arc<BTreeSet<command::Subject>>,
    #[serde(rename = "parts")]
    pub(super) allotments: Arc<Allotments>,
    /// Most that the allotments of a team may add up to: the limit, or what was out when the limit was lowered.
    pub(super) ceilings: BTreeMap<id::TeamId, escrow::Total>,
    pub(super) commands: dedupe::Table<command::Outcome>,
    #[serde(skip)]
    pub(super) rules: Rules,
}

impl State {
    /// Returns the state before the first entry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the state before the first entry, with some safety rules switched off.
    #[doc(hidden)]
    pub fn with_rules(rules: Rules) -> Self {
        Self {
            rules,
            ..Self::default()
        }
    }

    /// Returns the last index applied.
    pub const fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the version of the configuration.
    pub const fn version(&self) -> id::ConfigVersion {
        self.version
    }

    /// Returns the teams.
    pub fn teams(&self) -> &BTreeMap<id::TeamId, Arc<team::Team>> {
        &self.teams
    }

    /// Returns the availability zones.
    pub fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Returns the VM that founded the group of a zone.
    pub fn founder(&self, zone: id::AvailabilityZoneId) -> Option<id::VmId> {
        self.founders.get(&zone).copied()
    }

    /// Returns the zones that were not declared lost.
    pub fn open_zones(&self) -> impl Iterator<Item = id::AvailabilityZoneId> {
        self.zones
            .iter()
            .filter(|(_, zone)| zone.lost_ms.is_none())
            .map(|(zone, _)| *zone)
    }

    /// Returns the allotment of a team in a zone.
    pub fn allotment(&self, team: id::TeamId, zone: id::AvailabilityZoneId) -> Option<allotments::Allotment> {
        self.allotments.get(&team)?.get(&zone).copied()
    }

    /// Returns the sum of the allotments of a team that are not known to be released.
    pub fn outstanding(&self, team: id::TeamId) -> escrow::Total {
        self.allotments
            .get(&team)
            .map_or(escrow::Total::ZERO, |allotments| {
                allotments.values().fold(escrow::Total::ZERO, |all, allotment| {
                    all.saturating_add(&allotment.outstanding())
                })
            })
    }

    /// Returns what may still be granted to a team.
    pub fn room(&self, team: id::TeamId) -> escrow::Total {
        self.teams.get(&team).map_or(escrow::Total::ZERO, |record| {
            escrow::Total::from(record.quota.limit).saturating_sub(&self.outstanding(team))
        })
    }

    /// Tells whether the limit of a team is in force: its allotments add up to no more than the limit.
    pub fn limit_in_force(&self, team: id::TeamId) -> bool {
        self.teams
            .get(&team)
            .is_some_and(|record| self.outstanding(team).fits(&record.quota.limit.into()))
    }

    /// Returns the first outcome of a command id that is still remembered.
    pub fn outcome(&self, id: id::CommandId) -> Option<command::Outcome> {
        self.commands.get(id)
    }

    /// Returns a view of the state; the cost does not depend on the sizes of the tables.
    pub fn view(&self) -> Arc<view::View> {
        Arc::new(view::View {
            applied: self.applied,
            version: self.version,
            config: self.config.clone(),
            keys: Arc::clone(&self.keys),
            teams: Arc::clone(&self.teams),
            team_names: Arc::clone(&self.team_names),
            services: Arc::clone(&self.services),
            queues: Arc::clone(&self.queues),
            vms: Arc::clone(&self.vms),
            zones: Arc::clone(&self.zones),
            drains: Arc::clone(&self.drains),
            allotments: Arc::clone(&self.allotments),
        })
    }

    /// Encodes the whole state as a snapshot.
    pub fn encode(&self) -> Bytes {
        envelope::to_bytes(self)
    }

    /// Decodes a snapshot and checks it.
    pub fn decode(bytes: &[u8]) -> Result<Self, error::Error> {
        let state: Self = envelope::from_bytes(bytes)?;
        state.verify().map_err(error::Error::Invariant)?;
        Ok(state)
    }

    /// Replaces the state by a snapshot; a snapshot older than the state is refused and changes nothing.
    pub fn install(&mut self, bytes: &[u8]) -> Result<(), error::Error> {
        self.replace(Self::decode(bytes)?).map(drop)
    }

    /// Replaces the state by a decoded snapshot and returns the former one, which takes milliseconds to drop. A snapshot
    /// older than the state is refused and changes nothing.
    pub fn replace(&mut self, mut state: Self) -> Result<Self, error::Error> {
        if self.rules.snapshot && state.applied < self.applied {
            return Err(error::Error::Older {
                snapshot: state.applied,
                applied: self.applied,
            });
        }
        state.rules = self.rules;
        Ok(std::mem::replace(self, state))
    }

    /// Checks every invariant of the tables.
    pub fn verify(&self) -> Result<(), String> {
        self.withdrawn.verify()?;
        self.commands.verify()?;
        self.verify_names()?;
        self.verify_keys()?;
        for (team, allotments) in self.allotments.iter() {
            self.verify_parts(*team, allotments)?;
        }
        Ok(())
    }

    fn verify_names(&self) -> Result<(), String> {
        if self.team_names.len() != self.teams.len() {
            return Err(String::from("teams and team names differ in number"));
        }
        for (name, id) in self.team_names.iter() {
            if self.teams.get(id).is_none_or(|team| team.name != *name) {
                return Err(format!("team name {name} has no team"));
            }
        }
        for vm in self.vms.values() {
            if !self.zones.contains_key(&vm.place.zone) {
                return Err(format!("vm {} is in an unknown zone", vm.name));
            }
        }
        Ok(())
    }

    fn verify_keys(&self) -> Result<(), String> {
        for (hash, team) in self.keys.iter() {
            if self.withdrawn.contains_key(hash) {
                return Err(String::from("a key is both granted and withdrawn"));
            }
            if !self.teams.contains_key(team) {
                return Err(format!("a key speaks for team {team}, which does not exist"));
            }
        }
        if self.withdrawn.values().any(|order| *order > self.withdrawals) {
            return Err(String::from("a withdrawal is newer than the last one"));
        }
        Ok(())
    }

    fn verify_parts(
        &self,
        team: id::TeamId,
        allotments: &BTreeMap<id::AvailabilityZoneId, allotments::Allotment>,
    ) -> Result<(), String> {
        let Some(record) = self.teams.get(&team) else {
            return Err(format!("team {team} has allotments but does not exist"));
        };
        let limit = escrow::Total::from(record.quota.limit);
        let targets: Vec<escrow::Total> = allotments
            .values()
            .map(|allotment| allotment.target.into())
            .collect();
        if !escrow::sum(&targets).fits(&limit) {
            return Err(format!("targets of team {team} add up to more than its limit"));
        }
        let ceiling = self.ceilings.get(&team).copied().unwrap_or(limit);
        if !self.outstanding(team).fits(&ceiling) {
            return Err(format!(
                "allotments of team {team} add up to more than its ceiling"
            ));
        }
        for (zone, allotment) in allotments {
            if !allotment.released.fits(&allotment.granted) {
                return Err(format!(
                    "zone {zone} released more than was granted to team {team}"
                ));
            }
        }
        Ok(())
    }
}
