//! Immutable view of the root state, shared with readers on other threads.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use bronzespoke_model::{config, id, resource, service, team, vm};

use super::{allotments, command, state};
use crate::escrow;

/// Root state at one log index. The tables are shared with the state by reference count, so building a view copies
/// none.
#[derive(Debug, Clone)]
pub struct View {
    /// Last log index applied.
    pub applied: u64,
    /// Version of [`View::config`].
    pub version: id::ConfigVersion,
    /// Configuration in force.
    pub config: config::Config,
    /// Team of each granted key, by hash. Withdrawn keys are absent.
    pub keys: Arc<BTreeMap<team::KeyHash, id::TeamId>>,
    /// Teams by id.
    pub teams: Arc<BTreeMap<id::TeamId, Arc<team::Team>>>,
    /// Team ids by name.
    pub team_names: Arc<BTreeMap<String, id::TeamId>>,
    /// Services by name.
    pub services: Arc<BTreeMap<String, service::Service>>,
    /// Open queues by name.
    pub queues: Arc<BTreeMap<String, service::Queue>>,
    /// VM directory, by id.
    pub vms: Arc<BTreeMap<id::VmId, vm::Vm>>,
    /// Availability zones by id, lost ones included.
    pub zones: Arc<state::Zones>,
    /// Workers, targets and VMs that are marked as draining.
    pub drains: Arc<BTreeSet<command::Subject>>,
    /// Allotments by team and zone.
    pub allotments: Arc<state::Allotments>,
}

impl View {
    /// Returns the team that a key authenticates.
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

    /// Returns the target size of the allotment of a team in a zone, for [`crate::zone::State::releases`].
    pub fn target(&self, team: id::TeamId, zone: id::AvailabilityZoneId) -> resource::Amount {
        self.allotment(team, zone).unwrap_or_default().target
    }

    /// Returns whether a worker, target or VM is marked as draining.
    pub fn is_draining(&self, subject: command::Subject) -> bool {
        self.drains.contains(&subject)
    }
}
