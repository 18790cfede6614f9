//! Jobs and the progress of their tasks.

use bronzespoke_model::{id, job, task};
use serde::{Deserialize, Serialize};

use crate::{request_id, shared};

/// Maximum size of the results that one job retains, in bytes; results beyond it are only counted.
pub const MAX_RESULTS_BYTES: usize = 4 * 1024 * 1024;

const WORD_BITS: usize = 64;
// Fixed estimates of the map overhead instead of actual sizes: the limits decide what a replica drops, so replicas that
// run different builds must compute the same totals.
const JOB_OVERHEAD_BYTES: usize = 384;
const RESULT_OVERHEAD_BYTES: usize = 64;

/// A run of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Worker that runs the task.
    pub worker: id::WorkerId,
    /// Fencing token of the lease.
    pub token: id::Token,
    /// Incarnation of the worker at the start. A later incarnation must not execute this start.
    pub incarnation: id::Incarnation,
}

/// A job. Completed tasks are tracked in a bitmap that is allocated with the first success.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Job {
    /// Team that the job runs for.
    pub team: id::TeamId,
    /// Submitted specification. The command line is dropped when the job ends.
    pub spec: job::Spec,
    /// State that is reported to callers.
    pub state: job::State,
    /// Wall time of the submission, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Wall time at which the job ended, in milliseconds since the Unix epoch; 0 until then.
    pub ended_ms: u64,
    /// Number of runs under lease.
    pub running: u32,
    /// Number of tasks that succeeded.
    pub succeeded: u32,
    /// Number of runs that failed.
    pub failures: u32,
    /// Number of results that were not retained because of the limit `MAX_RESULTS_BYTES`.
    pub results_dropped: u32,
    /// Whether the remaining runs of a gang must end before it restarts, because one run did not succeed.
    pub(super) ending: bool,
    pub(super) submission: Option<request_id::Key>,
    done: Vec<u64>,
    results: shared::Map<id::TaskIndex, String>,
    results_bytes: usize,
}

/// Status of a job as reported to callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Id of the job.
    pub job: id::JobId,
    /// Team that the job runs for.
    pub team: id::TeamId,
    /// State of the job.
    pub state: job::State,
    /// Number of tasks that wait to start; 0 after the job ended.
    pub waiting: u32,
    /// Number of tasks that are running.
    pub running: u32,
    /// Number of tasks that succeeded.
    pub succeeded: u32,
    /// Number of results that were not retained.
    pub results_dropped: u32,
    /// Results of the tasks that succeeded, by task index; empty unless requested.
    pub results: Vec<(id::TaskIndex, String)>,
}

/// Result of a job lookup.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// Status of a retained job.
    Found(Status),
    /// The job ended, and its record was dropped after its retention.
    Expired,
    /// The group never accepted such a job.
    Unknown,
}

impl Job {
    pub(super) fn new(
        team: id::TeamId,
        submission: Option<request_id::Key>,
        spec: &job::Spec,
        now_ms: u64,
    ) -> Self {
        Self {
            team,
            spec: spec.clone(),
            state: job::State::Waiting,
            submitted_ms: now_ms,
            ended_ms: 0,
            running: 0,
            succeeded: 0,
            failures: 0,
            results_dropped: 0,
            ending: false,
            submission,
            done: Vec::new(),
            results: shared::Map::default(),
            results_bytes: 0,
        }
    }

    /// Returns whether a task succeeded; `false` for every task after the job ended, when only the count is retained.
    pub fn is_done(&self, index: id::TaskIndex) -> bool {
        let (word, bit) = position(index);
        self.done.get(word).is_some_and(|bits| bits >> bit & 1 == 1)
    }

    /// Returns the retained results, by task index.
    pub const fn results(&self) -> &shared::Map<id::TaskIndex, String> {
        &self.results
    }

    /// Returns the size in bytes that the job counts against the limits of the zone.
    pub const fn bytes(&self) -> usize {
        JOB_OVERHEAD_BYTES + self.spec.command.len() + self.done.len() * size_of::<u64>() + self.results_bytes
    }

