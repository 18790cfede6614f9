//! Holds: workers kept for one job while room is made on them.
//!
//! A hold for an urgent job lasts about a second, until the stopped runs have ended. A hold for a gang is part of
//! a reservation: it is made only on enough workers for the whole gang, so that two gangs never wait for each
//! other, and it runs out.

use std::time::Duration;

use bronzespoke_model::{id, job};

use crate::message::Output;
use crate::scheduler::Scheduler;
use crate::{table, timer, worker};

/// Held workers that one backfill looks at.
const BACKFILL_LOOKS: usize = 64;

impl Scheduler {
    /// Keeps a worker for a job, for one more task when it is held already.
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
        self.relist(worker);
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
        self.freed(worker);
    }

    /// Ends the hold on a worker that falls out of use. A gang's reservation is given up as a whole, so that it never
    /// keeps less than it needs.
    pub(crate) fn break_hold(&mut self, worker: table::Worker) {
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
            self.freed(worker);
        }
    }

    /// Ends a hold that has run out. A gang whose reservation ran out lets other gangs go first for a while.
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
                gang.cool_until = now + self.config.max_reservation;
            }
            self.release_holds(hold.job);
        } else {
            // Urgent work then tries another worker.
            self.workers[worker].reported = None;
            self.release_hold(worker);
        }
    }

    /// Starts tasks on held workers on which room has been freed.
    pub(crate) fn fill_holds(&mut self, now: Duration, out: &mut Vec<Output>) {
        while let Some(worker) = self.hold_ready.pop() {
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
            let room = record.has_room(&job.size, job.accelerator) && self.teams[job.team].admits(&job.size);
            if !room {
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

    /// Returns a worker reserved for a gang on which a task of the job may run meanwhile: urgent work, work that
    /// ends before the reservation is needed, and work that can be checkpointed.
    pub(crate) fn backfill(&self, now: Duration, index: table::Job) -> Option<table::Worker> {
        let job = &self.jobs[index];
        if job.kind == job::Kind::Service && job.priority != job::Priority::Urgent {
            return None;
        }
        let end = now + self.run_time(index);
        let brief = job.priority == job::Priority::Urgent || job.checkpoint;
        self.held.iter().take(BACKFILL_LOOKS).copied().find(|worker| {
            let record = &self.workers[*worker];
            let reserved = record
                .hold
                .is_some_and(|hold| hold.job != index && now < hold.ready && (brief || end <= hold.ready));
            reserved && record.usable() && record.has_room(&job.size, job.accelerator)
        })
    }
}
