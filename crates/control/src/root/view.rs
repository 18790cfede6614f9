//! Immutable view of the root state for readers on other threads.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use bronzespoke_model::{config, id, resource, service, team, vm};

use super::{allotments, command, state};
use crate::escrow;

/// The root state at one index. A clone of the state's shared tables: building it copies no table.
#[derive(Debug, Clone)]
pub struct View {
    /// Last index applied.
    pub applied: u64,
    /// Version of the configuration.
    pub version: id::ConfigVersion,
    /// Configuration.
    pub config: config::Config,
    /// Teams by the hash of each key that is granted and not withdrawn.
    pub keys: Arc<BTreeMap<team::KeyHash, id::TeamId>>,
    /// Teams.
    pub teams: Arc<BTreeMap<id::TeamId, Arc<team::Team>>>,
    /// Team ids by name.
    pub team_names: Arc<BTreeMap<String, id::TeamId>>,
    /// Services by name.
    pub services: Arc<BTreeMap<String, service::Service>>,
    /// Open queues by name.
    pub queues: Arc<BTreeMap<String, service::Queue>>,
    /// Directory of VMs.
    pub vms: Arc<BTreeMap<id::VmId, vm::Vm>>,
    /// Availability zones.
    pub zones: Arc<state::Zones>,
    /// Drain marks.
    pub drains: Arc<BTreeSet<command::Subject>>,
    /// Allotments by team and zone.
    pub allotments: Arc<state::Allotments>,
}

impl View {
    /// Returns the team that a key speaks for.
    pub fn team_of_key(&self, hash: &team::KeyHash) -> Option<id::TeamId> {
        self.keys.get(hash).copied()
    }

    /// Returns a team by name.
    pub fn team(&self, name: &str) -> Option<&Arc<team::Team>> {
        self.teams.get(self.team_names.get(name)?)
    }

    /// Returns the allotment of a team in a zone.
    pub fn allotment(&self, team: id::TeamId, zone: id::AvailabilityZoneId) -> Option<allotments::Allotment> {
        self.allotments.get(&team)?.get(&zone).copied()
    }

    /// Returns the granted counters of a zone, for [`crate::zone::Command::Granted`].
    pub fn granted(&self, zone: id::AvailabilityZoneId) -> Vec<(id::TeamId, escrow::Total)> {
        self.allotments
            .iter()
            .filter_map(|(team, allotments)| Some((*team, allotments.get(&zone)?.granted)))
            .collect()
    }

    /// Returns the size that the allotment of a team in a zone should have, for [`crate::zone::State::releases`].
    pub fn target(&self, team: id::TeamId, zone: id::AvailabilityZoneId) -> resource::Amount {
        self.allotment(team, zone).unwrap_or_default().target
    }

    /// Tells whether a drain mark is set.
    pub fn is_draining(&self, subject: command::Subject) -> bool {
        self.drains.contains(&subject)
    }
}
