//! Gangs: all tasks start together.

use std::collections::BTreeMap;
use std::time::Duration;

use bronzespoke_model::job;

use crate::amount::{slots, times};
use crate::message::{Output, Reason};
use crate::pass::backlog::Rooms;
use crate::scheduler::Scheduler;
use crate::{run, table, timer, worker};

/// Shortest interval between two passes over the gangs.
const PASS_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which waiting gangs are looked at when nothing changes.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Gangs for which one pass, or the submissions from one tick to the next, count the free room; each looks at all
/// workers.
pub(crate) const COUNTED: u32 = 16;
/// Time to checkpoint for work that was let onto reserved workers.
const BACKFILL_GRACE: Duration = Duration::from_secs(5);

impl Scheduler {
    /// Stops the rest of a gang that has lost a task.
    pub(crate) fn end_gang(&mut self, index: table::Job) {
        let Some(job) = self.jobs.get(index) else {
            return;
        };
        if job.kind != job::Kind::Gang || !job.is_active() {
            return;
        }
        self.break_launch(index);
        if !self.jobs[index].runs.is_empty() {
            self.stop_runs(index, Reason::Gang);
        }
        self.enqueue(index);
    }

    /// Starts a gang that has just been submitted when it fits, without a wait for the next pass over all gangs, as
    /// other work would take the room before that pass. Gangs that wait longer are kept from starving by reservations.
    pub(crate) fn try_gang(&mut self, now: Duration, index: table::Job, out: &mut Vec<Output>) {
        if self.gang_tries == 0 || !self.may_fit(index) {
            return;
        }
        self.gang_tries -= 1;
        if let Some(rooms) = self.rooms(index) {
            self.launch(now, index, rooms, out);
        }
    }

    /// Starts the gangs that fit, and reserves capacity for one that does not.
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
        let mut counted = 0;
        for &index in &order {
            if counted == COUNTED {
                self.gangs_dirty = true;
                break;
            }
            if !self.may_fit(index) {
                continue;
            }
            counted += 1;
            if let Some(rooms) = self.rooms(index) {
                self.launch(now, index, rooms, out);
            }
        }
        self.reserve_for_first(now, &order);
        self.claim_reserved(now, out);
    }

    /// Returns the waiting gangs: urgent ones, then those with a reservation, then in the order of turns.
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

    /// Tells whether the team's part and the sum of the free amounts admit the whole gang.
    fn may_fit(&self, index: table::Job) -> bool {
        let job = &self.jobs[index];
        if !self.config.rules.gang_atomic {
            return true;
        }
        let Some(sum) = times(&job.size, job.waiting.len()) else {
            return false;
        };
        let admitted = !self.config.rules.team_limit || self.teams[job.team].admits(&sum);
        admitted && sum.fits(&self.total.saturating_sub(&self.used))
    }

    /// Finds room for all waiting tasks of a gang, on the workers held for it first, then tightly packed.
    fn rooms(&self, index: table::Job) -> Option<Rooms> {
        let job = &self.jobs[index];
        let mut left = job.waiting.len();
        let mut rooms = Rooms::new();
        let held = job.holds.iter().copied();
        for worker in held.chain(self.free.members(job.accelerator)) {
            let record = &self.workers[worker];
            let mut count = slots(&record.free(), &job.size).min(left);
            if !record.usable() || count == 0 {
                continue;
            }
            if let Some(allowed) = record.health.max_tasks {
                count = count.min(allowed.saturating_sub(record.runs.len() as u32));
            }
            rooms.push((worker, count));
            left -= count;
            if left == 0 {
                return Some(rooms);
            }
        }
        (!self.config.rules.gang_atomic && !rooms.is_empty()).then_some(rooms)
    }

    /// Reserves workers for the first gang that has none; one reservation at a time for each accelerator kind.
    fn reserve_for_first(&mut self, now: Duration, order: &[table::Job]) {
        let next = order.iter().copied().find(|&index| {
            let Some(job) = self.jobs.get(index) else {
                return false;
            };
            let waits = self
                .gangs
                .get(&job.sequence)
                .is_some_and(|gang| gang.cool_until <= now);
            let taken = |other: &table::Job| self.jobs[*other].accelerator == job.accelerator;
            let admitted =
                times(&job.size, job.waiting.len()).is_some_and(|sum| self.teams[job.team].admits(&sum));
            let normal = job.priority == job::Priority::Normal;
            normal && waits && job.holds.is_empty() && admitted && !self.reservations.iter().any(taken)
        });
        if let Some(index) = next {
            self.reserve(now, index);
        }
        if !self.gangs.is_empty() && self.gangs_look <= now {
            self.gangs_look = now + IDLE_INTERVAL;
            self.timers.push(now + IDLE_INTERVAL, timer::Event::Gangs(true));
        }
    }

    /// Reserves the workers that are expected to have room for the whole gang first.
    fn reserve(&mut self, now: Duration, index: table::Job) {
        let job = &self.jobs[index];
        let mut candidates = Vec::new();
        for (worker, record) in self.workers.iter() {
            let suits = job.accelerator == 0 || record.capacity.accelerator == job.accelerator;
            if !suits || !record.usable() || record.hold.is_some() || record.health.max_tasks.is_some() {
                continue;
            }
            self.rooms_later(now, worker, index, &mut candidates);
        }
        candidates.sort_unstable();
        let mut left = job.waiting.len();
        let mut chosen: BTreeMap<table::Worker, u32> = BTreeMap::new();
        let mut ready = now;
        for (at, worker, count) in candidates {
            *chosen.entry(worker).or_default() += count.min(left);
            left -= count.min(left);
            ready = ready.max(at);
            if left == 0 {
                break;
            }
        }
        if left > 0 || ready > now + self.config.max_reservation * 2 {
            return;
        }
        let until = ready + self.config.max_reservation;
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

    /// Adds the times at which a worker is expected to have room for more tasks of a job, as its runs end.
    pub(crate) fn rooms_later(
        &self,
        now: Duration,
        worker: table::Worker,
        index: table::Job,
        rooms: &mut Vec<(Duration, table::Worker, u32)>,
    ) {
        let record = &self.workers[worker];
        let size = &self.jobs[index].size;
        let mut free = record.free();
        let mut known = slots(&free, size);
        if known > 0 {
            rooms.push((now, worker, known));
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
            if count > known {
                rooms.push((at, worker, count - known));
                known = count;
            }
        }
    }

    /// Ends backfilled work that outstays a reservation.
    fn claim_reserved(&mut self, now: Duration, out: &mut Vec<Output>) {
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
