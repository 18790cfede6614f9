//! Placement of the tasks of one step.
//!
//! On a fleet that is nearly full of tasks of different sizes, each task is placed on the worker on which it leaves
//! the least free resources. Small tasks thereby fill workers that are nearly full, and empty workers stay free for
//! wide gangs.

use std::collections::BTreeMap;

use bronzespoke_control::cell;
use bronzespoke_model::resource;

use crate::pace::Pace;

/// A worker that may run the step.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Index of the worker.
    pub worker: cell::WorkerIndex,
    /// Free resources.
    pub free: resource::Amount,
    /// Total resources.
    pub room: resource::Amount,
    /// Number of further tasks of the step that it may run; `u32::MAX` means no limit.
    pub slots: u32,
    /// Speed relative to the typical worker of the pool.
    pub speed: f64,
    /// Whether tasks of the step run longer there because they are away from their data.
    pub remote: bool,
    /// Whether the worker is still slow after its start.
    pub cold: bool,
    /// Whether the worker is reserved for a gang that would be delayed.
    pub reserved: bool,
}

/// Penalty of a remote worker, in shares of a worker's resources; tasks away from their data run twice as long.
const REMOTE_PENALTY: f64 = 4.0;

/// Penalty of a worker that is still slow after its start: any other one near the data is better, however much it leaves
/// free on a machine without accelerators.
const COLD_PENALTY: f64 = 2.0;

/// Penalty of a worker that is reserved for a gang; urgent tasks use it only if no other worker has room.
const RESERVED_PENALTY: f64 = 8.0;

impl Candidate {
    /// Returns the number of tasks of a size that fit now.
    pub fn fitting(&self, size: &resource::Amount) -> u32 {
        count(&self.free, size).min(self.slots)
    }

    fn take(&mut self, size: &resource::Amount) {
        self.free = self.free.saturating_sub(size);
        if self.slots != u32::MAX {
            self.slots -= 1;
        }
    }

    /// Returns the resources that a task would leave free, as the sum of the shares of each dimension, plus penalties;
    /// smaller is better.
    fn leftover(&self, size: &resource::Amount) -> f64 {
        let share = |free: u32, size: u32, room: u32| {
            if room == 0 {
                return 0.0;
            }
            f64::from(free.saturating_sub(size)) / f64::from(room)
        };
        let cpu = share(self.free.cpu_milli, size.cpu_milli, self.room.cpu_milli);
        let memory = share(self.free.memory_mib, size.memory_mib, self.room.memory_mib);
        let devices = share(self.free.accelerators, size.accelerators, self.room.accelerators);
        let remote = if self.remote { REMOTE_PENALTY } else { 0.0 };
        let reserved = if self.reserved { RESERVED_PENALTY } else { 0.0 };
        let cold = if self.cold { COLD_PENALTY } else { 0.0 };
        cpu + memory + devices + remote + cold + reserved
    }
}

/// Returns the number of tasks of a size that fit into an amount.
pub fn count(free: &resource::Amount, size: &resource::Amount) -> u32 {
    let dimension = |free: u32, size: u32| free.checked_div(size).unwrap_or(u32::MAX);
    dimension(free.cpu_milli, size.cpu_milli)
        .min(dimension(free.memory_mib, size.memory_mib))
        .min(dimension(free.accelerators, size.accelerators))
}

/// Returns the number of tasks of a size that fit on all candidates together.
pub fn fitting(candidates: &[Candidate], size: &resource::Amount) -> u32 {
    let sum = |sum: u32, candidate: &Candidate| sum.saturating_add(candidate.fitting(size));
    candidates.iter().fold(0, sum)
}

/// Places tasks one by one, each on the worker on which it leaves the least free resources. Returns the worker of each
/// placed task.
///
/// `avoid` names the workers on which a task should not run as long as another one has room.
pub fn best_fit(
    candidates: &mut [Candidate],
    size: &resource::Amount,
    tasks: &[u32],
    avoid: &BTreeMap<u32, Vec<cell::WorkerIndex>>,
) -> Vec<(u32, cell::WorkerIndex)> {
    by_pace(candidates, size, tasks, avoid, None)
}

/// Places tasks like [`best_fit`]; with `pace`, workers are chosen by their speed first.
pub fn by_pace(
    candidates: &mut [Candidate],
    size: &resource::Amount,
    tasks: &[u32],
    avoid: &BTreeMap<u32, Vec<cell::WorkerIndex>>,
    pace: Option<&Pace>,
) -> Vec<(u32, cell::WorkerIndex)> {
    let mut placed = Vec::with_capacity(tasks.len());
    let mut fast_tasks = pace.map_or(u32::MAX, |pace| pace.fast_tasks);
    let is_fast = |candidate: &Candidate| pace.is_some_and(|pace| candidate.speed >= pace.fast);
    for task in tasks {
        let avoided = avoid.get(task);
        let key = |candidate: &Candidate| {
            let avoided = avoided.is_some_and(|avoided| avoided.contains(&candidate.worker));
            let position = pace.map(|pace| pace.position(candidate));
            ((avoided, position), candidate.leftover(size))
        };
        let best = candidates
            .iter_mut()
            .filter(|candidate| candidate.fitting(size) > 0)
            .filter(|candidate| fast_tasks > 0 || !is_fast(candidate))
            .min_by(|left, right| {
                let (left, right) = (key(left), key(right));
                left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
            });
        let Some(best) = best else { break };
        best.take(size);
        if fast_tasks != u32::MAX && is_fast(best) {
            fast_tasks -= 1;
        }
        placed.push((*task, best.worker));
    }
    placed
}
