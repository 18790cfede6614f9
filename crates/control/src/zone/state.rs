//! Tables of the zone state, reads, snapshots and invariant checks.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use bronzespoke_model::{id, resource, task};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{
    apply, claims, command, holdings,
    jobs::{Job, Lookup, Run},
    workers::{Worker, Workers},
};
use crate::{dedupe, envelope, error, escrow, request_id, shared};

/// Safety rules that tests disable to show that the checks detect their absence.
#[doc(hidden)]
#[derive(Debug, Clone, Copy)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each rule is switched independently"
)]
pub struct Rules {
    /// Refuses a start that exceeds the capacity of its worker.
    pub capacity: bool,
    /// Refuses a start that exceeds the allotment of its team.
    pub allotment: bool,
    /// Refuses to start a running task.
    pub single_run: bool,
    /// Refuses a token that is not larger than every earlier one.
    pub token: bool,
    /// Refuses to grant a known request id.
    pub claim_once: bool,
    /// Caps releases at the unused rest of the allotment.
    pub keep_used: bool,
    /// Answers a resent command with its first outcome.
    pub dedupe: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            capacity: true,
            allotment: true,
            single_run: true,
            token: true,
            claim_once: true,
            keep_used: true,
            dedupe: true,
        }
    }
}

/// State of the consensus group of one availability zone.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct State {
    pub(super) zone: id::AvailabilityZoneId,
    pub(super) applied: u64,
    pub(super) now_ms: u64,
    pub(super) next_sequence: u64,
    pub(super) next_token: id::Token,
    /// Jobs by sequence number.
    pub(super) jobs: shared::Map<u64, Arc<Job>>,
    /// Jobs in a terminal state, in the order in which they reached it.
    pub(super) ended: VecDeque<u64>,
    pub(super) submissions: shared::Map<request_id::Key, u64>,
    pub(super) runs: shared::Map<(u64, id::TaskIndex), Run>,
    pub(super) workers: Workers,
    pub(super) holdings: holdings::Holdings,
    pub(super) claims: claims::Claims,
    pub(super) commands: dedupe::Table<command::Outcome>,
    /// Number of failed runs that count against the retries of a task, for jobs that have not ended. Must stay the last
    /// serialized field, see [`State::decode`].
    pub(super) attempts: BTreeMap<(u64, id::TaskIndex), u32>,
    /// Size of the jobs that have not ended, in bytes.
    #[serde(skip)]
    pub(super) open_bytes: usize,
    /// Size of the jobs that have ended, in bytes.
    #[serde(skip)]
    pub(super) ended_bytes: usize,
    #[serde(skip)]
    pub(super) rules: Rules,
}

impl State {
    /// Returns the state before the first entry.
    pub fn new(zone: id::AvailabilityZoneId) -> Self {
        Self {
            zone,
            next_sequence: 1,
            next_token: 1,
            ..Self::default()
        }
    }

    /// Returns the state before the first entry, with some safety rules disabled.
    #[doc(hidden)]
    pub fn with_rules(zone: id::AvailabilityZoneId, rules: Rules) -> Self {
        Self {
            rules,
            ..Self::new(zone)
        }
    }

    /// Returns the zone of the group.
    pub const fn zone(&self) -> id::AvailabilityZoneId {
        self.zone
    }

    /// Returns the last log index applied.
    pub const fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the smallest token that a new lease may have.
    pub const fn next_token(&self) -> id::Token {
        self.next_token
    }

    /// Looks up a job, with its results if `results` is set.
    pub fn lookup(&self, job: id::JobId, results: bool) -> Lookup {
        match self.sequence(job) {
            Some(sequence) if sequence < self.next_sequence => self
                .jobs
                .get(&sequence)
                .map_or(Lookup::Expired, |found| Lookup::Found(found.status(job, results))),
            _ => Lookup::Unknown,
        }
    }

    /// Returns the record of a retained job.
    pub fn job(&self, job: id::JobId) -> Option<&Job> {
        self.jobs.get(&self.sequence(job)?).map(Arc::as_ref)
    }

    /// Returns the job that was submitted under a key.
    pub fn submitted(&self, key: request_id::Key) -> Option<id::JobId> {
        self.submissions
            .get(&key)
            .map(|sequence| id::job(self.zone, *sequence))
    }

    /// Returns the retained jobs, in the order of their submission.
    pub fn jobs(&self) -> impl Iterator<Item = (id::JobId, &Job)> {
        self.jobs
            .iter()
            .map(|(sequence, job)| (id::job(self.zone, *sequence), job.as_ref()))
    }

