//! Drains workers.
//!
//! Services move one task at a time: the next task is stopped once the replacement of the previous one has been
//! reported as running. Batch tasks that support checkpoints are moved; other batch tasks and gang tasks run to
//! completion.

use std::time::Duration;

use bronzespoke_model::{id, job};

use crate::message::{Output, Reason};
use crate::run::Phase;
use crate::scheduler::Scheduler;
use crate::{table, timer};

/// Interval at which drained workers are checked.
const DRAIN_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a task on a drained worker has for its checkpoint.
const CHECKPOINT_GRACE: Duration = Duration::from_secs(30);

impl Scheduler {
    /// Starts or ends the drain of a worker.
    pub(crate) fn drain(&mut self, now: Duration, id: id::WorkerId, on: bool, out: &mut Vec<Output>) {
        let Some(&worker) = self.worker_ids.get(&id) else {
            return;
        };
        if self.workers[worker].draining == on {
            return;
        }
        self.workers[worker].draining = on;
        if on {
            self.cancel_hold(worker);
            self.draining.push(worker);
            self.reindex(worker);
            self.drain_due(now, out);
        } else {
            self.draining.retain(|member| *member != worker);
            self.capacity_freed(worker);
        }
    }

    /// Advances all drains, and schedules the next check while drained workers have runs.
    pub(crate) fn drain_due(&mut self, now: Duration, out: &mut Vec<Output>) {
        let mut runs_remain = false;
        for position in 0..self.draining.len() {
            if self.work_budget == 0 {
                self.timers.push(now, timer::Event::Drain);
                self.has_more = true;
                return;
            }
            let worker = self.draining[position];
            let runs = self.workers[worker].runs.clone();
            runs_remain |= !runs.is_empty();
            for run in runs {
                self.drain_run(now, run, out);
            }
        }
        if runs_remain && self.drain_next <= now {
            self.drain_next = now + DRAIN_INTERVAL;
            self.timers.push(self.drain_next, timer::Event::Drain);
        }
    }

    fn drain_run(&mut self, now: Duration, run: table::Run, out: &mut Vec<Output>) {
        let record = &self.runs[run];
        if record.is_ending() {
            return;
        }
        match self.jobs[record.job].kind {
            job::Kind::Service => {
                if !self.config.rules.rolling_drain || self.is_fully_running(record.job) {
                    self.stop(now, run, Reason::Drained, None, out);
                }
            }
            job::Kind::Batch => {
                if self.is_checkpointable(record.job) {
                    self.stop(now, run, Reason::Drained, Some(CHECKPOINT_GRACE), out);
                }
            }
            job::Kind::Gang => {}
        }
    }

    /// Returns whether all tasks of a service have been reported as running and none of them is ending.
    fn is_fully_running(&self, index: table::Job) -> bool {
        let job = &self.jobs[index];
        job.runs.len() as u32 == job.tasks
            && job.runs.iter().all(|run| self.runs[*run].phase == Phase::Running)
    }
}
