//! Choice of workers by their speed, in pools whose workers differ.
//!
//! Handles a load of short urgent jobs among long ones with slack. A task of tight work runs on the slowest worker on which
//! it ends in time. Tight work arrives all the time, so that other work leaves as much room free on the fast workers as the
//! tight work of recent seconds occupies there; a burst of twice the usual rate then finds room. Fast workers beyond that
//! are used by any work: steps of independent tasks use them first, because a few tasks take several times as long as
//! expected, and gangs use them when the slow ones are full.

use std::{collections::HashMap, time::Duration};

use bronzespoke_model::resource;

use crate::{place::Candidate, rank, speed};

/// Time constant of the observed rate of tight work. It covers several bursts' worth of arrivals and follows a change of
/// load within seconds.
const RATE_WINDOW: f64 = 5.0;
/// Uncertainty of the logarithm of a worker's speed.
const SPEED_UNCERTAINTY: f64 = 0.15;
/// Time from the choice of a worker to the start, and from the end to its record, that a job's goal includes: two commits
/// across regions, the start and the report.
const TRAVEL: f64 = 0.12;
/// Time from the submission to the choice of a worker: a commit and an eligibility query.
const PREPARATION: f64 = 0.1;
/// Factor by which a task takes longer away from its data.
const REMOTE_FACTOR: f64 = 2.0;
/// Width of the classes of speed, as a logarithm; within a class, workers are chosen by their room.
const CLASS_WIDTH: f64 = 0.3;

/// Times that decide which workers are fast enough for a step.
#[derive(Debug, Clone, Copy)]
pub struct Goal {
    /// Expected critical path of the job.
    pub chain: Duration,
    /// Expected critical path from the start of the step.
    pub remaining: Duration,
    /// Expected run time of a task of the step.
    pub run_time: Duration,
    /// Time since the submission.
    pub elapsed: Duration,
    /// Objective of the job from its submission.
    pub objective: Duration,
    /// Standard deviation of the logarithm of run times.
    pub noise: f64,
}

/// Requirements of a step on the speed of its workers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Speed from which a worker ends a task in time.
    pub required: f64,
    /// Whether the job needs fast workers even if it starts at once.
    pub tight: bool,
    /// Speed from which a worker is a fast one of its pool.
    pub fast: f64,
    /// Number of tasks that may start on fast workers; `u32::MAX` means no limit.
    pub fast_tasks: u32,
    /// Whether fast workers come first although slow ones suffice, because there is more room on them than is kept.
    pub eager: bool,
}

impl Pace {
    /// Returns the requirements of a step in a pool.
    pub fn new(goal: &Goal, range: speed::Range) -> Self {
        let seconds = |time: Duration| time.as_secs_f64();
        let margin = (goal.noise + SPEED_UNCERTAINTY).exp();
        let needed = |work: f64, time: f64| {
            if time <= 0.0 { f64::INFINITY } else { work / time }
        };
        let objective = seconds(goal.objective);
        let chain = seconds(goal.chain);
        let run_time = seconds(goal.run_time);
        let initially = needed(chain * margin, objective - PREPARATION - TRAVEL);
        let rest = (seconds(goal.remaining) - run_time).max(0.0);
        let left = objective - seconds(goal.elapsed) - TRAVEL - rest;
        let mut required = needed(run_time, left);
        if required > range.fastest {
            let useful = left + objective * (rank::USEFUL_MULTIPLE - 1) as f64;
            required = needed(run_time, useful);
        }
        Self {
            required: required * margin,
            tight: initially > range.slowest,
            fast: range.middle(),
            fast_tasks: u32::MAX,
            eager: false,
        }
    }

    /// Returns whether a worker of a speed ends a task in time.
    pub fn suffices(&self, speed: f64) -> bool {
        speed >= self.required
    }

    /// Returns whether a worker of a speed must not run the step, because its room is kept for others.
    pub fn excludes(&self, speed: f64) -> bool {
        self.fast_tasks == 0 && speed >= self.fast
    }

