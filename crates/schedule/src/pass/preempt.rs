//! Preemption: makes room for urgent work.
//!
//! Checkpoints are preferred to throttles, and throttles to stops. A throttle frees only the processors that a run uses
//! above its grant, because the granted ones stay committed to the run. Only a later report shows whether it had an
//! effect, so throttles are used only while the urgent job has waited no longer than the duration of one hold. The
//! `estimate` pass lifts the throttle.
//!
//! Bounds: urgent runs are never stopped, so a stop cannot cause another one; other teams keep their protected share;
//! the number of stops in any second stays within the configured rate.

use std::time::Duration;

use bronzespoke_model::{id, job, resource};
use rand::Rng;

use crate::amount::{multiply, relieves};
use crate::message::{Output, Reason};
use crate::scheduler::Scheduler;
use crate::{table, timer, worker};

/// Minimum interval between two searches for victims.
const PASS_INTERVAL: Duration = Duration::from_millis(50);
/// Time that a victim has for its checkpoint. It is short because urgent work must start within 1.6 s.
const CHECKPOINT_GRACE: Duration = Duration::from_millis(350);
/// Time that a worker is held for an urgent task after the stops, after which another worker is tried. Three attempts
/// fit into 1.6 s; they are needed because a worker of a failed rack looks alive until its report is overdue.
const HOLD_DURATION: Duration = Duration::from_millis(500);
/// Maximum age of the last report of a worker that preemption considers; workers report every 3 s.
const REPORT_OVERDUE: Duration = Duration::from_secs(4);
/// Maximum number of urgent tasks for which one pass searches for room.
const TASKS_PER_PASS: u32 = 64;
/// Number of workers compared for one urgent task.
const WORKERS_COMPARED: usize = 48;
/// Number of workers whose runs one pass evaluates, over all urgent tasks. The pass ends after the task that reaches
/// it.
const WORKERS_PER_PASS: usize = 2048;
/// Cost of a checkpoint, in core-seconds.
const CHECKPOINT_COST: f64 = 1.0;
/// Factor on the cost of stopping service and gang tasks; stopping one gang task stops the complete gang.
const OTHER_COST: f64 = 100.0;
/// Window over which the preemption rate is enforced.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Remaining budgets of one pass, and the requirements for which it found no room.
struct Search {
    tasks: u32,
    workers: usize,
    failed: Vec<(table::Team, resource::Amount, id::AcceleratorKind)>,
}

/// Method of making room, in order of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Method {
    Checkpoint,
    Throttle,
    Stop,
}

/// Runs to stop and to throttle on one worker, with the cost of the stops.
struct Victims {
    cost: f64,
    runs: Vec<table::Run>,
    throttled: Vec<table::Run>,
}

impl Scheduler {
    /// Makes room for the waiting urgent jobs.
    pub(crate) fn preempt(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.urgent.is_empty() || now < self.urgent_next {
            return;
        }
        self.urgent_next = now + PASS_INTERVAL;
        self.timers.push(self.urgent_next, timer::Event::Urgent);
        let mut search = Search {
            tasks: TASKS_PER_PASS,
            workers: WORKERS_PER_PASS,
            failed: Vec::new(),
        };
        // Continues where the previous pass ran out of budget, so that jobs for which there are no victims do not starve
        // other jobs.
        let rest = self.urgent.range(self.urgent_cursor..);
        let jobs = rest.chain(self.urgent.range(..self.urgent_cursor));
        let waiting: Vec<_> = jobs
            .map(|(&sequence, &index)| (sequence, index))
            .take(TASKS_PER_PASS as usize)
            .collect();
        self.urgent_cursor = 0;
        for (sequence, index) in waiting {
            if search.tasks == 0 || search.workers == 0 {
                self.urgent_cursor = sequence;
                return;
            }
            self.make_room(now, index, &mut search, out);
        }
    }

