//! Holds: workers kept for one job while capacity is being freed on them.
//!
//! A hold for an urgent job lasts about a second, until the stopped runs have ended. A hold for a gang belongs to a
//! reservation, which is made only if it covers enough workers for the complete gang, so that two gangs never wait for
//! each other. All holds expire.

use std::time::Duration;

use bronzespoke_model::{id, job};

use crate::message::Output;
use crate::scheduler::Scheduler;
use crate::{table, timer, worker};

/// Number of held workers that one search for a backfill considers.
const BACKFILL_WORKERS: usize = 64;

impl Scheduler {
    /// Holds a worker for a job. If the job holds the worker already, the tasks are added to that hold.
    pub(crate) fn hold(&mut self, worker: table::Worker, hold: worker::Hold) {
        let record = &mut self.workers[worker];
        let id = record.id;
        if let Some(held) = &mut record.hold {
            debug_assert!(held.job == hold.job, "a worker is held for one job");
            held.slots += hold.slots;
            held.until = hold.until;
        } else {
            record.hold = Some(hold);
            self.held.push(worker);
            self.jobs[hold.job].holds.push(worker);
        }
        self.timers.push(hold.until, timer::Event::Hold(worker, id));
        self.reindex(worker);
    }

    /// Ends the hold on a worker.
    pub(crate) fn release_hold(&mut self, worker: table::Worker) {
        let Some(hold) = self.workers[worker].hold.take() else {
            return;
        };
        self.held.retain(|member| *member != worker);
        self.jobs[hold.job].holds.retain(|member| *member != worker);
        if self.jobs[hold.job].holds.is_empty() {
            self.reservations.retain(|job| *job != hold.job);
        }
        self.capacity_freed(worker);
    }

    /// Ends the hold on a worker that becomes unavailable. A gang loses its complete reservation, so that a reservation
    /// never covers less than its gang needs.
    pub(crate) fn cancel_hold(&mut self, worker: table::Worker) {
        let Some(hold) = self.workers[worker].hold else {
            return;
        };
        if self.jobs[hold.job].kind == job::Kind::Gang {
            self.release_holds(hold.job);
        } else {
            self.release_hold(worker);
        }
    }

    /// Ends all holds of a job.
    pub(crate) fn release_holds(&mut self, job: table::Job) {
        let holds = std::mem::take(&mut self.jobs[job].holds);
        if holds.is_empty() {
            return;
        }
        for &worker in &holds {
            self.workers[worker].hold = None;
        }
        let workers = &self.workers;
        self.held.retain(|worker| workers[*worker].hold.is_some());
        self.reservations.retain(|other| *other != job);
        for worker in holds {
            self.capacity_freed(worker);
        }
    }

    /// Ends a hold that has expired. A gang whose reservation expired gets no new one during a cooldown, so that other
    /// gangs go first.
    pub(crate) fn hold_due(&mut self, now: Duration, worker: table::Worker, id: id::WorkerId) {
        let Some(record) = self.workers.get(worker) else {
            return;
        };
        let Some(hold) = record.hold.filter(|hold| record.id == id && hold.until <= now) else {
            return;
        };
        let job = &self.jobs[hold.job];
        if job.kind == job::Kind::Gang {
            let sequence = job.sequence;
            if let Some(gang) = self.gangs.get_mut(&sequence) {
                gang.cooldown_until = now + self.config.reservation_timeout;
            }
            self.release_holds(hold.job);
        } else {
            // Makes urgent work try another worker.
            self.workers[worker].last_report = None;
            self.release_hold(worker);
        }
    }

    /// Starts tasks on held workers on which capacity has been freed.
    pub(crate) fn fill_holds(&mut self, now: Duration, out: &mut Vec<Output>) {
        while let Some(worker) = self.holds_ready.pop() {
            self.fill_hold(now, worker, out);
        }
    }

    fn fill_hold(&mut self, now: Duration, worker: table::Worker, out: &mut Vec<Output>) {
        while let Some(hold) = self.workers.get(worker).and_then(|record| record.hold) {
            let record = &self.workers[worker];
            let job = &self.jobs[hold.job];
            if job.kind == job::Kind::Gang || !record.usable() {
                return;
            }
            if job.waiting.is_empty() {
                self.release_hold(worker);
                return;
            }
            let fits = record.has_room(&job.size, job.accelerator) && self.teams[job.team].admits(&job.size);
            if !fits {
                return;
            }
            let task = self.take_waiting(hold.job);
            self.start(now, hold.job, task, worker, out);
            let Some(held) = self.workers[worker].hold.as_mut() else {
                return;
            };
            held.slots = held.slots.saturating_sub(1);
            if held.slots == 0 {
                self.release_hold(worker);
            }
        }
    }

    /// Returns a held worker on which a task of another job may run until the held capacity is complete. Eligible are
    /// urgent work, batch work that is expected to end before that, and work that supports checkpoints.
    pub(crate) fn backfill(&self, now: Duration, index: table::Job) -> Option<table::Worker> {
        let job = &self.jobs[index];
        if job.kind == job::Kind::Service && job.priority != job::Priority::Urgent {
            return None;
        }
        let end = now + self.run_time(index);
        let yields = job.priority == job::Priority::Urgent || job.checkpoint;
        self.held.iter().take(BACKFILL_WORKERS).copied().find(|worker| {
            let record = &self.workers[*worker];
            let suitable = record
                .hold
                .is_some_and(|hold| hold.job != index && now < hold.ready && (yields || end <= hold.ready));
            suitable && record.usable() && record.has_room(&job.size, job.accelerator)
        })
    }
}
