//! Drains workers.

use std::time::Duration;

use bronzespoke_model::id;

use crate::message::Output;
use crate::scheduler::Scheduler;

impl Scheduler {
    pub(crate) fn drain(&mut self, _now: Duration, id: id::WorkerId, on: bool, _out: &mut Vec<Output>) {
        let Some(&worker) = self.worker_ids.get(&id) else {
            return;
        };
        self.workers[worker].draining = on;
        self.freed(worker);
    }

    pub(crate) fn drain_due(&mut self, _now: Duration, _out: &mut Vec<Output>) {}
}
