//! Which workers are slow.
//!
//! Answers workers that take several times as long as others while their reports look healthy. Stated run times are too rough to
//! tell, but tasks of one step are alike: a worker on which tasks of several jobs take much longer than their siblings on
//! other workers is slow.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_workload::advice;

/// Jobs whose tasks have to agree.
const AGREEING_JOBS: usize = 2;
/// Factor from which a worker counts as slow. Tasks of one step differ by a third, kinds of machines by less.
const SLOW_FACTOR: f64 = 2.2;
/// A verdict that is older says nothing; reports come at least once a second.
const VERDICT_AGE: Duration = Duration::from_secs(2);

/// Projected run times of tasks by step and worker, and the verdicts that follow.
#[derive(Debug, Default)]
pub struct Slowness {
    steps: HashMap<advice::Step, BTreeMap<cell::WorkerIndex, Duration>>,
    verdicts: HashMap<cell::WorkerIndex, (f64, Duration)>,
}

impl Slowness {
    /// Takes the projected run times of the tasks on one worker, one for each step, and judges the worker.
    pub fn observe(
        &mut self,
        now: Duration,
        worker: cell::WorkerIndex,
        totals: &BTreeMap<advice::Step, Duration>,
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
            others.sort_unstable();
            // The lower middle: with one slow worker among two siblings the other one is the measure.
            if let Some(reference) = others.get(others.len().saturating_sub(1) / 2)
                && !reference.is_zero()
            {
                let ratio = total.as_secs_f64() / reference.as_secs_f64();
                ratios.insert(step.job, ratio.max(0.01).ln());
            }
        }
        if ratios.len() >= AGREEING_JOBS {
            let mean = ratios.values().sum::<f64>() / ratios.len() as f64;
            self.verdicts.insert(worker, (mean.exp(), now));
        }
    }

    /// Factor of a slow worker, while the verdict is recent.
    pub fn factor(&self, worker: cell::WorkerIndex, now: Duration) -> Option<f64> {
        let (factor, at) = self.verdicts.get(&worker)?;
        (*factor >= SLOW_FACTOR && now < *at + VERDICT_AGE).then_some(*factor)
    }

    /// Forgets a step.
    pub fn forget(&mut self, step: advice::Step) {
        self.steps.remove(&step);
    }

    /// Forgets a worker.
    pub fn forget_worker(&mut self, worker: cell::WorkerIndex) {
        self.verdicts.remove(&worker);
    }
}