    /// Returns the current run of a task.
    pub fn run(&self, task: task::Ref) -> Option<Run> {
        self.runs.get(&(self.sequence(task.job)?, task.index)).copied()
    }

    /// Returns the number of failed runs of a task that count against its retries.
    pub fn attempts(&self, task: task::Ref) -> u32 {
        let key = self.sequence(task.job).map(|sequence| (sequence, task.index));
        key.and_then(|key| self.attempts.get(&key)).copied().unwrap_or(0)
    }

    /// Returns the current runs of all tasks.
    pub fn runs(&self) -> impl Iterator<Item = (task::Ref, Run)> {
        self.runs.iter().map(|(key, run)| (self.task(*key), *run))
    }

    /// Returns the current runs of a job.
    pub fn runs_of_job(&self, job: id::JobId) -> impl Iterator<Item = (task::Ref, Run)> {
        let sequence = self.sequence(job).unwrap_or(0);
        self.runs
            .range((sequence, 0)..=(sequence, id::TaskIndex::MAX))
            .map(|(key, run)| (self.task(*key), *run))
    }

    /// Returns the current runs of a worker.
    pub fn runs_of_worker(&self, worker: id::WorkerId) -> impl Iterator<Item = (task::Ref, Run)> {
        self.workers
            .get(&worker)
            .into_iter()
            .flat_map(|worker| &worker.runs)
            .filter_map(|key| Some((self.task(*key), *self.runs.get(key)?)))
    }

    /// Returns the current runs of a team.
    pub fn runs_of_team(&self, team: id::TeamId) -> impl Iterator<Item = (task::Ref, Run)> {
        self.jobs
            .iter()
            .filter(move |(_, job)| job.team == team && job.running > 0)
            .flat_map(|(sequence, _)| self.runs_of_job(id::job(self.zone, *sequence)))
    }

    /// Returns the workers, including those that are gone.
    pub fn workers(&self) -> impl Iterator<Item = (id::WorkerId, &Worker)> {
        self.workers.iter().map(|(id, worker)| (*id, worker))
    }

    /// Returns a worker, which may be gone.
    pub fn worker(&self, worker: id::WorkerId) -> Option<&Worker> {
        self.workers.get(&worker)
    }

    /// Returns the allotments of the teams and their use.
    pub const fn holdings(&self) -> &holdings::Holdings {
        &self.holdings
    }

    /// Returns the table of request ids.
    pub const fn claims(&self) -> &claims::Claims {
        &self.claims
    }

    /// Returns the first outcome of a command id that is still retained.
    pub fn outcome(&self, id: id::CommandId) -> Option<command::Outcome> {
        self.commands.get(id)
    }

    /// Returns the released counters that lower allotments to their targets, without releasing anything in use.
    pub fn releases(
        &self,
        target: impl Fn(id::TeamId) -> resource::Amount,
    ) -> Vec<(id::TeamId, escrow::Total)> {
        self.holdings
            .iter()
            .map(|(team, holding)| (team, holding, holding.release_to(target(team))))
            .filter(|(_, holding, released)| *released != holding.released)
            .map(|(team, _, released)| (team, released))
            .collect()
    }

    pub(super) fn sequence(&self, job: id::JobId) -> Option<u64> {
        let sequence = job ^ id::job(self.zone, 0);
        (id::job_zone(job) == self.zone).then_some(sequence)
    }

    const fn task(&self, (sequence, index): (u64, id::TaskIndex)) -> task::Ref {
        task::Ref {
            job: id::job(self.zone, sequence),
            index,
        }
    }

    /// Encodes the complete state as a snapshot.
    pub fn encode(&self) -> Bytes {
        envelope::to_bytes(self)
    }

    /// Decodes a snapshot and checks it.
    pub fn decode(bytes: &[u8]) -> Result<Self, error::Error> {
        // Snapshots of builds that did not record attempts lack the last byte, the length of an empty table.
        let with_attempts = || envelope::from_bytes(&[bytes, &[0]].concat());
        let mut state: Self =
            envelope::from_bytes(bytes).or_else(|error| with_attempts().map_err(|_shorter| error))?;
        for (key, run) in state.runs.iter() {
            let size = state
                .jobs
                .get(&key.0)
                .map(|job| job.spec.size)
                .unwrap_or_default();
            if let Some(worker) = state.workers.get_mut(&run.worker) {
                worker.runs.insert(*key);
                worker.held = worker.held.saturating_add(&size);
            }
        }
        (state.open_bytes, state.ended_bytes) = state.count_bytes();
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
        if state.applied < self.applied {
            return Err(error::Error::Older {
                snapshot: state.applied,
                applied: self.applied,
            });
        }
        state.rules = self.rules;
        Ok(std::mem::replace(self, state))
    }

