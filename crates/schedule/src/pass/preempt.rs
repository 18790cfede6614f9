//! Makes room for urgent work.
//!
//! The order of means is checkpoint, then throttle, then stop. A throttle gives back only the processors that a run
//! uses above its grant, because the granted ones stay committed to it; whether it works shows in a later report, so
//! it is tried only while the urgent job has waited no longer than one hold. It ends by the rule of `estimate`.
//!
//! Bounds: urgent runs are never stopped, so a stop cannot cause another; a team keeps its protected share; the
//! number of stops in any second stays within the configured rate.

use std::time::Duration;

use bronzespoke_model::{id, job, resource};
use rand::Rng;

use crate::amount::{relieves, times};
use crate::message::{Output, Reason};
use crate::scheduler::Scheduler;
use crate::{table, timer, worker};

/// Interval between two searches for victims.
const PASS_INTERVAL: Duration = Duration::from_millis(50);
/// Time that a victim gets for its checkpoint; urgent work starts within 1.6 s.
const GRACE: Duration = Duration::from_millis(350);
/// Time that a worker is kept for an urgent task after the stops; then another worker is tried. Three tries fit into
/// 1.6 s: a worker of a lost rack looks alive until its report is overdue.
const HOLD: Duration = Duration::from_millis(500);
/// Age of the last report from which a worker is not relied on; workers report every 3 s.
const REPORT_OVERDUE: Duration = Duration::from_secs(4);
/// Urgent tasks for which one pass looks for room.
const TASKS_PER_PASS: u32 = 64;
/// Workers compared for one urgent task.
const COMPARED: usize = 48;
/// Workers for which one pass weighs the runs, over all urgent tasks; the pass ends after the task that reaches it.
const COMPARED_PER_PASS: usize = 2048;
/// Core-seconds that a checkpoint counts as lost.
const CHECKPOINT_COST: f64 = 1.0;
/// Factor on the loss of runs that are not batch; a stopped gang task stops its whole gang.
const OTHER_COST: f64 = 100.0;
const WINDOW: Duration = Duration::from_secs(1);

/// Bounds of one pass, and the needs for which it found no room.
struct Search {
    tasks: u32,
    workers: usize,
    failed: Vec<(table::Team, resource::Amount, id::AcceleratorKind)>,
}

/// Means to get room, in the order in which they are used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Means {
    Checkpoint,
    Throttle,
    Stop,
}

/// Runs to stop and to throttle on one worker.
struct Victims {
    cost: f64,
    runs: Vec<table::Run>,
    throttled: Vec<table::Run>,
}

impl Scheduler {
    /// Looks for room for the urgent jobs that wait.
    pub(crate) fn preempt(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.urgent.is_empty() || now < self.urgent_next {
            return;
        }
        self.urgent_next = now + PASS_INTERVAL;
        self.timers.push(self.urgent_next, timer::Event::Urgent);
        let mut search = Search {
            tasks: TASKS_PER_PASS,
            workers: COMPARED_PER_PASS,
            failed: Vec::new(),
        };
        // A pass that reached its bound left off there, so that work without victims keeps no other from its turn.
        let rest = self.urgent.range(self.urgent_from..);
        let jobs = rest.chain(self.urgent.range(..self.urgent_from));
        let waiting: Vec<_> = jobs
            .map(|(&sequence, &index)| (sequence, index))
            .take(TASKS_PER_PASS as usize)
            .collect();
        self.urgent_from = 0;
        for (sequence, index) in waiting {
            if search.tasks == 0 || search.workers == 0 {
                self.urgent_from = sequence;
                return;
            }
            self.make_room(now, index, &mut search, out);
        }
    }

    fn make_room(&mut self, now: Duration, index: table::Job, search: &mut Search, out: &mut Vec<Output>) {
        let job = &self.jobs[index];
        let gang = job.kind == job::Kind::Gang;
        let blocked = job.lane.is_some_and(|lane| !self.entry(lane).fresh);
        if !blocked && !gang {
            return;
        }
        let needs = (job.team, job.size, job.accelerator);
        if job.holds.is_empty() && search.failed.contains(&needs) {
            return;
        }
        let held: u32 = job
            .holds
            .iter()
            .filter_map(|worker| self.workers[*worker].hold)
            .map(|hold| hold.slots)
            .sum();
        let whole = if gang { job.waiting.len() } else { held + 1 };
        let (team, size) = (job.team, job.size);
        for wanted in held..job.waiting.len() {
            let sum = times(&size, whole.max(wanted + 1));
            let admitted = sum.is_some_and(|sum| self.teams[team].admits(&sum));
            if search.tasks == 0 || search.workers == 0 || !admitted {
                return;
            }
            search.tasks -= 1;
            if !self.make_room_once(now, index, search, out) {
                return;
            }
        }
    }

