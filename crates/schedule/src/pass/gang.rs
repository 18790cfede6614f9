//! Placement of gangs, whose tasks all start together.

use std::collections::BTreeMap;
use std::time::Duration;

use bronzespoke_model::job;

use crate::amount::{multiply, slots};
use crate::message::{Output, Reason};
use crate::pass::backlog::Assignment;
use crate::scheduler::Scheduler;
use crate::{run, table, timer, worker};

/// Minimum interval between two passes over the gangs.
const PASS_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which waiting gangs are evaluated even if nothing changes.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of gangs for which one pass, or the submissions between two ticks, search for workers; each search scans all
/// workers.
pub(crate) const GANGS_PER_PASS: u32 = 16;
/// Time that backfilled work on reserved workers has for its checkpoint.
const BACKFILL_GRACE: Duration = Duration::from_secs(5);

impl Scheduler {
    /// Stops the remaining tasks of a gang, one of which has ended or can no longer start, and queues the gang again.
    pub(crate) fn stop_gang(&mut self, index: table::Job) {
        let Some(job) = self.jobs.get(index) else {
            return;
        };
        if job.kind != job::Kind::Gang || !job.is_active() {
            return;
        }
        self.cancel_launch(index);
        if !self.jobs[index].runs.is_empty() {
            self.stop_runs(index, Reason::Gang);
        }
        self.enqueue(index);
    }

    /// Starts a newly submitted gang if it fits. Other work would take the capacity if the gang waited for the next pass
    /// over all gangs. Reservations keep gangs that wait longer from starving.
    pub(crate) fn try_gang(&mut self, now: Duration, index: table::Job, out: &mut Vec<Output>) {
        if self.gang_attempts == 0 || !self.may_fit(index) {
            return;
        }
        self.gang_attempts -= 1;
        if let Some(assignment) = self.find_assignment(index) {
            self.launch(now, index, assignment, out);
        }
    }

    /// Starts the gangs that fit, and reserves capacity for the first one that does not.
    pub(crate) fn place_gangs(&mut self, now: Duration, out: &mut Vec<Output>) {
        if !self.gangs_dirty || self.gangs.is_empty() {
            return;
        }
        if now < self.gangs_next {
            return;
        }
        self.gangs_dirty = false;
        self.gangs_next = now + PASS_INTERVAL;
        self.timers.push(now + PASS_INTERVAL, timer::Event::Gangs(false));
        let order = self.gang_order();
        let mut tried = 0;
        for &index in &order {
            if tried == GANGS_PER_PASS {
                self.gangs_dirty = true;
                break;
            }
            if !self.may_fit(index) {
                continue;
            }
            tried += 1;
            if let Some(assignment) = self.find_assignment(index) {
                self.launch(now, index, assignment, out);
            }
        }
        self.reserve_for_first(now, &order);
        self.reclaim_reserved(now, out);
    }

