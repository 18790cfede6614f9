//! Choice of the runs that are stopped in favour of urgent work, and of the capacity that is held for it.
//!
//! Load that this handles: a burst of urgent jobs on a fleet that is full of longer work of lower priorities. An urgent
//! step waits for a gap that is large enough, while most of what runs stores checkpoints: its stop costs a fraction of a
//! second, and no progress.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_model::resource;
use bronzespoke_workload::{catalog, directive, eligibility};

use crate::{place, worker};

/// Maximum number of runs that are stopped for one task.
pub const MAX_STOPS_PER_TASK: usize = 3;
/// Highest number of a run that may be stopped, so that a task is preempted at most this often. Run numbers are
/// replicated, so that the bound holds across changes of leader.
pub const MAX_PREEMPTED_RUN: directive::Run = 2;
/// One stop for this many workers, and at least [`MIN_UNDER_WAY`], may be under way. Each stopped run needs another query
/// and another start, and too many of them at a time take the place of the urgent ones.
const STOPS_RATIO: usize = 4;
/// Number of stops that may be under way in a small fleet.
const MIN_UNDER_WAY: usize = 4;
/// Maximum number of steps for which a pass looks for runs to stop.
const MAX_DEMANDS: usize = 32;

/// A step that found no room for some of its tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Id of the step.
    pub step: eligibility::Step,
    /// Number of tasks that may start now and have no room.
    pub tasks: u32,
    /// Resources of one task.
    pub size: resource::Amount,
    /// Expected run time of a task.
    pub run_time: Duration,
    /// Pool whose workers run it.
    pub pool: String,
    /// Label that a worker must have.
    pub label: Option<String>,
    /// Maximum number of its tasks on one worker; 0 means no limit.
    pub per_worker: u32,
    /// Cost of eligibility queries; `None` if it needs none.
    pub advice: Option<catalog::QueryCost>,
}

impl Demand {
    /// Returns the number of further tasks of the step that a worker may run.
    pub fn slots(&self, record: &worker::Worker) -> u32 {
        if self.per_worker == 0 {
            return u32::MAX;
        }
        let (first, last) = tasks_of(self.step);
        let here = record.runs.range(first..=last).count() as u32;
        self.per_worker.saturating_sub(here)
    }
}

/// A run that may be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stoppable {
    /// Task of the run.
    pub task: directive::Task,
    /// Number of the run.
    pub run: directive::Run,
    /// Resources that the stop frees.
    pub size: resource::Amount,
    /// Work that is thrown away, in core-milliseconds.
    pub loss: u64,
    /// Whether the stop makes its job miss its next goal.
    pub harms: bool,
}

/// Runs to stop on one worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The worker.
    pub worker: cell::WorkerIndex,
    /// Runs to stop; empty if room is expected without a stop.
    pub stops: Vec<Stoppable>,
    /// Number of tasks that have room afterwards.
    pub tasks: u32,
}

impl Choice {
    /// Returns the order in which choices are preferred: the least harm first, then the fewest stops and the least loss for
    /// each task.
    pub fn cost(&self) -> (usize, u64, u64) {
        let harmed = self.stops.iter().filter(|stop| stop.harms).count();
        let loss: u64 = self.stops.iter().map(|stop| stop.loss).sum();
        let tasks = u64::from(self.tasks.max(1));
        (harmed, self.stops.len() as u64 * 1_000 / tasks, loss / tasks)
    }
}

/// Chooses the fewest runs of a worker whose stop makes room for one task, with the least loss; returns them and the number
/// of tasks that have room afterwards. Returns `None` if nothing has to be stopped or too much.
pub fn choose(
    free: resource::Amount,
    size: &resource::Amount,
    most: u32,
    mut stoppable: Vec<Stoppable>,
) -> Option<(Vec<Stoppable>, u32)> {
    let tasks = |room: resource::Amount| place::count(&room, size).min(most);
    if tasks(free) > 0 {
        return None;
    }
    stoppable.sort_by_key(|stop| (stop.harms, stop.loss));
    for stop in &stoppable {
        let room = worker::add(free, stop.size);
        if tasks(room) > 0 {
            return Some((vec![*stop], tasks(room)));
        }
    }
    stoppable.sort_by_key(|stop| (stop.harms, std::cmp::Reverse(stop.size.cpu_milli)));
    let mut room = free;
    let mut stops = Vec::new();
    for stop in stoppable.into_iter().take(MAX_STOPS_PER_TASK) {
        room = worker::add(room, stop.size);
        stops.push(stop);
        if tasks(room) > 0 {
            return Some((stops, tasks(room)));
        }
    }
    None
}

/// Capacity of a worker that is held for the tasks of one step.
#[derive(Debug, Clone)]
pub struct Hold {
    /// Step that it is held for.
    pub step: eligibility::Step,
    /// Resources of one task.
    pub size: resource::Amount,
    /// Number of tasks.
    pub tasks: u32,
    /// Time of the decision.
    pub since: Duration,
    /// Time at which it is given up.
    pub until: Duration,
    /// Stopped runs that have not ended.
    pub stops: Vec<(directive::Task, directive::Run)>,
    /// Whether other steps may not use the capacity. Room that comes without a stop is only planned with.
    pub exclusive: bool,
}

