//! Tells workers that fail everything from jobs that fail everywhere.
//!
//! Failures of several distinct jobs in a row speak against a worker; a job that has failed on two racks is no
//! evidence any more. A suspected worker takes nothing for a while, then one task, and twice as many after each
//! row of successes. Workers of one rack that are suspected together count as one cause: a single failure is
//! then enough against the others, and their failures do not count against jobs.

use std::time::Duration;

use bronzespoke_model::id;

use crate::message::Output;
use crate::scheduler::Scheduler;
use crate::{run, table, timer};

/// Distinct jobs that must fail on a worker without a success in between.
const EVIDENCE: usize = 3;
/// Racks on which a job must have failed to be no evidence against workers.
const JOB_RACKS: usize = 2;
/// First length of a probation; doubles each time.
const FIRST: Duration = Duration::from_secs(30);
/// Longest doubling of a probation, as a power of two.
const DOUBLINGS: u32 = 7;
/// Allowance from which a worker is in full use again.
const FULL: u32 = 16;
/// At most one in this many workers is on probation, so that a common fault of the jobs cannot empty the fleet.
const WORKERS_PER_PROBATION: usize = 4;
/// Suspected workers of one rack that count as one cause.
const RACK_CAUSE: u32 = 2;

impl Scheduler {
    /// Takes the end of a run as evidence.
    pub(crate) fn observe_end(
        &mut self,
        now: Duration,
        record: &run::Record,
        end: run::End,
        out: &mut Vec<Output>,
    ) {
        self.learn(now, record, end);
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
        let next = Some(allowed * 2).filter(|next| *next < FULL);
        if next.is_none() {
            health.probations = 0;
        }
        self.set_health_limit(worker, next);
        self.tell_health(worker, out);
    }

    fn observe_failure(&mut self, now: Duration, record: &run::Record, out: &mut Vec<Output>) {
        let worker = record.worker;
        let job = &self.jobs[record.job];
        let rack = self.workers[worker].rack;
        let elsewhere = job.avoid().iter().filter(|other| **other != rack).count();
        if elsewhere >= JOB_RACKS {
            return;
        }
        let id = job.id;
        let common = self.is_rack_cause(rack);
        let health = &mut self.workers[worker].health;
        if !health.failing.contains(&id) {
            health.failing.push(id);
        }
        let on_trial = health.max_tasks.is_some_and(|allowed| allowed > 0);
        if health.failing.len() >= EVIDENCE || on_trial || common {
            self.suspect(now, worker, out);
        }
    }

    fn suspect(&mut self, now: Duration, worker: table::Worker, out: &mut Vec<Output>) {
        let suspected: u32 = self.racks.iter().map(|rack| rack.probation).sum();
        let record = &mut self.workers[worker];
        let bound = self.worker_ids.len().div_ceil(WORKERS_PER_PROBATION) as u32;
        if record.health.max_tasks == Some(0) || (record.health.max_tasks.is_none() && suspected >= bound) {
            return;
        }
        record.health.failing.clear();
        record.health.probations += 1;
        let doubled = FIRST * (1 << (record.health.probations - 1).min(DOUBLINGS));
        let id = record.id;
        self.set_health_limit(worker, Some(0));
        self.timers
            .push(now + doubled, timer::Event::Probation(worker, id));
        self.tell_health(worker, out);
    }

    /// Lets a worker try one task after its probation.
    pub(crate) fn probation_due(&mut self, worker: table::Worker, id: id::WorkerId, out: &mut Vec<Output>) {
        let Some(record) = self.workers.get(worker) else {
            return;
        };
        if record.id != id || record.health.max_tasks != Some(0) {
            return;
        }
        self.set_health_limit(worker, Some(1));
        self.tell_health(worker, out);
    }

    /// Sets how many tasks a worker may run.
    pub(crate) fn set_health_limit(&mut self, worker: table::Worker, max_tasks: Option<u32>) {
        let record = &mut self.workers[worker];
        let rack = record.rack as usize;
        let was = record.health.max_tasks.is_some();
        record.health.max_tasks = max_tasks;
        record.health.successes = 0;
        match (was, max_tasks.is_some()) {
            (false, true) => self.racks[rack].probation += 1,
            (true, false) => self.racks[rack].probation -= 1,
            _ => {}
        }
        if max_tasks.is_some() {
            self.break_hold(worker);
        }
        self.freed(worker);
    }

    fn tell_health(&self, worker: table::Worker, out: &mut Vec<Output>) {
        let record = &self.workers[worker];
        out.push(Output::WorkerHealth {
            worker: record.id,
            max_tasks: record.health.max_tasks,
        });
    }

    /// Tells whether workers of a rack fail together.
    pub(crate) fn is_rack_cause(&self, rack: u32) -> bool {
        let rack = &self.racks[rack as usize];
        rack.probation >= RACK_CAUSE && rack.probation as usize * 2 >= rack.members.len()
    }
}
