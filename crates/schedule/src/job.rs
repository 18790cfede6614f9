//! Jobs that have not ended.

use std::time::Duration;

use bronzespoke_model::{id, job, resource};
use smallvec::SmallVec;

use crate::{message, range, table};

/// What is known about a job that had trouble; most jobs have none.
#[derive(Debug, Default, Clone)]
pub(crate) struct Trouble {
    /// Failed runs of single tasks.
    pub(crate) attempts: Vec<(id::TaskIndex, u32)>,
    /// Failed runs of all tasks; those in a row on one rack count as one.
    pub(crate) failures: u32,
    /// Racks of the latest failures.
    pub(crate) racks: SmallVec<[u32; 4]>,
}

/// Whether a job goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Tasks may start.
    Active,
    /// Cancelled; ends with its last run.
    Cancelled,
    /// Its retry budget is spent; ends with its last run.
    Failed,
}

/// A stop of all runs of a job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stop {
    pub(crate) reason: message::Reason,
    /// Runs that are left, the first ones in the list of runs.
    pub(crate) left: usize,
    /// Whether the job stands in the backlog.
    pub(crate) queued: bool,
}

/// A job.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) id: id::JobId,
    pub(crate) team: table::Team,
    pub(crate) kind: job::Kind,
    pub(crate) priority: job::Priority,
    /// What each run is granted.
    pub(crate) size: resource::Amount,
    /// What the submitter asked for.
    pub(crate) declared: resource::Amount,
    pub(crate) accelerator: id::AcceleratorKind,
    pub(crate) checkpoint: bool,
    /// Whether a task has been started before.
    pub(crate) launched: bool,
    pub(crate) phase: Phase,
    pub(crate) tasks: u32,
    pub(crate) succeeded: u32,
    /// Tasks that wait for a retry or for paced recovery.
    pub(crate) delayed: u32,
    pub(crate) run_time: Duration,
    /// When this scheduler learned of the job.
    pub(crate) submitted: Duration,
    /// Order of submission.
    pub(crate) sequence: u64,
    /// Tasks that may start now.
    pub(crate) waiting: range::Set,
    pub(crate) runs: Vec<table::Run>,
    /// Runs of a service on each rack, by position in the list of racks.
    pub(crate) spread: Vec<u16>,
    /// Stop of all runs; kept until a gang starts again.
    pub(crate) stop: Option<Stop>,
    /// Debited rooms for the tasks of a gang that is being started.
    pub(crate) launch: Vec<(table::Worker, u32)>,
    /// Queue that the job stands in; none for gangs and for jobs without waiting tasks.
    pub(crate) lane: Option<table::Lane>,
    /// Workers kept for this job.
    pub(crate) holds: Vec<table::Worker>,
    pub(crate) trouble: Option<Box<Trouble>>,
    /// Last reason told to the submitter.
    pub(crate) impossible: Option<job::Impossible>,
}

impl Record {
    /// Tells whether new runs may start.
    pub(crate) const fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Active)
    }

    /// Returns the failed runs of a task.
    pub(crate) fn attempts(&self, index: id::TaskIndex) -> u32 {
        self.trouble.as_ref().map_or(0, |trouble| {
            trouble
                .attempts
                .iter()
                .find(|entry| entry.0 == index)
                .map_or(0, |entry| entry.1)
        })
    }

    /// Adds failed runs to a task and returns the new number.
    pub(crate) fn add_attempts(&mut self, index: id::TaskIndex, count: u32) -> u32 {
        let trouble = self.trouble.get_or_insert_default();
        if let Some(entry) = trouble.attempts.iter_mut().find(|entry| entry.0 == index) {
            entry.1 += count;
            return entry.1;
        }
        trouble.attempts.push((index, count));
        count
    }

    /// Returns the racks to avoid.
    pub(crate) fn avoid(&self) -> &[u32] {
        self.trouble.as_ref().map_or(&[], |trouble| &trouble.racks)
    }
}
