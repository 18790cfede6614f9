//! Registration, leases and loss of workers.

use std::time::Duration;

use bronzespoke_model::{id, resource, task, worker as model};

use crate::message::Output;
use crate::scheduler::{Rack, Scheduler};
use crate::{table, timer, worker};

/// Delay before waiting jobs are checked against a changed fleet, so that the loss of a rack causes a single check.
const FEASIBILITY_DELAY: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Registers a worker or a new incarnation of it. A restored worker is unconfirmed until it reports.
    pub(crate) fn register(
        &mut self,
        now: Duration,
        registration: &model::Registration,
        confirmed: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(&worker) = self.worker_ids.get(&registration.worker) else {
            self.add_worker(now, registration, confirmed);
            return;
        };
        if registration.incarnation > self.workers[worker].incarnation {
            self.begin_incarnation(now, worker, registration, out);
        }
    }

    fn add_worker(&mut self, now: Duration, registration: &model::Registration, confirmed: bool) {
        let rack = self.rack(registration.rack);
        let until = now + self.config.lease_expiry();
        let worker = self.workers.insert(worker::Record {
            id: registration.worker,
            incarnation: registration.incarnation,
            rack,
            capacity: registration.capacity,
            used: resource::Amount::ZERO,
            launching_amount: resource::Amount::ZERO,
            excess: resource::Amount::ZERO,
            runs: Vec::new(),
            sequence: 0,
            last_report: Some(now),
            lease_until: until,
            earlier_until: None,
            confirmed,
            draining: false,
            hold: None,
            health: worker::Health::default(),
            slot: None,
            dirty: false,
        });
        self.worker_ids.insert(registration.worker, worker);
        self.racks[rack as usize].members.push(worker);
        self.total = self.total.saturating_add(&registration.capacity.amount);
        self.count_capacity(registration.capacity, true);
        self.unconfirmed += u32::from(!confirmed);
        self.timers
            .push(until, timer::Event::Lease(worker, registration.worker));
        self.capacity_freed(worker);
        self.schedule_feasibility_check(now);
    }

    /// Replaces the incarnation of a worker. Runs of the earlier incarnation may continue until its lease expires.
    fn begin_incarnation(
        &mut self,
        now: Duration,
        worker: table::Worker,
        registration: &model::Registration,
        out: &mut Vec<Output>,
    ) {
        self.cancel_launches_on(worker);
        let rack = self.rack(registration.rack);
        let until = now + self.config.lease_expiry();
        let record = &mut self.workers[worker];
        let earlier_until = record.lease_until;
        self.total = self.total.saturating_sub(&record.capacity.amount);
        self.total = self.total.saturating_add(&registration.capacity.amount);
        record.incarnation = registration.incarnation;
        let old = std::mem::replace(&mut record.capacity, registration.capacity);
        record.sequence = 0;
        record.lease_until = until;
        record.last_report = Some(now);
        let was_confirmed = record.confirmed;
        record.confirmed = true;
        let old_rack = std::mem::replace(&mut record.rack, rack);
        if !record.runs.is_empty() {
            record.earlier_until = Some(earlier_until);
            self.timers.push(
                earlier_until,
                timer::Event::EarlierLease(worker, registration.worker),
            );
        }
        for position in 0..self.workers[worker].runs.len() {
            let run = self.workers[worker].runs[position];
            self.runs[run].earlier_incarnation = true;
        }
        self.count_capacity(old, false);
        self.count_capacity(registration.capacity, true);
        if old_rack != rack {
            let suspected = u32::from(self.workers[worker].health.max_tasks.is_some());
            self.racks[old_rack as usize].probation -= suspected;
            self.racks[rack as usize].probation += suspected;
            self.racks[old_rack as usize]
                .members
                .retain(|member| *member != worker);
            self.racks[rack as usize].members.push(worker);
        }
        if !was_confirmed {
            self.confirm_worker(now, out);
        }
        self.capacity_freed(worker);
        self.schedule_feasibility_check(now);
    }

    fn count_capacity(&mut self, capacity: resource::Capacity, added: bool) {
        let key = (capacity.accelerator, capacity.amount);
        let count = self.capacities.entry(key).or_insert(0);
        if added {
            *count += 1;
        } else {
            *count -= 1;
        }
        if *count == 0 {
            self.capacities.remove(&key);
        }
    }

    fn rack(&mut self, id: id::RackId) -> u32 {
        *self.rack_ids.entry(id).or_insert_with(|| {
            self.racks.push(Rack::default());
            self.racks.len() as u32 - 1
        })
    }

    fn schedule_feasibility_check(&mut self, now: Duration) {
        if !self.feasibility_pending {
            self.feasibility_pending = true;
            self.feasibility_next = 0;
            self.timers
                .push(now + FEASIBILITY_DELAY, timer::Event::Feasibility);
        }
    }

    /// Removes a worker if its lease has expired.
    pub(crate) fn lease_due(
        &mut self,
        now: Duration,
        worker: table::Worker,
        id: id::WorkerId,
        out: &mut Vec<Output>,
    ) {
        let Some(record) = self.workers.get(worker) else {
            return;
        };
        if record.id != id {
            return;
        }
        let until = record.lease_until;
        if now < until {
            self.timers.push(until, timer::Event::Lease(worker, id));
            return;
        }
        self.lose_worker(now, worker, out);
    }

    /// Ends the runs of a worker's earlier incarnations if their lease has expired.
    pub(crate) fn earlier_lease_due(
        &mut self,
        now: Duration,
        worker: table::Worker,
        id: id::WorkerId,
        out: &mut Vec<Output>,
    ) {
        let Some(record) = self.workers.get_mut(worker) else {
            return;
        };
        if record.id != id || record.earlier_until.is_none_or(|until| now < until) {
            return;
        }
        record.earlier_until = None;
        let runs = record.runs.clone();
        for run in runs {
            if self.runs.get(run).is_some_and(|run| run.earlier_incarnation) {
                self.end_run(now, run, task::Outcome::LeaseExpired, out);
            }
        }
    }

    /// Handles a notification that no task runs on a worker after `at`.
    pub(crate) fn worker_gone(
        &mut self,
        now: Duration,
        id: id::WorkerId,
        at: Duration,
        out: &mut Vec<Output>,
    ) {
        let Some(&worker) = self.worker_ids.get(&id) else {
            return;
        };
        if at <= now {
            self.lose_worker(now, worker, out);
            return;
        }
        self.cancel_launches_on(worker);
        let record = &mut self.workers[worker];
        record.lease_until = record.lease_until.min(at);
        if std::mem::replace(&mut record.confirmed, false) {
            self.unconfirmed += 1;
        }
        self.reindex(worker);
        self.timers.push(at, timer::Event::Lease(worker, id));
    }

    fn lose_worker(&mut self, now: Duration, worker: table::Worker, out: &mut Vec<Output>) {
        self.cancel_launches_on(worker);
        let record = &mut self.workers[worker];
        let id = record.id;
        let was_confirmed = std::mem::replace(&mut record.confirmed, false);
        let capacity = record.capacity.amount;
        let rack = record.rack;
        for run in record.runs.clone() {
            self.end_run(now, run, task::Outcome::LeaseExpired, out);
        }
        self.cancel_hold(worker);
        self.set_health_limit(worker, None);
        self.reindex(worker);
        self.racks[rack as usize]
            .members
            .retain(|member| *member != worker);
        self.draining.retain(|member| *member != worker);
        let removed = self.workers.remove(worker).capacity;
        self.count_capacity(removed, false);
        self.worker_ids.remove(&id);
        self.total = self.total.saturating_sub(&capacity);
        out.push(Output::WorkerLost { worker: id });
        if !was_confirmed {
            self.confirm_worker(now, out);
        }
        self.schedule_feasibility_check(now);
    }

    /// Counts an unconfirmed worker as confirmed or lost.
    pub(crate) fn confirm_worker(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.unconfirmed -= 1;
        self.check_recovered(now, out);
    }

    /// Emits the duration of the recovery, once, when no worker is unconfirmed any more.
    pub(crate) fn check_recovered(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(restored) = self.restored else {
            return;
        };
        if self.unconfirmed == 0 && self.recovery.is_none() {
            let duration = now.saturating_sub(restored);
            self.recovery = Some(duration);
            out.push(Output::Recovered { duration });
            self.check_feasibility(now);
        }
    }
}
