//! Gangs: all tasks start together.

use std::time::Duration;

use bronzespoke_model::job;

use crate::message::{Output, Reason};
use crate::scheduler::Scheduler;
use crate::table;

impl Scheduler {
    /// Stops the rest of a gang that has lost a task.
    pub(crate) fn end_gang(&mut self, now: Duration, index: table::Job, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get(index) else {
            return;
        };
        if job.kind != job::Kind::Gang || !job.is_active() {
            return;
        }
        for position in 0..self.jobs[index].runs.len() {
            let run = self.jobs[index].runs[position];
            self.stop(now, run, Reason::Gang, None, out);
        }
        self.enqueue(index);
    }
}