    fn make_room(&mut self, now: Duration, index: table::Job, search: &mut Search, out: &mut Vec<Output>) {
        let job = &self.jobs[index];
        let gang = job.kind == job::Kind::Gang;
        let no_room = job.lane.is_some_and(|lane| !self.entry(lane).runnable);
        if !no_room && !gang {
            return;
        }
        let request = (job.team, job.size, job.accelerator);
        if job.holds.is_empty() && search.failed.contains(&request) {
            return;
        }
        let held: u32 = job
            .holds
            .iter()
            .filter_map(|worker| self.workers[*worker].hold)
            .map(|hold| hold.slots)
            .sum();
        let min_tasks = if gang { job.waiting.len() } else { held + 1 };
        let (team, size) = (job.team, job.size);
        for slots in held..job.waiting.len() {
            let sum = multiply(&size, min_tasks.max(slots + 1));
            let admitted = sum.is_some_and(|sum| self.teams[team].admits(&sum));
            if search.tasks == 0 || search.workers == 0 || !admitted {
                return;
            }
            search.tasks -= 1;
            if !self.make_room_for_task(now, index, search, out) {
                return;
            }
        }
    }

    /// Makes room for one task on the worker with the lowest cost among those compared. Returns whether it did.
    fn make_room_for_task(
        &mut self,
        now: Duration,
        index: table::Job,
        search: &mut Search,
        out: &mut Vec<Output>,
    ) -> bool {
        let slots = self.workers.slots();
        let first = self.random.random_range(0..slots.max(1));
        let mut best: Option<(f64, table::Worker, Victims)> = None;
        let mut compared = 0;
        for offset in 0..slots {
            let worker = table::Index::new((first + offset) % slots);
            if !self.suits_urgent(now, worker, index) {
                continue;
            }
            compared += 1;
            if let Some(victims) = self.victims(now, worker, index)
                && best.as_ref().is_none_or(|(cost, _, _)| victims.cost < *cost)
            {
                best = Some((victims.cost, worker, victims));
            }
            if compared >= WORKERS_COMPARED && best.is_some() {
                break;
            }
        }
        self.counters.workers_evaluated += compared as u64;
        search.workers = search.workers.saturating_sub(compared);
        let Some((_, worker, victims)) = best else {
            let job = &self.jobs[index];
            search.failed.push((job.team, job.size, job.accelerator));
            return false;
        };
        if !self.consume_rate(now, victims.runs.len()) {
            return false;
        }
        for &run in &victims.throttled {
            self.throttle(run, out);
        }
        for &run in &victims.runs {
            self.counters.preempted += 1;
            self.counters.lost_core_seconds += self.loss(now, run);
            self.stop(now, run, Reason::Preempted, Some(CHECKPOINT_GRACE), out);
        }
        if self.workers[worker].hold.is_some_and(|hold| hold.job != index) {
            // The other job gets a new hold elsewhere.
            self.cancel_hold(worker);
        }
        let hold = worker::Hold {
            job: index,
            slots: 1,
            since: now,
            until: now + HOLD_DURATION,
            ready: Duration::ZERO,
        };
        self.hold(worker, hold);
        self.holds_ready.push(worker);
        true
    }

    fn suits_urgent(&self, now: Duration, worker: table::Worker, index: table::Job) -> bool {
        let Some(record) = self.workers.get(worker) else {
            return false;
        };
        let kind = self.jobs[index].accelerator;
        record.usable()
            && record
                .last_report
                .is_some_and(|at| now.saturating_sub(at) <= REPORT_OVERDUE)
            && record.health.max_tasks.is_none()
            && record
                .hold
                .is_none_or(|hold| hold.job == index || self.jobs[hold.job].priority == job::Priority::Normal)
            && (kind == 0 || kind == record.capacity.accelerator)
    }

