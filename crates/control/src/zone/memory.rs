//! Estimate of the memory of a zone state.

use bronzespoke_model::id;

use super::{
    holdings,
    jobs::{Job, Run},
    state, workers,
};
use crate::{
    memory::{ALLOCATION_BYTES, map},
    request_id,
};

impl state::State {
    /// Returns the estimated bytes of memory. Exact for counts, approximate for what the allocator and maps add.
    pub fn memory(&self) -> usize {
        let jobs: usize = self.jobs.values().map(Job::memory).sum();
        map::<(u64, Job)>(self.jobs.len())
            + jobs
            + map::<u64>(self.ended.len())
            + map::<(request_id::Key, u64)>(self.submissions.len())
            + map::<((u64, id::TaskIndex), Run)>(self.runs.len())
            + map::<(u64, id::TaskIndex)>(self.runs.len())
            + map::<(id::WorkerId, workers::Worker)>(self.workers.len())
            + map::<(id::TeamId, holdings::Holding)>(self.holdings.iter().count())
            + map::<((u64, id::TaskIndex), u32)>(self.attempts.len())
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
        map::<(id::TaskIndex, String)>(self.results().len())
            + results
            + words
            + self.spec.command.len()
            + ALLOCATION_BYTES
    }
}
