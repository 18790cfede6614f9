//! Memory estimate of a zone state.

use bronzespoke_model::id;

use super::{holdings, jobs::Job, state, workers};
use crate::memory::{ALLOCATION_BYTES, btree_bytes};

impl state::State {
    /// Returns the estimated memory in bytes. Entry counts are exact; the overhead of maps and the allocator is
    /// approximate.
    pub fn memory(&self) -> usize {
        let jobs: usize = self.jobs.values().map(|job| job.memory()).sum();
        self.jobs.memory()
            + self.jobs.len() * (size_of::<Job>() + 2 * ALLOCATION_BYTES)
            + jobs
            + btree_bytes::<u64>(self.ended.len())
            + self.submissions.memory()
            + self.runs.memory()
            + btree_bytes::<(u64, id::TaskIndex)>(self.runs.len())
            + btree_bytes::<(id::WorkerId, workers::Worker)>(self.workers.len())
            + btree_bytes::<(id::TeamId, holdings::Holding)>(self.holdings.iter().count())
            + btree_bytes::<((u64, id::TaskIndex), u32)>(self.attempts.len())
            + self.claims.memory()
            + self.commands.memory()
    }
}

impl Job {
    fn memory(&self) -> usize {
        let results: usize = self
            .results()
            .values()
            .map(|result| result.len() + ALLOCATION_BYTES)
            .sum();
        let words = (self.spec.tasks as usize).div_ceil(8) + ALLOCATION_BYTES;
        self.results().memory() + results + words + self.spec.command.len() + ALLOCATION_BYTES
    }
}
