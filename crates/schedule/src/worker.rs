//! Workers and their accounts.

use std::time::Duration;

use bronzespoke_model::{id, resource};
use smallvec::SmallVec;

use crate::{index, table};

/// Why a worker is kept for one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Hold {
    /// The job.
    pub(crate) job: table::Job,
    /// Tasks for which room is kept.
    pub(crate) slots: u32,
    /// When it began.
    pub(crate) since: Duration,
    /// When the hold ends.
    pub(crate) until: Duration,
    /// When the room is expected to be complete; smaller work may run until then. Zero for an
    /// urgent job, which keeps all of it.
    pub(crate) ready: Duration,
}

/// What is known about failures on a worker.
#[derive(Debug, Default, Clone)]
pub(crate) struct Health {
    /// Distinct jobs that failed here since the last success, at most the number that is needed.
    pub(crate) failing: SmallVec<[id::JobId; 4]>,
    /// Tasks that may run at the same time; `None` for no limit.
    pub(crate) max_tasks: Option<u32>,
    /// Successes since the last change of `max_tasks`.
    pub(crate) successes: u32,
    /// Probations in a row.
    pub(crate) probations: u32,
}

/// A worker.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) id: id::WorkerId,
    pub(crate) incarnation: id::Incarnation,
    /// Position in the list of racks.
    pub(crate) rack: u32,
    pub(crate) capacity: resource::Capacity,
    /// Sum of the amounts of `runs`, and what is promised.
    pub(crate) used: resource::Amount,
    /// Room of tasks of gangs that are being started.
    pub(crate) promised: resource::Amount,
    /// Measured use above the granted amounts.
    pub(crate) excess: resource::Amount,
    /// Runs under a lease on this worker, of this life or a former one.
    pub(crate) runs: Vec<table::Run>,
    pub(crate) sequence: u64,
    /// When it last registered or reported; none when room that was asked for has not come since.
    pub(crate) reported: Option<Duration>,
    /// Nothing of this life runs after this, unless a report comes first.
    pub(crate) lease_until: Duration,
    /// Nothing of former lives runs after this.
    pub(crate) former_until: Option<Duration>,
    /// Whether it has registered or reported to this scheduler.
    pub(crate) confirmed: bool,
    pub(crate) draining: bool,
    pub(crate) hold: Option<Hold>,
    pub(crate) health: Health,
    pub(crate) slot: Option<index::Slot>,
    /// Whether it stands in the list of workers with freed room.
    pub(crate) dirty: bool,
}

impl Record {
    /// Returns what may still be granted.
    pub(crate) fn free(&self) -> resource::Amount {
        self.capacity
            .amount
            .saturating_sub(&self.used)
            .saturating_sub(&self.excess)
    }

    /// Tells whether the worker takes new tasks, apart from its free amount and holds.
    pub(crate) fn usable(&self) -> bool {
        self.confirmed
            && !self.draining
            && self
                .health
                .max_tasks
                .is_none_or(|allowed| (self.runs.len() as u32) < allowed)
    }

    /// Tells whether a task fits now.
    pub(crate) fn has_room(&self, size: &resource::Amount, kind: id::AcceleratorKind) -> bool {
        size.fits(&self.free()) && (kind == 0 || kind == self.capacity.accelerator)
    }
}
