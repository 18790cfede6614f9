//! Timers, in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bronzespoke_model::id;

use crate::table;

/// What is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A worker's lease may have run out.
    Lease(table::Worker, id::WorkerId),
    /// The lease of a worker's former life may have run out.
    Former(table::Worker, id::WorkerId),
    /// A stop has not been confirmed, or a start has not been.
    Run(id::Token),
    /// A failed task may start again.
    Retry(table::Job, id::JobId, id::TaskIndex),
    /// A hold on a worker runs out.
    Hold(table::Worker, id::WorkerId),
    /// A worker on probation may be tried again.
    Probation(table::Worker, id::WorkerId),
    /// A pass over the gangs may follow; whether it looks at them even when nothing changed.
    Gangs(bool),
    /// Urgent work may look for victims again.
    Urgent,
    /// Lost work may be released.
    Recovery,
    /// Fair-share keys are refreshed.
    Shares,
    /// Drained workers may lose their next task.
    Drain,
    /// Queued impossibility checks.
    Possible,
}

/// A queue of timers. A timer that no longer applies is ignored when it fires.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    heap: BinaryHeap<Reverse<(Duration, Event)>>,
}

impl Queue {
    /// Adds a timer.
    pub(crate) fn push(&mut self, at: Duration, event: Event) {
        self.heap.push(Reverse((at, event)));
    }

    /// Removes and returns a timer that is due.
    pub(crate) fn pop(&mut self, now: Duration) -> Option<Event> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, event))| event)
    }

    /// Returns the time of the next timer.
    pub(crate) fn next(&self) -> Option<Duration> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }
}