    /// Chooses runs on a worker whose end or throttle makes room for one more task of an urgent job, by method and then
    /// by cost. Returns `None` if there is not enough room.
    fn victims(&self, now: Duration, worker: table::Worker, index: table::Job) -> Option<Victims> {
        let record = &self.workers[worker];
        let job = &self.jobs[index];
        let own = record.hold.filter(|hold| hold.job == index);
        let count = own.map_or(0, |hold| hold.slots) + 1;
        let need = multiply(&job.size, count)?;
        if !need.fits(&record.capacity.amount) {
            return None;
        }
        let early = now.saturating_sub(job.submitted) <= HOLD_DURATION;
        let mut room = record.free();
        let mut candidates = Vec::new();
        for &run in &record.runs {
            let other = &self.runs[run];
            if other.is_ending() {
                room = room.saturating_add(&other.size);
            } else if self.jobs[other.job].priority == job::Priority::Normal && !other.earlier_incarnation {
                let checkpointable = self.is_checkpointable(other.job) && other.confirmed;
                let method = if checkpointable {
                    Method::Checkpoint
                } else {
                    Method::Stop
                };
                candidates.push((method, self.loss(now, run), run, other.size));
                let excess = self.throttle_gain(run);
                if !checkpointable && early && !excess.is_zero() {
                    candidates.push((Method::Throttle, 0.0, run, excess));
                }
            }
        }
        candidates.sort_unstable_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
        let mut victims = Victims {
            cost: 0.0,
            runs: Vec::new(),
            throttled: Vec::new(),
        };
        let mut stopped: Vec<(table::Team, resource::Amount)> = Vec::new();
        for (method, cost, run, size) in candidates {
            let shortfall = need.saturating_sub(&room);
            if shortfall.is_zero() {
                break;
            }
            if method == Method::Throttle {
                if relieves(&size, &shortfall) {
                    room = room.saturating_add(&size);
                    victims.throttled.push(run);
                }
                continue;
            }
            let team = self.jobs[self.runs[run].job].team;
            if !relieves(&size, &shortfall)
                || (team != job.team && !self.keeps_share(team, &size, &mut stopped))
            {
                continue;
            }
            room = room.saturating_add(&size);
            victims.cost += cost;
            victims.runs.push(run);
        }
        need.fits(&room).then_some(victims)
    }

    /// Returns whether a team keeps its protected share after one more stop; if so, adds the stop to `stopped`.
    fn keeps_share(
        &self,
        team: table::Team,
        size: &resource::Amount,
        stopped: &mut Vec<(table::Team, resource::Amount)>,
    ) -> bool {
        if !self.config.rules.protect_share {
            return true;
        }
        let record = &self.teams[team];
        let position = stopped
            .iter()
            .position(|entry| entry.0 == team)
            .unwrap_or_else(|| {
                stopped.push((team, resource::Amount::ZERO));
                stopped.len() - 1
            });
        let sum = stopped[position].1.saturating_add(size);
        let remaining = record.used.saturating_sub(&record.ending).saturating_sub(&sum);
        if remaining.dominant_share(&self.total) < self.protected_share(team) {
            return false;
        }
        stopped[position].1 = sum;
        true
    }

    /// Returns the share of the fleet that urgent work of other teams must leave to a team.
    pub(crate) fn protected_share(&self, team: table::Team) -> f64 {
        f64::from(self.teams[team].weight) / self.active_weight.max(1) as f64
    }

    /// Returns the cost of stopping a run, in core-seconds.
    fn loss(&self, now: Duration, run: table::Run) -> f64 {
        let record = &self.runs[run];
        if self.is_checkpointable(record.job) && record.confirmed {
            return CHECKPOINT_COST;
        }
        let cores = f64::from(record.size.cpu_milli) / 1000.0 + f64::from(record.size.accelerators);
        let lost = cores * now.saturating_sub(record.started).as_secs_f64();
        match self.jobs[record.job].kind {
            job::Kind::Batch => lost,
            job::Kind::Service | job::Kind::Gang => (lost + 1.0) * OTHER_COST,
        }
    }

    /// Records preemptions if they stay within the rate. Returns whether they do.
    fn consume_rate(&mut self, now: Duration, count: usize) -> bool {
        if !self.config.rules.preemption_rate {
            return true;
        }
        while self
            .preemptions
            .front()
            .is_some_and(|at| *at + RATE_WINDOW <= now)
        {
            self.preemptions.pop_front();
        }
        if self.preemptions.len() + count > self.config.preemptions_per_second as usize {
            return false;
        }
        self.preemptions.extend(std::iter::repeat_n(now, count));
        true
    }
}
