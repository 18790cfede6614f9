//! Holds: workers kept for one job.

use std::time::Duration;

use bronzespoke_model::id;

use crate::scheduler::Scheduler;
use crate::table;

impl Scheduler {
    /// Ends the hold on a worker.
    pub(crate) fn release_hold(&mut self, worker: table::Worker) {
        let Some(hold) = self.workers[worker].hold.take() else {
            return;
        };
        self.held.retain(|member| *member != worker);
        self.jobs[hold.job].holds.retain(|member| *member != worker);
        self.freed(worker);
    }

    /// Ends all holds of a job.
    pub(crate) fn release_holds(&mut self, job: table::Job) {
        while let Some(&worker) = self.jobs[job].holds.last() {
            self.release_hold(worker);
        }
    }

    /// Ends a hold that has run out.
    pub(crate) fn hold_due(&mut self, now: Duration, worker: table::Worker, id: id::WorkerId) {
        let Some(record) = self.workers.get(worker) else {
            return;
        };
        if record.id == id && record.hold.is_some_and(|hold| hold.until <= now) {
            self.release_hold(worker);
        }
    }
}
