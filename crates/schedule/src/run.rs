//! Runs of tasks under a lease.

use std::time::Duration;

use bronzespoke_model::{id, resource, task};

use crate::{message, table};

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start has been proposed; no report names the run yet.
    Starting,
    /// A report has named the run.
    Running,
    /// The worker has been told to checkpoint and stop.
    Checkpointing(message::Reason),
    /// The worker has been told to stop.
    Stopping(message::Reason),
}

/// How a run ended, without its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// Ran to its end.
    Succeeded,
    /// Ended with an error.
    Failed,
    /// Stopped on request.
    Stopped,
    /// Saved its progress and stopped on request.
    Checkpointed,
    /// The lease ran out without a report.
    LeaseExpired,
}

impl End {
    /// Returns the end that an outcome tells.
    pub(crate) const fn of(outcome: &task::Outcome) -> Self {
        match outcome {
            task::Outcome::Succeeded(_) => Self::Succeeded,
            task::Outcome::Failed => Self::Failed,
            task::Outcome::Stopped => Self::Stopped,
            task::Outcome::Checkpointed => Self::Checkpointed,
            task::Outcome::LeaseExpired => Self::LeaseExpired,
        }
    }
}

/// Share of the granted processors of a run without a throttle, in thousandths.
pub(crate) const LIFTED: u32 = 1000;

/// A run.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) job: table::Job,
    pub(crate) index: id::TaskIndex,
    pub(crate) worker: table::Worker,
    /// Position of the worker's rack in the list of racks at the start.
    pub(crate) rack: u32,
    pub(crate) token: id::Token,
    /// What the accounts are debited.
    pub(crate) size: resource::Amount,
    pub(crate) started: Duration,
    pub(crate) phase: Phase,
    /// Whether a report of this worker life has named the run.
    pub(crate) confirmed: bool,
    /// Whether the run belongs to a former life of its worker.
    pub(crate) former: bool,
    /// Number of the last report that named the run.
    pub(crate) seen: u64,
    /// When an unconfirmed start or stop is followed up.
    pub(crate) due: Duration,
    /// Reports in a row that did not name the run after one did.
    pub(crate) missing: u8,
    /// Share of the processors that the run is held to, in thousandths.
    pub(crate) throttle: u32,
    /// Reports in a row that speak for the end of the throttle.
    pub(crate) calm: u8,
    /// Reports in a row in which a throttled run uses too much.
    pub(crate) defiant: u8,
    /// Measured use at the last report.
    pub(crate) usage: resource::Amount,
    /// Largest measured use.
    pub(crate) peak: resource::Amount,
    /// Position in the worker's list.
    pub(crate) in_worker: u32,
    /// Position in the job's list.
    pub(crate) in_job: u32,
    /// Whether the accounts were credited before the stop was confirmed; only with a rule switched off.
    pub(crate) credited: bool,
}

/// Task and worker of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place {
    pub(crate) job: table::Job,
    pub(crate) index: id::TaskIndex,
    pub(crate) worker: table::Worker,
    pub(crate) rack: u32,
}

impl Record {
    /// Returns a run whose start has been proposed; it is followed up at `due`.
    pub(crate) const fn new(
        place: Place,
        token: id::Token,
        size: resource::Amount,
        now: Duration,
        due: Duration,
    ) -> Self {
        Self {
            job: place.job,
            index: place.index,
            worker: place.worker,
            rack: place.rack,
            token,
            size,
            started: now,
            phase: Phase::Starting,
            confirmed: false,
            former: false,
            seen: 0,
            due,
            missing: 0,
            throttle: LIFTED,
            calm: 0,
            defiant: 0,
            usage: resource::Amount::ZERO,
            peak: resource::Amount::ZERO,
            in_worker: 0,
            in_job: 0,
            credited: false,
        }
    }

    /// Tells whether the worker has been told to end the run.
    pub(crate) const fn is_ending(&self) -> bool {
        matches!(self.phase, Phase::Checkpointing(_) | Phase::Stopping(_))
    }
}