    /// Returns the waiting gangs: urgent ones first, then those with a reservation, then the others, each group in
    /// fair-share order.
    fn gang_order(&self) -> Vec<table::Job> {
        let mut order: Vec<_> = self
            .gangs
            .iter()
            .map(|(&sequence, gang)| {
                let job = &self.jobs[gang.job];
                let normal = job.priority == job::Priority::Normal;
                (
                    normal,
                    job.holds.is_empty(),
                    self.teams[job.team].key,
                    sequence,
                    gang.job,
                )
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|entry| entry.4).collect()
    }

    /// Returns whether the team's allotment and the total free capacity admit the complete gang. It does not consider
    /// fragmentation.
    fn may_fit(&self, index: table::Job) -> bool {
        let job = &self.jobs[index];
        if !self.config.rules.gang_atomic {
            return true;
        }
        let Some(sum) = multiply(&job.size, job.waiting.len()) else {
            return false;
        };
        let admitted = !self.config.rules.team_limit || self.teams[job.team].admits(&sum);
        admitted && sum.fits(&self.total.saturating_sub(&self.used))
    }

    /// Finds workers for all waiting tasks of a gang: those held for it first, then others, each filled as far as
    /// possible.
    fn find_assignment(&self, index: table::Job) -> Option<Assignment> {
        let job = &self.jobs[index];
        let mut remaining = job.waiting.len();
        let mut assignment = Assignment::new();
        let held = job.holds.iter().copied();
        for worker in held.chain(self.free.members(job.accelerator)) {
            let record = &self.workers[worker];
            let mut count = slots(&record.free(), &job.size).min(remaining);
            if !record.usable() || count == 0 {
                continue;
            }
            if let Some(allowed) = record.health.max_tasks {
                count = count.min(allowed.saturating_sub(record.runs.len() as u32));
            }
            assignment.push((worker, count));
            remaining -= count;
            if remaining == 0 {
                return Some(assignment);
            }
        }
        (!self.config.rules.gang_atomic && !assignment.is_empty()).then_some(assignment)
    }

    /// Reserves workers for the first gang without a reservation, one reservation at a time for each accelerator kind.
    fn reserve_for_first(&mut self, now: Duration, order: &[table::Job]) {
        let next = order.iter().copied().find(|&index| {
            let Some(job) = self.jobs.get(index) else {
                return false;
            };
            let cooled_down = self
                .gangs
                .get(&job.sequence)
                .is_some_and(|gang| gang.cooldown_until <= now);
            let conflicts = |other: &table::Job| self.jobs[*other].accelerator == job.accelerator;
            let admitted =
                multiply(&job.size, job.waiting.len()).is_some_and(|sum| self.teams[job.team].admits(&sum));
            let normal = job.priority == job::Priority::Normal;
            normal
                && cooled_down
                && job.holds.is_empty()
                && admitted
                && !self.reservations.iter().any(conflicts)
        });
        if let Some(index) = next {
            self.reserve(now, index);
        }
        if !self.gangs.is_empty() && self.gangs_idle_check <= now {
            self.gangs_idle_check = now + IDLE_INTERVAL;
            self.timers.push(now + IDLE_INTERVAL, timer::Event::Gangs(true));
        }
    }

    /// Reserves the workers that are expected to have room for the complete gang earliest.
    fn reserve(&mut self, now: Duration, index: table::Job) {
        let job = &self.jobs[index];
        let mut candidates = Vec::new();
        for (worker, record) in self.workers.iter() {
            let compatible = job.accelerator == 0 || record.capacity.accelerator == job.accelerator;
            if !compatible || !record.usable() || record.hold.is_some() || record.health.max_tasks.is_some() {
                continue;
            }
            self.future_slots(now, worker, index, &mut candidates);
        }
        candidates.sort_unstable();
        let mut remaining = job.waiting.len();
        let mut chosen: BTreeMap<table::Worker, u32> = BTreeMap::new();
        let mut ready = now;
        for (at, worker, count) in candidates {
            *chosen.entry(worker).or_default() += count.min(remaining);
            remaining -= count.min(remaining);
            ready = ready.max(at);
            if remaining == 0 {
                break;
            }
        }
        if remaining > 0 || ready > now + self.config.reservation_timeout * 2 {
            return;
        }
        let until = ready + self.config.reservation_timeout;
        self.reservations.push(index);
        for (worker, slots) in chosen {
            let hold = worker::Hold {
                job: index,
                slots,
                since: now,
                until,
                ready: ready.max(Duration::from_nanos(1)),
            };
            self.hold(worker, hold);
        }
    }

    /// Appends the times at which a worker is expected to have room for further tasks of a job as its runs end, each
    /// with the number of further tasks.
    pub(crate) fn future_slots(
        &self,
        now: Duration,
        worker: table::Worker,
        index: table::Job,
        slots_by_time: &mut Vec<(Duration, table::Worker, u32)>,
    ) {
        let record = &self.workers[worker];
        let size = &self.jobs[index].size;
        let mut free = record.free();
        let mut counted = slots(&free, size);
        if counted > 0 {
            slots_by_time.push((now, worker, counted));
        }
        let batch = |run: &&run::Record| self.jobs[run.job].kind != job::Kind::Service;
        let runs = record.runs.iter().map(|run| &self.runs[*run]);
        let mut ends: Vec<_> = runs
            .filter(batch)
            .map(|run| (self.expected_end(now, run), run.token, run.size))
            .collect();
        ends.sort_unstable_by_key(|end| (end.0, end.1));
        for (at, _, freed) in ends {
            free = free.saturating_add(&freed);
            let count = slots(&free, size);
            if count > counted {
                slots_by_time.push((at, worker, count - counted));
                counted = count;
            }
        }
    }

    /// Checkpoints and ends backfilled work that still runs when the hold on its worker is due. Work without checkpoint
    /// support is left to run to its end.
    fn reclaim_reserved(&mut self, now: Duration, out: &mut Vec<Output>) {
        for position in 0..self.held.len() {
            let worker = self.held[position];
            let record = &self.workers[worker];
            let Some(hold) = record
                .hold
                .filter(|hold| hold.ready > Duration::ZERO && hold.ready <= now)
            else {
                continue;
            };
            for run in record.runs.clone() {
                let run_record = &self.runs[run];
                if run_record.started >= hold.since && self.is_checkpointable(run_record.job) {
                    self.stop(now, run, Reason::Reserved, Some(BACKFILL_GRACE), out);
                }
            }
        }
    }
}
