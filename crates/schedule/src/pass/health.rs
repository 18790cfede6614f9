//! Distinguishes workers on which every job fails from jobs that fail on every worker.
//!
//! A worker is put on probation when several distinct jobs fail on it without a success in between. Failures of a job
//! that has also failed on two other racks do not count against workers. A worker on probation runs no tasks for a
//! while, then one, and twice as many after each series of successes. If at least two
//! workers and half of a rack are on probation, a common cause is assumed: a single failure is then enough to put
//! another worker of the rack on probation, and failures on the rack do not count against jobs.

use std::time::Duration;

use bronzespoke_model::id;

use crate::message::Output;
use crate::scheduler::Scheduler;
use crate::{run, table, timer};

/// Number of distinct jobs whose failures without a success in between put a worker on probation.
const FAILING_JOBS: usize = 3;
/// Number of other racks on which a job must have failed for its failures not to count against workers.
const JOB_RACKS: usize = 2;
/// Duration of the first probation; doubles with each further one.
const MIN_PROBATION: Duration = Duration::from_secs(30);
/// Maximum number of times that the duration of a probation is doubled.
const MAX_DOUBLINGS: u32 = 7;
/// Number of tasks at which the limit of a worker is lifted.
const FULL_USE: u32 = 16;
/// At most one in this many workers is on probation, so that a failure shared by many jobs cannot take the entire fleet
/// out of use.
const WORKERS_PER_PROBATION: usize = 4;
/// Minimum number of workers on probation in one rack for a common cause to be assumed.
const RACK_SUSPECTS: u32 = 2;

impl Scheduler {
    /// Updates the estimates and the health of the worker from the end of a run.
    pub(crate) fn observe_end(
        &mut self,
        now: Duration,
        record: &run::Record,
        end: run::End,
        out: &mut Vec<Output>,
    ) {
        self.update_model(now, record, end);
        match end {
            run::End::Succeeded => self.observe_success(record.worker, out),
            run::End::Failed => self.observe_failure(now, record, out),
            run::End::Stopped | run::End::Checkpointed | run::End::LeaseExpired => {}
        }
    }

    fn observe_success(&mut self, worker: table::Worker, out: &mut Vec<Output>) {
        let health = &mut self.workers[worker].health;
        health.failing.clear();
        let Some(allowed) = health.max_tasks.filter(|allowed| *allowed > 0) else {
            return;
        };
        health.successes += 1;
        if health.successes < allowed {
            return;
        }
        let next = Some(allowed * 2).filter(|next| *next < FULL_USE);
        if next.is_none() {
            health.probations = 0;
        }
        self.set_health_limit(worker, next);
        self.emit_health(worker, out);
    }

    fn observe_failure(&mut self, now: Duration, record: &run::Record, out: &mut Vec<Output>) {
        let worker = record.worker;
        let job = &self.jobs[record.job];
        let rack = self.workers[worker].rack;
        let elsewhere = job.avoided_racks().iter().filter(|other| **other != rack).count();
        if elsewhere >= JOB_RACKS {
            return;
        }
        let id = job.id;
        let rack_suspected = self.is_rack_suspected(rack);
        let health = &mut self.workers[worker].health;
        if !health.failing.contains(&id) {
            health.failing.push(id);
        }
        let on_trial = health.max_tasks.is_some_and(|allowed| allowed > 0);
        if health.failing.len() >= FAILING_JOBS || on_trial || rack_suspected {
            self.start_probation(now, worker, out);
        }
    }

    fn start_probation(&mut self, now: Duration, worker: table::Worker, out: &mut Vec<Output>) {
        let on_probation: u32 = self.racks.iter().map(|rack| rack.probation).sum();
        let record = &mut self.workers[worker];
        let bound = self.worker_ids.len().div_ceil(WORKERS_PER_PROBATION) as u32;
        if record.health.max_tasks == Some(0) || (record.health.max_tasks.is_none() && on_probation >= bound)
        {
            return;
        }
        record.health.failing.clear();
        record.health.probations += 1;
        let duration = MIN_PROBATION * (1 << (record.health.probations - 1).min(MAX_DOUBLINGS));
        let id = record.id;
        self.set_health_limit(worker, Some(0));
        self.timers
            .push(now + duration, timer::Event::Probation(worker, id));
        self.emit_health(worker, out);
    }

    /// Permits a worker one task after its time without tasks.
    pub(crate) fn probation_due(&mut self, worker: table::Worker, id: id::WorkerId, out: &mut Vec<Output>) {
        let Some(record) = self.workers.get(worker) else {
            return;
        };
        if record.id != id || record.health.max_tasks != Some(0) {
            return;
        }
        self.set_health_limit(worker, Some(1));
        self.emit_health(worker, out);
    }

    /// Sets the maximum number of concurrent tasks of a worker.
    pub(crate) fn set_health_limit(&mut self, worker: table::Worker, max_tasks: Option<u32>) {
        let record = &mut self.workers[worker];
        let rack = record.rack as usize;
        let was_limited = record.health.max_tasks.is_some();
        record.health.max_tasks = max_tasks;
        record.health.successes = 0;
        match (was_limited, max_tasks.is_some()) {
            (false, true) => self.racks[rack].probation += 1,
            (true, false) => self.racks[rack].probation -= 1,
            _ => {}
        }
        if max_tasks.is_some() {
            self.cancel_hold(worker);
        }
        self.capacity_freed(worker);
    }

    fn emit_health(&self, worker: table::Worker, out: &mut Vec<Output>) {
        let record = &self.workers[worker];
        out.push(Output::WorkerHealth {
            worker: record.id,
            max_tasks: record.health.max_tasks,
        });
    }

    /// Returns whether the workers of a rack are assumed to fail from a common cause.
    pub(crate) fn is_rack_suspected(&self, rack: u32) -> bool {
        let rack = &self.racks[rack as usize];
        rack.probation >= RACK_SUSPECTS && rack.probation as usize * 2 >= rack.members.len()
    }
}
