//! Drains workers.
//!
//! Services move one task at a time: the next is stopped when the replacement of the last has been seen running.
//! Batch tasks that can be checkpointed are moved; other batch and gang tasks run to their end.

use std::time::Duration;

use bronzespoke_model::{id, job};

use crate::message::{Output, Reason};
use crate::run::Phase;
use crate::scheduler::Scheduler;
use crate::{table, timer};

/// Interval at which drained workers are looked at.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time to checkpoint for a task on a drained worker.
const GRACE: Duration = Duration::from_secs(30);

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
            self.break_hold(worker);
            self.draining.push(worker);
            self.relist(worker);
            self.drain_due(now, out);
        } else {
            self.draining.retain(|member| *member != worker);
            self.freed(worker);
        }
    }

    /// Takes the next step of all drains.
    pub(crate) fn drain_due(&mut self, now: Duration, out: &mut Vec<Output>) {
        let mut left = false;
        for position in 0..self.draining.len() {
            if self.work == 0 {
                self.timers.push(now, timer::Event::Drain);
                self.more = true;
                return;
            }
            let worker = self.draining[position];
            let runs = self.workers[worker].runs.clone();
            left |= !runs.is_empty();
            for run in runs {
                self.drain_run(now, run, out);
            }
        }
        if left && self.drain_next <= now {
            self.drain_next = now + INTERVAL;
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
                if !self.config.rules.rolling_drain || self.is_complete(record.job) {
                    self.stop(now, run, Reason::Drained, None, out);
                }
            }
            job::Kind::Batch => {
                if self.is_checkpointable(record.job) {
                    self.stop(now, run, Reason::Drained, Some(GRACE), out);
                }
            }
            job::Kind::Gang => {}
        }
    }

    /// Tells whether all tasks of a service have been seen running and none is to end.
    fn is_complete(&self, index: table::Job) -> bool {
        let job = &self.jobs[index];
        job.runs.len() as u32 == job.tasks
            && job.runs.iter().all(|run| self.runs[*run].phase == Phase::Running)
    }
}
