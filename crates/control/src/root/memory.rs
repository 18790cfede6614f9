//! Memory estimate of the root state.

use std::sync::Arc;

use bronzespoke_model::{id, service, team, vm};

use super::{allotments, command, state};
use crate::memory::{ALLOCATION_BYTES, btree_bytes};

impl state::State {
    /// Returns the estimated memory in bytes. Entry counts are exact; the overhead of maps and the allocator is
    /// approximate.
    pub fn memory(&self) -> usize {
        let names: usize = self
            .team_names
            .keys()
            .map(|name| 2 * (name.len() + ALLOCATION_BYTES))
            .sum();
        let allotments: usize = self
            .allotments
            .values()
            .map(|allotments| {
                btree_bytes::<(id::AvailabilityZoneId, allotments::Allotment)>(allotments.len())
                    + ALLOCATION_BYTES
            })
            .sum();
        btree_bytes::<(team::KeyHash, id::TeamId)>(self.keys.len())
            + self.withdrawn.memory()
            + btree_bytes::<(id::TeamId, Arc<team::Team>)>(self.teams.len())
            + self.teams.len() * (size_of::<team::Team>() + ALLOCATION_BYTES)
            + btree_bytes::<(String, id::TeamId)>(self.team_names.len())
            + names
            + btree_bytes::<(String, service::Queue)>(self.services.len() + self.queues.len())
            + btree_bytes::<(id::VmId, vm::Vm)>(self.vms.len())
            + btree_bytes::<command::Subject>(self.drains.len())
            + allotments
            + self.commands.memory()
    }
}