impl Hold {
    /// Returns the tasks that have not started on the worker since the decision.
    fn open_tasks(&self, record: &worker::Worker) -> u32 {
        let (first, last) = tasks_of(self.step);
        let runs = record.runs.range(first..=last);
        let started = runs.filter(|(_, run)| run.decided > self.since).count() as u32;
        self.tasks.saturating_sub(started)
    }
}

fn tasks_of(step: eligibility::Step) -> (directive::Task, directive::Task) {
    let task = |index| directive::Task {
        job: step.job,
        occurrence: step.occurrence,
        step: step.step,
        index,
    };
    (task(0), task(u32::MAX))
}

/// Steps that found no room, and what is under way for them.
#[derive(Debug, Default)]
pub struct Preemptions {
    demands: Vec<Demand>,
    holds: BTreeMap<cell::WorkerIndex, Hold>,
    /// Time before which nothing is decided for a step again.
    pauses: HashMap<eligibility::Step, Duration>,
    /// Upper bound on the stops under way that replaces the one by the size of the fleet.
    limit: Option<usize>,
}

impl Preemptions {
    /// Replaces the bound on the stops under way; 0 turns preemption off.
    pub const fn set_limit(&mut self, limit: usize) {
        self.limit = Some(limit);
    }

    /// Returns whether preemption is turned off.
    pub fn is_off(&self) -> bool {
        self.limit == Some(0)
    }

    /// Records that a step found no room, unless the demands of this pass are complete.
    pub fn demand(&mut self, now: Duration, demand: Demand) {
        let is_paused = self.pauses.get(&demand.step).is_some_and(|until| now < *until);
        if self.demands.len() < MAX_DEMANDS && !is_paused {
            self.demands.push(demand);
        }
    }

    /// Returns the demands of this pass.
    pub fn take_demands(&mut self) -> Vec<Demand> {
        std::mem::take(&mut self.demands)
    }

    /// Decides nothing for a step before a time.
    pub fn pause(&mut self, step: eligibility::Step, until: Duration) {
        self.pauses.insert(step, until);
    }

    /// Adds a hold.
    pub fn hold(&mut self, worker: cell::WorkerIndex, hold: Hold) {
        self.holds.insert(worker, hold);
    }

    /// Returns whether capacity of a worker is held.
    pub fn is_held(&self, worker: cell::WorkerIndex) -> bool {
        self.holds.contains_key(&worker)
    }

    /// Returns the tasks of a step for which capacity is held or planned.
    pub fn held_tasks(
        &self,
        step: eligibility::Step,
        workers: &BTreeMap<cell::WorkerIndex, worker::Worker>,
    ) -> u32 {
        let of_step = self.holds.iter().filter(|(_, hold)| hold.step == step);
        let open = of_step.filter_map(|(index, hold)| Some(hold.open_tasks(workers.get(index)?)));
        open.sum()
    }

    /// Returns what a step may not use of a worker, because it is held for another one.
    pub fn withheld(
        &self,
        worker: cell::WorkerIndex,
        record: &worker::Worker,
        step: eligibility::Step,
    ) -> resource::Amount {
        let hold = self.holds.get(&worker);
        let hold = hold.filter(|hold| hold.exclusive && hold.step != step);
        hold.map_or(resource::Amount::ZERO, |hold| {
            times(hold.size, hold.open_tasks(record))
        })
    }

    /// Returns the number of stops under way.
    pub fn under_way(&self) -> usize {
        self.holds.values().map(|hold| hold.stops.len()).sum()
    }

    /// Returns the number of further stops that may be decided now on a fleet of a size.
    pub fn allowed(&self, workers: usize) -> usize {
        let limit = self
            .limit
            .unwrap_or_else(|| (workers / STOPS_RATIO).max(MIN_UNDER_WAY));
        limit.saturating_sub(self.under_way())
    }

    /// Removes the holds that have expired or whose step does not wait any more. A worker with a stop whose end is not
    /// proved stays in the table, so that it counts as under way.
    pub fn refresh(
        &mut self,
        now: Duration,
        workers: &BTreeMap<cell::WorkerIndex, worker::Worker>,
        is_waiting: impl Fn(eligibility::Step) -> bool,
    ) {
        self.holds.retain(|index, hold| {
            let Some(record) = workers.get(index) else {
                return false;
            };
            let runs = |(task, run): &(directive::Task, directive::Run)| {
                record.runs.get(task).is_some_and(|placed| placed.run == *run)
            };
            hold.stops.retain(runs);
            if now >= hold.until || !is_waiting(hold.step) || hold.open_tasks(record) == 0 {
                hold.tasks = 0;
            }
            hold.tasks > 0 || !hold.stops.is_empty()
        });
        self.pauses
            .retain(|step, until| now < *until && is_waiting(*step));
    }
}

/// Returns a multiple of an amount; each dimension saturates.
const fn times(amount: resource::Amount, factor: u32) -> resource::Amount {
    resource::Amount::new(
        amount.cpu_milli.saturating_mul(factor),
        amount.memory_mib.saturating_mul(factor),
        amount.accelerators.saturating_mul(factor),
    )
}
