//! Tables of the root state, reads, snapshots and invariant checks.

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
    /// Region that the zone belongs to.
    pub region: id::RegionId,
    /// Wall time at which the zone was added, in milliseconds since the Unix epoch.
    pub added_ms: u64,
    /// Whether the zone was added before the first team, and thus before any request id was claimed.
    pub founding: bool,
    /// Wall time at which the zone was declared lost, in milliseconds since the Unix epoch.
    pub lost_ms: Option<u64>,
}

/// Availability zones by id.
pub type Zones = BTreeMap<id::AvailabilityZoneId, Zone>;

/// Allotments by team and zone.
pub type Allotments = BTreeMap<id::TeamId, Arc<BTreeMap<id::AvailabilityZoneId, allotments::Allotment>>>;

/// Safety rules that tests disable to show that the checks detect their absence.
#[doc(hidden)]
#[derive(Debug, Clone, Copy)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each rule is switched independently"
)]
pub struct Rules {
    /// Refuses grants above the limit of a team.
    pub limit: bool,
    /// Refuses to grant a withdrawn key.
    pub withdrawn: bool,
    /// Refuses a configuration change that does not name the version in force.
    pub version: bool,
    /// Answers a resent command with its first outcome.
    pub dedupe: bool,
    /// Refuses a snapshot older than the state.
    pub snapshot: bool,
    /// Never lowers granted counters.
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
    /// Withdrawn keys with the sequence number of their withdrawal.
    pub(super) withdrawn: shared::Map<team::KeyHash, u64>,
    pub(super) withdrawals: u64,
    pub(super) teams: Arc<BTreeMap<id::TeamId, Arc<team::Team>>>,
    pub(super) team_names: Arc<BTreeMap<String, id::TeamId>>,
    pub(super) services: Arc<BTreeMap<String, service::Service>>,
    pub(super) queues: Arc<BTreeMap<String, service::Queue>>,
    pub(super) vms: Arc<BTreeMap<id::VmId, vm::Vm>>,
    pub(super) zones: Arc<Zones>,
    /// VM that bootstrapped the group of each zone.
    pub(super) founders: BTreeMap<id::AvailabilityZoneId, id::VmId>,
    pub(super) drains: Arc<BTreeSet<command::Subject>>,
    #[serde(rename = "parts")]
    pub(super) allotments: Arc<Allotments>,
    /// Upper bound on the sum of the allotments of a team: the limit, or the outstanding sum while that exceeds a
    /// lowered limit.
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

    /// Returns the state before the first entry, with some safety rules disabled.
    #[doc(hidden)]
    pub fn with_rules(rules: Rules) -> Self {
        Self {
            rules,
            ..Self::default()
        }
    }

    /// Returns the last log index applied.
    pub const fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the version of the configuration in force.
    pub const fn version(&self) -> id::ConfigVersion {
        self.version
    }

    /// Returns the teams by id.
    pub fn teams(&self) -> &BTreeMap<id::TeamId, Arc<team::Team>> {
        &self.teams
    }

    /// Returns the availability zones by id, lost ones included.
    pub fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Returns the VM that bootstrapped the group of a zone.
    pub fn founder(&self, zone: id::AvailabilityZoneId) -> Option<id::VmId> {
        self.founders.get(&zone).copied()
    }

    /// Returns the zones that have not been declared lost.
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

    /// Returns the sum of the allotments of a team, without what zones have reported as released.
    pub fn outstanding(&self, team: id::TeamId) -> escrow::Total {
        self.allotments
            .get(&team)
            .map_or(escrow::Total::ZERO, |allotments| {
                allotments.values().fold(escrow::Total::ZERO, |all, allotment| {
                    all.saturating_add(&allotment.outstanding())
                })
            })
    }

    /// Returns the amount that may still be granted to a team: its limit without the outstanding allotments.
    pub fn headroom(&self, team: id::TeamId) -> escrow::Total {
        self.teams.get(&team).map_or(escrow::Total::ZERO, |record| {
            escrow::Total::from(record.quota.limit).saturating_sub(&self.outstanding(team))
        })
    }

    /// Returns whether the limit of a team is in force, that is, whether its outstanding allotments fit the limit.
    /// After a limit is lowered, this holds once the zones have released the surplus.
    pub fn limit_in_force(&self, team: id::TeamId) -> bool {
        self.teams
            .get(&team)
            .is_some_and(|record| self.outstanding(team).fits(&record.quota.limit.into()))
    }

    /// Returns the first outcome of a command id that is still retained.
    pub fn outcome(&self, id: id::CommandId) -> Option<command::Outcome> {
        self.commands.get(id)
    }

    /// Returns a view of the state. The cost does not depend on table sizes.
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

    /// Encodes the complete state as a snapshot.
    pub fn encode(&self) -> Bytes {
        envelope::to_bytes(self)
    }

    /// Decodes a snapshot and checks it.
    pub fn decode(bytes: &[u8]) -> Result<Self, error::Error> {
        let state: Self = envelope::from_bytes(bytes)?;
        state.verify().map_err(error::Error::Invariant)?;
        Ok(state)
    }

    /// Replaces the state with an encoded snapshot. A snapshot older than the state is refused and has no effect.
    pub fn install(&mut self, bytes: &[u8]) -> Result<(), error::Error> {
        self.replace(Self::decode(bytes)?).map(drop)
    }

    /// Replaces the state with a decoded snapshot and returns the previous state, so that the caller decides where to
    /// drop it; this takes milliseconds. A snapshot older than the state is refused and has no effect.
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
                return Err(format!("a key authenticates team {team}, which does not exist"));
            }
        }
        if self
            .withdrawn
            .values()
            .any(|sequence| *sequence > self.withdrawals)
        {
            return Err(String::from(
                "the sequence number of a withdrawn key exceeds the number of withdrawals",
            ));
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