    fn count_bytes(&self) -> (usize, usize) {
        let mut bytes = (0, 0);
        for job in self.jobs.values() {
            if job.state.is_terminal() {
                bytes.1 += job.bytes();
            } else {
                bytes.0 += job.bytes();
            }
        }
        bytes
    }

    /// Checks every invariant of the tables.
    pub fn verify(&self) -> Result<(), String> {
        self.jobs.verify()?;
        self.submissions.verify()?;
        self.runs.verify()?;
        self.commands.verify()?;
        self.claims.verify()?;
        self.verify_jobs()?;
        self.verify_runs()?;
        if (self.open_bytes, self.ended_bytes) != self.count_bytes() {
            return Err(String::from(
                "the byte counts of open and ended jobs do not match the jobs",
            ));
        }
        Ok(())
    }

    fn verify_jobs(&self) -> Result<(), String> {
        for (sequence, job) in self.jobs.iter() {
            let runs = self
                .runs
                .range((*sequence, 0)..=(*sequence, id::TaskIndex::MAX))
                .count();
            job.verify(runs as u32)
                .map_err(|error| format!("job {sequence}: {error}"))?;
            if *sequence >= self.next_sequence {
                return Err(format!(
                    "job {sequence} has a sequence number that was not assigned"
                ));
            }
            let known = |key| self.submissions.get(&key) == Some(sequence);
            if job.submission.is_some_and(|key| !known(key)) {
                return Err(format!("the submission key of job {sequence} is not indexed"));
            }
        }
        let open = |(sequence, index): &(u64, id::TaskIndex)| {
            let job = self.jobs.get(sequence);
            job.is_some_and(|job| !job.state.is_terminal() && *index < job.spec.tasks)
        };
        if self.attempts.len() > apply::MAX_ATTEMPTS || !self.attempts.keys().all(open) {
            return Err(String::from(
                "attempts are recorded for tasks of jobs that are not open, or for too many tasks",
            ));
        }
        let ended = self.jobs.values().filter(|job| job.state.is_terminal()).count();
        let listed = self
            .ended
            .iter()
            .all(|sequence| self.jobs.get(sequence).is_some_and(|job| job.state.is_terminal()));
        if ended != self.ended.len() || !listed {
            return Err(String::from("the list of ended jobs does not match the jobs"));
        }
        Ok(())
    }

    fn verify_runs(&self) -> Result<(), String> {
        let mut used: BTreeMap<id::TeamId, escrow::Total> = BTreeMap::new();
        let mut tokens = Vec::with_capacity(self.runs.len());
        for (key, run) in self.runs.iter() {
            let Some(job) = self.jobs.get(&key.0) else {
                return Err(format!(
                    "a task of job {} is running, but the job does not exist",
                    key.0
                ));
            };
            let total = used.entry(job.team).or_default();
            *total = total.saturating_add(&job.spec.size.into());
            tokens.push(run.token);
            let indexed = self
                .workers
                .get(&run.worker)
                .is_some_and(|worker| worker.runs.contains(key));
            if !indexed || run.token >= self.next_token {
                return Err(format!("the run of job {} task {} is not indexed", key.0, key.1));
            }
        }
        tokens.sort_unstable();
        tokens.dedup();
        if tokens.len() != self.runs.len() {
            return Err(String::from("two runs share a token"));
        }
        for (id, worker) in &self.workers {
            let sizes = worker
                .runs
                .iter()
                .filter_map(|key| Some(self.jobs.get(&key.0)?.spec.size));
            let held = sizes.fold(resource::Amount::ZERO, |held, size| held.saturating_add(&size));
            if held != worker.held {
                return Err(format!(
                    "the amount held by worker {id} is not the sum of its tasks"
                ));
            }
        }
        let indexed: usize = self.workers.values().map(|worker| worker.runs.len()).sum();
        if indexed != self.runs.len() {
            return Err(String::from(
                "the runs indexed by worker do not match the table of runs",
            ));
        }
        self.holdings.verify(&used)
    }
}
