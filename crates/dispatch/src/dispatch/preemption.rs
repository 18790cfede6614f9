//! Preemption of runs in favour of work of a higher priority.

use std::time::Duration;

use super::{Dispatch, schedule::Subject};

impl Dispatch {
    /// Makes room for tasks of a step that does not fit.
    pub(super) fn make_room(&mut self, now: Duration, subject: &Subject<'_>, needed: u32) {
        self.preemptions.refused(now, subject.id, needed);
    }
}
