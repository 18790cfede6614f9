//! Choice of workers for the tasks of one step.
//!
//! Answers a fleet that is nearly full of tasks of different sizes: each task goes to the worker on which it leaves the
//! least room, so that small tasks fill workers that are nearly full and whole workers stay free for wide gangs.

use std::collections::BTreeMap;

use bronzespoke_control::cell;
use bronzespoke_model::resource;

/// A worker that may run the step.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Worker.
    pub worker: cell::WorkerIndex,
    /// Room that is left.
    pub free: resource::Amount,
    /// All of its room.
    pub room: resource::Amount,
    /// Tasks of the step that it may still take; `u32::MAX` means no bound.
    pub slots: u32,
    /// Whether the step runs longer there.
    pub remote: bool,
    /// Whether the worker is kept for a gang.
    pub kept: bool,
}

/// Share of a worker that a remote place has to save to be preferred; tasks away from their data take twice as long.
const REMOTE_PENALTY: f64 = 4.0;

/// Urgent tasks use a worker that is kept for a gang only when no other has room.
const KEPT_PENALTY: f64 = 8.0;

impl Candidate {
    /// Tasks of a size that fit now.
    pub fn fitting(&self, size: &resource::Amount) -> u32 {
        count(&self.free, size).min(self.slots)
    }

    fn take(&mut self, size: &resource::Amount) {
        self.free = self.free.saturating_sub(size);
        if self.slots != u32::MAX {
            self.slots -= 1;
        }
    }

    /// Room that a task would leave, as the sum of shares; smaller is better.
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
        let kept = if self.kept { KEPT_PENALTY } else { 0.0 };
        cpu + memory + devices + remote + kept
    }
}

/// Tasks of a size that fit into an amount.
pub fn count(free: &resource::Amount, size: &resource::Amount) -> u32 {
    let dimension = |free: u32, size: u32| free.checked_div(size).unwrap_or(u32::MAX);
    dimension(free.cpu_milli, size.cpu_milli)
        .min(dimension(free.memory_mib, size.memory_mib))
        .min(dimension(free.accelerators, size.accelerators))
}

/// Tasks of a size that fit on all candidates together.
pub fn fitting(candidates: &[Candidate], size: &resource::Amount) -> u32 {
    let sum = |sum: u32, candidate: &Candidate| sum.saturating_add(candidate.fitting(size));
    candidates.iter().fold(0, sum)
}

/// Places tasks one by one on the worker that each fills best. Returns the worker of each placed task.
///
/// `avoid` names workers that a task should not run on as long as another one has room.
pub fn best_fit(
    candidates: &mut [Candidate],
    size: &resource::Amount,
    tasks: &[u32],
    avoid: &BTreeMap<u32, Vec<cell::WorkerIndex>>,
) -> Vec<(u32, cell::WorkerIndex)> {
    let mut placed = Vec::with_capacity(tasks.len());
    for task in tasks {
        let avoided = avoid.get(task);
        let key = |candidate: &Candidate| {
            let avoided = avoided.is_some_and(|avoided| avoided.contains(&candidate.worker));
            (avoided, candidate.leftover(size))
        };
        let best = candidates
            .iter_mut()
            .filter(|candidate| candidate.fitting(size) > 0)
            .min_by(|left, right| {
                let (left, right) = (key(left), key(right));
                left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
            });
        let Some(best) = best else { break };
        best.take(size);
        placed.push((*task, best.worker));
    }
    placed
}
