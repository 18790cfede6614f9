//! Workers, their accounts and their health.

use std::time::Duration;

use bronzespoke_model::{id, resource};
use smallvec::SmallVec;

use crate::{index, table};

/// Exclusive use of a worker's free capacity by one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Hold {
    /// Job that the worker is held for.
    pub(crate) job: table::Job,
    /// Number of tasks for which capacity is held.
    pub(crate) slots: u32,
    /// When the hold began.
    pub(crate) since: Duration,
    /// When the hold expires.
    pub(crate) until: Duration,
    /// When the held capacity is expected to be free; shorter work may be backfilled until then. Zero for an urgent
    /// job, whose hold permits no backfill.
    pub(crate) ready: Duration,
}

/// Failure history and probation state of a worker.
#[derive(Debug, Default, Clone)]
pub(crate) struct Health {
    /// Distinct jobs that failed here since the last success, at most as many as start a probation.
    pub(crate) failing: SmallVec<[id::JobId; 4]>,
    /// Maximum number of concurrent tasks; `None` for no limit, 0 while the worker may run none.
    pub(crate) max_tasks: Option<u32>,
    /// Number of successes since the last change of `max_tasks`.
    pub(crate) successes: u32,
    /// Number of probations since the worker was last in full use.
    pub(crate) probations: u32,
}

/// Scheduler state of one worker.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) id: id::WorkerId,
    pub(crate) incarnation: id::Incarnation,
    /// Position in the list of racks.
    pub(crate) rack: u32,
    pub(crate) capacity: resource::Capacity,
    /// Sum of the amounts of `runs` and of `launching_amount`.
    pub(crate) used: resource::Amount,
    /// Amount debited for gang tasks whose start has not been proposed yet.
    pub(crate) launching_amount: resource::Amount,
    /// Measured usage above the granted amounts.
    pub(crate) excess: resource::Amount,
    /// Runs under a lease on this worker, of the present incarnation or an earlier one.
    pub(crate) runs: Vec<table::Run>,
    pub(crate) sequence: u64,
    /// When the worker last registered or reported. Cleared when a hold for urgent work expires unfilled, so that
    /// preemption avoids the worker until its next report.
    pub(crate) last_report: Option<Duration>,
    /// When the lease of the present incarnation expires, unless a report renews it.
    pub(crate) lease_until: Duration,
    /// When the leases of earlier incarnations expire.
    pub(crate) earlier_until: Option<Duration>,
    /// Whether the worker has registered with or reported to this scheduler.
    pub(crate) confirmed: bool,
    pub(crate) draining: bool,
    pub(crate) hold: Option<Hold>,
    pub(crate) health: Health,
    pub(crate) slot: Option<index::Slot>,
    /// Whether the worker is in the list of workers with freed capacity.
    pub(crate) dirty: bool,
}

impl Record {
    /// Returns the amount that may still be granted.
    pub(crate) fn free(&self) -> resource::Amount {
        self.capacity
            .amount
            .saturating_sub(&self.used)
            .saturating_sub(&self.excess)
    }

    /// Returns whether the worker accepts new tasks, regardless of its free amount and holds.
    pub(crate) fn usable(&self) -> bool {
        self.confirmed
            && !self.draining
            && self
                .health
                .max_tasks
                .is_none_or(|allowed| (self.runs.len() as u32) < allowed)
    }

    /// Returns whether a task fits into the free amount.
    pub(crate) fn has_room(&self, size: &resource::Amount, kind: id::AcceleratorKind) -> bool {
        size.fits(&self.free()) && (kind == 0 || kind == self.capacity.accelerator)
    }
}