    /// Returns the status of the job, with its results if `results` is set.
    pub fn status(&self, job: id::JobId, results: bool) -> Status {
        let waiting = if self.state.is_terminal() {
            0
        } else {
            self.spec
                .tasks
                .saturating_sub(self.running)
                .saturating_sub(self.succeeded)
        };
        Status {
            job,
            team: self.team,
            state: self.state,
            waiting,
            running: self.running,
            succeeded: self.succeeded,
            results_dropped: self.results_dropped,
            results: if results {
                self.results
                    .iter()
                    .map(|(index, text)| (*index, text.clone()))
                    .collect()
            } else {
                Vec::new()
            },
        }
    }

    /// Records the end of a run. Returns whether the job succeeded as a result.
    pub(super) fn end(&mut self, index: id::TaskIndex, outcome: &task::Outcome) -> bool {
        self.running -= 1;
        match outcome {
            task::Outcome::Succeeded(result) => self.succeed(index, result),
            task::Outcome::Failed => self.failures = self.failures.saturating_add(1),
            task::Outcome::Stopped | task::Outcome::Checkpointed | task::Outcome::LeaseExpired => {}
        }
        if self.spec.kind == job::Kind::Gang && !matches!(outcome, task::Outcome::Succeeded(_)) {
            self.restart_gang();
        }
        if self.running == 0 {
            self.ending = false;
        }
        !self.state.is_terminal() && self.succeeded == self.spec.tasks
    }

    fn succeed(&mut self, index: id::TaskIndex, result: &str) {
        if self.spec.kind == job::Kind::Service || self.ending || self.state.is_terminal() {
            return;
        }
        let (word, bit) = position(index);
        if self.done.is_empty() {
            self.done = vec![0; (self.spec.tasks as usize).div_ceil(WORD_BITS)];
        }
        self.done[word] |= 1 << bit;
        self.succeeded += 1;
        let bytes = result.len() + RESULT_OVERHEAD_BYTES;
        if result.len() > task::MAX_RESULT_BYTES || self.results_bytes + bytes > MAX_RESULTS_BYTES {
            self.results_dropped += 1;
            return;
        }
        self.results_bytes += bytes;
        self.results.insert(index, result.to_owned());
    }

    /// Discards the progress of a gang; all members restart together.
    fn restart_gang(&mut self) {
        self.ending = true;
        self.done = Vec::new();
        self.succeeded = 0;
        self.results_dropped = 0;
        self.drop_results();
    }

    /// Enters a terminal state and drops the task bitmap and the command line.
    pub(super) fn finish(&mut self, state: job::State, now_ms: u64) {
        self.state = state;
        self.ended_ms = now_ms;
        self.done = Vec::new();
        self.spec.command = String::new();
    }

    /// Drops the retained results, which frees their bytes for later ones.
    pub(super) fn drop_results(&mut self) {
        self.results = shared::Map::default();
        self.results_bytes = 0;
    }

    pub(super) fn verify(&self, runs: u32) -> Result<(), String> {
        let done: u32 = self.done.iter().map(|bits| bits.count_ones()).sum();
        if self.running != runs {
            return Err(format!("{} runs counted, {runs} present", self.running));
        }
        if !self.state.is_terminal() && done != self.succeeded {
            return Err(format!("{} successes counted, {done} present", self.succeeded));
        }
        if !self.state.is_terminal() && self.running + self.succeeded > self.spec.tasks {
            return Err(String::from("more tasks run or succeeded than there are"));
        }
        let bytes: usize = self
            .results
            .values()
            .map(|result| result.len() + RESULT_OVERHEAD_BYTES)
            .sum();
        if bytes != self.results_bytes || bytes > MAX_RESULTS_BYTES {
            return Err(format!(
                "results take {bytes} bytes, counted {}",
                self.results_bytes
            ));
        }
        Ok(())
    }
}

const fn position(index: id::TaskIndex) -> (usize, usize) {
    (index as usize / WORD_BITS, index as usize % WORD_BITS)
}
