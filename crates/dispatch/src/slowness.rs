//! Detection of slow workers.
//!
//! Guards against workers that take several times as long as others while their reports look healthy. Stated run times
//! are too rough for a comparison, but tasks of one step are alike: a worker is slow if tasks of several jobs take
//! much longer on it than their siblings on other workers.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_workload::eligibility;

/// Minimum number of jobs that a rating is based on.
const MIN_JOBS: usize = 2;
/// Factor from which a worker counts as slow. Run times of tasks of one step differ by a third, and those on different
/// kinds of machines by less.
const SLOW_FACTOR: f64 = 2.2;
/// The same factor while the speed of the worker is not known: where machines differ, a healthy one may be slower than
/// its siblings by 1.7 / 0.7 = 2.4.
const UNKNOWN_SPEED_SLOW_FACTOR: f64 = 3.6;
/// Age after which a rating is ignored; reports arrive at least once a second.
const MAX_RATING_AGE: Duration = Duration::from_secs(2);

/// Projected run times of tasks by step and worker, and the resulting ratings of workers.
#[derive(Debug, Default)]
pub struct Slowness {
    steps: HashMap<eligibility::Step, BTreeMap<cell::WorkerIndex, Duration>>,
    ratings: HashMap<cell::WorkerIndex, (f64, Duration)>,
}

impl Slowness {
    /// Records the projected run times of the tasks on one worker, one for each step, and rates the worker. The run times
    /// are those on a worker of speed 1.
    pub fn observe(
        &mut self,
        now: Duration,
        worker: cell::WorkerIndex,
        totals: &BTreeMap<eligibility::Step, Duration>,
    ) {
        let mut ratios: BTreeMap<u64, f64> = BTreeMap::new();
        for (step, total) in totals {
            let siblings = self.steps.entry(*step).or_default();
            siblings.insert(worker, *total);
            let mut others: Vec<Duration> = siblings
                .iter()
                .filter(|(other, _)| **other != worker)
                .map(|(_, total)| *total)
                .collect();
            if others.is_empty() {
                continue;
            }
            // The lower median: with two siblings of which one is on a slow worker, the other one is the reference.
            let middle = (others.len() - 1) / 2;
            let (_, reference, _) = others.select_nth_unstable(middle);
            if !reference.is_zero() {
                let ratio = total.as_secs_f64() / reference.as_secs_f64();
                ratios.insert(step.job, ratio.max(0.01).ln());
            }
        }
        if ratios.len() >= MIN_JOBS {
            // The lower median: a few runs take several times as long on any worker, while a slow one delays all of its runs.
            let mut ordered: Vec<f64> = ratios.into_values().collect();
            let middle = (ordered.len() - 1) / 2;
            let (_, median, _) = ordered.select_nth_unstable_by(middle, f64::total_cmp);
            self.ratings.insert(worker, (median.exp(), now));
        }
    }

    /// Returns the factor by which a worker is slow, if its rating is recent and above the threshold.
    pub fn factor(&self, worker: cell::WorkerIndex, now: Duration) -> Option<f64> {
        let (factor, at) = self.ratings.get(&worker)?;
        (*factor >= SLOW_FACTOR && now < *at + MAX_RATING_AGE).then_some(*factor)
    }

    /// Returns the same for a worker whose speed is not known, and to which its run times are therefore not adjusted.
    pub fn factor_of_unknown(&self, worker: cell::WorkerIndex, now: Duration) -> Option<f64> {
        self.factor(worker, now)
            .filter(|factor| *factor >= UNKNOWN_SPEED_SLOW_FACTOR)
    }

    /// Removes the run times of a step.
    pub fn remove_step(&mut self, step: eligibility::Step) {
        self.steps.remove(&step);
    }

    /// Removes the rating of a worker.
    pub fn remove_worker(&mut self, worker: cell::WorkerIndex) {
        self.ratings.remove(&worker);
    }
}