    /// Makes room for one task on the worker where least work is lost.
    fn make_room_once(
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
            if compared >= COMPARED && best.is_some() {
                break;
            }
        }
        self.counts.workers_evaluated += compared as u64;
        search.workers = search.workers.saturating_sub(compared);
        let Some((_, worker, victims)) = best else {
            let job = &self.jobs[index];
            search.failed.push((job.team, job.size, job.accelerator));
            return false;
        };
        if !self.take_rate(now, victims.runs.len()) {
            return false;
        }
        for &run in &victims.throttled {
            self.throttle(run, out);
        }
        for &run in &victims.runs {
            self.counts.preempted += 1;
            self.counts.lost_core_seconds += self.loss(now, run);
            self.stop(now, run, Reason::Preempted, Some(GRACE), out);
        }
        if self.workers[worker].hold.is_some_and(|hold| hold.job != index) {
            // A reservation for other work is made anew elsewhere.
            self.break_hold(worker);
        }
        let hold = worker::Hold {
            job: index,
            slots: 1,
            since: now,
            until: now + HOLD,
            ready: Duration::ZERO,
        };
        self.hold(worker, hold);
        self.hold_ready.push(worker);
        true
    }

    fn suits_urgent(&self, now: Duration, worker: table::Worker, index: table::Job) -> bool {
        let Some(record) = self.workers.get(worker) else {
            return false;
        };
        let kind = self.jobs[index].accelerator;
        record.usable()
            && record
                .reported
                .is_some_and(|at| now.saturating_sub(at) <= REPORT_OVERDUE)
            && record.health.max_tasks.is_none()
            && record
                .hold
                .is_none_or(|hold| hold.job == index || self.jobs[hold.job].priority == job::Priority::Normal)
            && (kind == 0 || kind == record.capacity.accelerator)
    }

    /// Chooses runs on a worker that make room for one more urgent task, cheapest first.
    fn victims(&self, now: Duration, worker: table::Worker, index: table::Job) -> Option<Victims> {
        let record = &self.workers[worker];
        let job = &self.jobs[index];
        let own = record.hold.filter(|hold| hold.job == index);
        let count = own.map_or(0, |hold| hold.slots) + 1;
        let need = times(&job.size, count)?;
        if !need.fits(&record.capacity.amount) {
            return None;
        }
        let early = now.saturating_sub(job.submitted) <= HOLD;
        let mut room = record.free();
        let mut candidates = Vec::new();
        for &run in &record.runs {
            let other = &self.runs[run];
            if other.is_ending() {
                room = room.saturating_add(&other.size);
            } else if self.jobs[other.job].priority == job::Priority::Normal && !other.former {
                let gentle = self.is_checkpointable(other.job) && other.confirmed;
                let means = if gentle { Means::Checkpoint } else { Means::Stop };
                candidates.push((means, self.loss(now, run), run, other.size));
                let excess = self.throttled_room(run);
                if !gentle && early && !excess.is_zero() {
                    candidates.push((Means::Throttle, 0.0, run, excess));
                }
            }
        }
        candidates.sort_unstable_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
        let mut victims = Victims {
            cost: 0.0,
            runs: Vec::new(),
            throttled: Vec::new(),
        };
        let mut taken: Vec<(table::Team, resource::Amount)> = Vec::new();
        for (means, cost, run, size) in candidates {
            let short = need.saturating_sub(&room);
            if short.is_zero() {
                break;
            }
            if means == Means::Throttle {
                if relieves(&size, &short) {
                    room = room.saturating_add(&size);
                    victims.throttled.push(run);
                }
                continue;
            }
            let team = self.jobs[self.runs[run].job].team;
            if !relieves(&size, &short) || (team != job.team && !self.keeps_share(team, &size, &mut taken)) {
                continue;
            }
            room = room.saturating_add(&size);
            victims.cost += cost;
            victims.runs.push(run);
        }
        need.fits(&room).then_some(victims)
    }

    /// Tells whether a team keeps its protected share after one more stop, and counts the stop.
    fn keeps_share(
        &self,
        team: table::Team,
        size: &resource::Amount,
        taken: &mut Vec<(table::Team, resource::Amount)>,
    ) -> bool {
        if !self.config.rules.protect_share {
            return true;
        }
        let record = &self.teams[team];
        let position = taken.iter().position(|entry| entry.0 == team).unwrap_or_else(|| {
            taken.push((team, resource::Amount::ZERO));
            taken.len() - 1
        });
        let sum = taken[position].1.saturating_add(size);
        let left = record.used.saturating_sub(&record.ending).saturating_sub(&sum);
        if left.dominant_share(&self.total) < self.protected_share(team) {
            return false;
        }
        taken[position].1 = sum;
        true
    }

    /// Returns the share of the fleet that urgent work of other teams leaves to a team.
    pub(crate) fn protected_share(&self, team: table::Team) -> f64 {
        f64::from(self.teams[team].weight) / self.active_weight.max(1) as f64
    }

    /// Returns the core-seconds that a stop loses.
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

    /// Takes stops from the rate of the last second.
    fn take_rate(&mut self, now: Duration, count: usize) -> bool {
        if !self.config.rules.preemption_rate {
            return true;
        }
        while self.preemptions.front().is_some_and(|at| *at + WINDOW <= now) {
            self.preemptions.pop_front();
        }
        if self.preemptions.len() + count > self.config.preemptions_per_second as usize {
            return false;
        }
        self.preemptions.extend(std::iter::repeat_n(now, count));
        true
    }
}
