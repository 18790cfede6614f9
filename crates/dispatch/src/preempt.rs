//! Choice of the runs that are stopped in favour of work of a higher priority.

use std::time::Duration;

use bronzespoke_workload::eligibility;

/// Steps that found no room.
#[derive(Debug, Default)]
pub struct Preemptions {
    newest: Option<(Duration, eligibility::Step, u32)>,
}

impl Preemptions {
    /// Records that a step found no room for a number of tasks.
    pub fn refused(&mut self, now: Duration, step: eligibility::Step, tasks: u32) {
        self.newest = Some((now, step, tasks));
    }
}