    /// Returns whether a worker of a speed suits the step: it ends a task in time, and is not faster than needed if fast
    /// ones are kept for others.
    pub fn prefers(&self, speed: f64) -> bool {
        self.suffices(speed) && (self.tight || self.eager || speed < self.fast)
    }

    /// Returns the position of a candidate in the choice; smaller is better, and equal positions are ordered by room.
    pub fn position(&self, candidate: &Candidate) -> (bool, bool, bool, i32) {
        let speed = if candidate.remote {
            candidate.speed / REMOTE_FACTOR
        } else {
            candidate.speed
        };
        let class = (candidate.speed.ln() / CLASS_WIDTH).round() as i32;
        let is_late = !self.suffices(speed);
        let class = if is_late || self.eager { -class } else { class };
        (candidate.reserved, is_late, candidate.remote, class)
    }
}

/// Tight work of one pool in recent seconds, and the room for it on fast workers.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    /// Processors that the tight work occupies on fast workers, in thousandths of a core.
    occupied: f64,
    /// Mean size of a tight task.
    size: (f64, f64),
    at: Duration,
    /// Room for tight tasks on fast workers, in thousandths of a core.
    room: f64,
}

/// Room that is kept free for tight work on the fast workers of each pool.
#[derive(Debug, Default)]
pub struct Kept {
    pools: HashMap<String, Demand>,
}

impl Kept {
    /// Records the start of a tight task that takes `run_time` on a fast worker.
    pub fn record(&mut self, now: Duration, pool: &str, size: &resource::Amount, run_time: Duration) {
        let demand = self.pools.entry(String::from(pool)).or_default();
        let decayed = demand.decayed(now);
        let cpu = f64::from(size.cpu_milli);
        let memory = f64::from(size.memory_mib);
        if demand.size == (0.0, 0.0) {
            demand.size = (cpu, memory);
        }
        demand.size.0 += (cpu - demand.size.0) / 32.0;
        demand.size.1 += (memory - demand.size.1) / 32.0;
        demand.occupied = decayed + cpu * run_time.as_secs_f64() / RATE_WINDOW;
        demand.at = now;
    }

    /// Returns the mean size of the tight tasks of a pool, if there are any.
    pub fn size(&self, pool: &str) -> Option<resource::Amount> {
        let demand = self.pools.get(pool)?;
        let (cpu, memory) = demand.size;
        (cpu >= 1.0).then(|| resource::Amount::new(cpu as u32, memory as u32, 0))
    }

    /// Records the room for tight tasks on the fast workers of a pool.
    pub fn set_room(&mut self, pool: &str, cpu_milli: f64) {
        if let Some(demand) = self.pools.get_mut(pool) {
            demand.room = cpu_milli;
        }
    }

    /// Records the start of a task on a fast worker of a pool.
    pub fn take(&mut self, pool: &str, size: &resource::Amount) {
        if let Some(demand) = self.pools.get_mut(pool) {
            demand.room -= f64::from(size.cpu_milli);
        }
    }

    /// Returns the number of tasks of a size that may start on fast workers beside the room that is kept.
    pub fn tasks_beside(&self, now: Duration, pool: &str, size: &resource::Amount) -> u32 {
        let Some(demand) = self.pools.get(pool) else {
            return u32::MAX;
        };
        let beyond = demand.room - demand.decayed(now);
        if size.cpu_milli == 0 {
            return u32::MAX;
        }
        (beyond / f64::from(size.cpu_milli)).max(0.0) as u32
    }

    /// Removes the pools whose workers do not differ.
    pub fn retain(&mut self, differs: impl Fn(&str) -> bool) {
        self.pools.retain(|pool, _| differs(pool));
    }
}

impl Demand {
    fn decayed(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.occupied * (-passed / RATE_WINDOW).exp()
    }
}
