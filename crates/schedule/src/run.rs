//! Runs of tasks under a lease.

use std::time::Duration;

use bronzespoke_model::{id, resource, task};

use crate::{message, table};

/// Lifecycle phase of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start has been proposed; no report has listed the run yet.
    Starting,
    /// A report has listed the run.
    Running,
    /// The worker has been instructed to checkpoint and stop the run.
    Checkpointing(message::Reason),
    /// The worker has been instructed to stop the run.
    Stopping(message::Reason),
}

/// Kind of a [`task::Outcome`], without the result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// Completed successfully.
    Succeeded,
    /// Ended with an error.
    Failed,
    /// Stopped on request.
    Stopped,
    /// Checkpointed and stopped on request.
    Checkpointed,
    /// The lease expired.
    LeaseExpired,
}

impl End {
    /// Returns the kind of an outcome.
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

/// Throttle of a run that is not throttled, in thousandths of the granted processors.
pub(crate) const UNTHROTTLED: u32 = 1000;

/// Scheduler state of one run.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) job: table::Job,
    pub(crate) index: id::TaskIndex,
    pub(crate) worker: table::Worker,
    /// Position in the list of racks of the rack that the worker was in when the run started.
    pub(crate) rack: u32,
    pub(crate) token: id::Token,
    /// Amount debited from the accounts.
    pub(crate) size: resource::Amount,
    pub(crate) started: Duration,
    pub(crate) phase: Phase,
    /// Whether a report of the present incarnation of the worker has listed the run.
    pub(crate) confirmed: bool,
    /// Whether the run belongs to an earlier incarnation of its worker.
    pub(crate) earlier_incarnation: bool,
    /// Sequence number of the last report that listed the run.
    pub(crate) last_sequence: u64,
    /// When an unconfirmed start or stop is checked again.
    pub(crate) due: Duration,
    /// Number of consecutive reports that did not list the run after it had been confirmed.
    pub(crate) missed_reports: u8,
    /// Share of the granted processors that the run is limited to, in thousandths.
    pub(crate) throttle: u32,
    /// Number of consecutive reports that permit lifting the throttle.
    pub(crate) lift_reports: u8,
    /// Number of consecutive reports in which a throttled run exceeded its limit.
    pub(crate) excess_reports: u8,
    /// Measured usage at the last report.
    pub(crate) usage: resource::Amount,
    /// Peak of the measured usage.
    pub(crate) peak: resource::Amount,
    /// Position in the worker's list.
    pub(crate) in_worker: u32,
    /// Position in the job's list.
    pub(crate) in_job: u32,
    /// Whether the accounts were credited before the stop was confirmed, which happens only if the rule
    /// `count_stopping` is disabled.
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
    /// Returns a run whose start has been proposed and is checked at `due`.
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
            earlier_incarnation: false,
            last_sequence: 0,
            due,
            missed_reports: 0,
            throttle: UNTHROTTLED,
            lift_reports: 0,
            excess_reports: 0,
            usage: resource::Amount::ZERO,
            peak: resource::Amount::ZERO,
            in_worker: 0,
            in_job: 0,
            credited: false,
        }
    }

    /// Returns whether the worker has been instructed to end the run.
    pub(crate) const fn is_ending(&self) -> bool {
        matches!(self.phase, Phase::Checkpointing(_) | Phase::Stopping(_))
    }
}
