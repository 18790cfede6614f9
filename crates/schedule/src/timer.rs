//! Timers of the scheduler.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bronzespoke_model::id;

use crate::table;

/// Event of a timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A worker's lease may have expired.
    Lease(table::Worker, id::WorkerId),
    /// The lease of an earlier incarnation of a worker may have expired.
    EarlierLease(table::Worker, id::WorkerId),
    /// A start or stop of a run may still be unconfirmed.
    Run(id::Token),
    /// The retry delay of a task has elapsed.
    Retry(table::Job, id::JobId, id::TaskIndex),
    /// A hold on a worker expires.
    Hold(table::Worker, id::WorkerId),
    /// A worker on probation may run a task again.
    Probation(table::Worker, id::WorkerId),
    /// A pass over the gangs is permitted; if true, it evaluates them even if nothing has changed.
    Gangs(bool),
    /// The next preemption pass is permitted.
    Urgent,
    /// The next tasks of lost workers may be released.
    Recovery,
    /// Fair-share keys are due for an update.
    Shares,
    /// The next tasks of drained workers may be stopped.
    Drain,
    /// The feasibility check of waiting jobs continues.
    Feasibility,
}

/// A queue of timers ordered by time. A timer that no longer applies is ignored when it fires.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    heap: BinaryHeap<Reverse<(Duration, Event)>>,
}

impl Queue {
    /// Adds a timer.
    pub(crate) fn push(&mut self, at: Duration, event: Event) {
        self.heap.push(Reverse((at, event)));
    }

    /// Removes the earliest timer if it is due and returns its event.
    pub(crate) fn pop(&mut self, now: Duration) -> Option<Event> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, event))| event)
    }

    /// Returns the time of the earliest timer.
    pub(crate) fn next(&self) -> Option<Duration> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }
}
