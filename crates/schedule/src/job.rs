//! Scheduler state of jobs that have not ended.

use std::time::Duration;

use bronzespoke_model::{id, job, resource};
use smallvec::SmallVec;

use crate::{message, range, table};

/// Failures of a job's tasks. Boxed in the job because most jobs have none.
#[derive(Debug, Default, Clone)]
pub(crate) struct FailureHistory {
    /// Number of failed runs by task.
    pub(crate) attempts: Vec<(id::TaskIndex, u32)>,
    /// Number of failed runs of all tasks; consecutive ones on the same rack count as one.
    pub(crate) failures: u32,
    /// Racks of the latest failures, oldest first.
    pub(crate) racks: SmallVec<[u32; 4]>,
}

/// Lifecycle phase of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Tasks may start.
    Active,
    /// Cancelled; ends when its last run ends.
    Cancelled,
    /// Out of retries; ends when its last run ends.
    Failed,
}

/// Progress of stopping all runs of a job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stop {
    pub(crate) reason: message::Reason,
    /// Number of runs still to be stopped; they are the first ones in the list of runs.
    pub(crate) remaining: usize,
    /// Whether the job is in the backlog.
    pub(crate) queued: bool,
}

/// Scheduler state of one job.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) id: id::JobId,
    pub(crate) team: table::Team,
    pub(crate) kind: job::Kind,
    pub(crate) priority: job::Priority,
    /// Size granted to each run.
    pub(crate) size: resource::Amount,
    /// Size declared by the submitter.
    pub(crate) declared: resource::Amount,
    pub(crate) accelerator: id::AcceleratorKind,
    pub(crate) checkpoint: bool,
    /// Whether any task of the job has ever been started.
    pub(crate) launched: bool,
    pub(crate) phase: Phase,
    pub(crate) tasks: u32,
    pub(crate) succeeded: u32,
    /// Number of tasks that wait for a retry or for rate-limited recovery.
    pub(crate) delayed: u32,
    pub(crate) run_time: Duration,
    /// When this scheduler received the job.
    pub(crate) submitted: Duration,
    /// Sequence number in order of submission.
    pub(crate) sequence: u64,
    /// Tasks that may start now.
    pub(crate) waiting: range::Set,
    pub(crate) runs: Vec<table::Run>,
    /// Number of runs of a service on each rack, by position in the list of racks.
    pub(crate) spread: Vec<u16>,
    /// Set once all runs are to be stopped; a gang clears it when it starts again.
    pub(crate) stop: Option<Stop>,
    /// Workers and task counts of a gang that is being started; their resources are already debited.
    pub(crate) launch: Vec<(table::Worker, u32)>,
    /// Lane that queues the job; none for gangs and for jobs without waiting tasks.
    pub(crate) lane: Option<table::Lane>,
    /// Workers held for this job.
    pub(crate) holds: Vec<table::Worker>,
    pub(crate) failure_history: Option<Box<FailureHistory>>,
    /// Reason last reported to the submitter.
    pub(crate) impossible: Option<job::Impossible>,
}

impl Record {
    /// Returns whether new runs may start.
    pub(crate) const fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Active)
    }

    /// Returns the number of failed runs of a task.
    pub(crate) fn attempts(&self, index: id::TaskIndex) -> u32 {
        self.failure_history.as_ref().map_or(0, |history| {
            history
                .attempts
                .iter()
                .find(|entry| entry.0 == index)
                .map_or(0, |entry| entry.1)
        })
    }

    /// Adds to the number of failed runs of a task and returns the sum.
    pub(crate) fn add_attempts(&mut self, index: id::TaskIndex, count: u32) -> u32 {
        let history = self.failure_history.get_or_insert_default();
        if let Some(entry) = history.attempts.iter_mut().find(|entry| entry.0 == index) {
            entry.1 += count;
            return entry.1;
        }
        history.attempts.push((index, count));
        count
    }

    /// Returns the racks of the latest failures, which placement avoids.
    pub(crate) fn avoided_racks(&self) -> &[u32] {
        self.failure_history
            .as_ref()
            .map_or(&[], |history| &history.racks)
    }
}
