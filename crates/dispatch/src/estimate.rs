//! Expected run times.
//!
//! Callers state a run time for each step, and the actual one may differ by several times. Completed runs show how
//! well a queue's stated run times predict the actual ones: a line is fitted to the logarithms of actual and stated
//! run times. Its slope is near 1 if the stated times are good, and near 0 if they are noise, in which case the mean
//! of the queue is the best estimate.

use std::{collections::HashMap, time::Duration};

/// Minimum weight of a queue's runs for the fit to be used; the slope of fewer runs is noise.
const MIN_WEIGHT: f64 = 12.0;
/// Factor on the weight of earlier runs with each new run, so that the fit follows changes within some hundred runs.
const DECAY: f64 = 0.995;
/// Variance that is added to that of the stated run times, so that equal stated times give a slope of 0.
const RIDGE: f64 = 0.05;

/// Runs that deviate from the fit by more than this multiple of the mean deviation count as deviating by it: a few runs
/// that take several times as long must not change the estimates of the others.
const MAX_DEVIATION: f64 = 3.5;
/// Minimum of that limit, as a logarithm.
const MIN_CLIP: f64 = 1.2;
/// Weight of a new run in the mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 64.0;

/// Standard deviation of the logarithm of run times that is assumed for a queue without enough runs.
const INITIAL_NOISE: f64 = 0.3;
/// Ratio of the standard deviation to the mean absolute deviation of normally distributed values.
const DEVIATION_RATIO: f64 = 1.25;

/// Longest expected run time. Stated times are not limited, and sums of several have to fit into a `Duration`.
const MAX_EXPECTED: Duration = Duration::from_hours(24 * 365);

#[derive(Debug, Clone, Copy, Default)]
struct Fit {
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
    /// Mean absolute deviation from the fit.
    deviation: f64,
}

/// Regression of the run times of each queue.
#[derive(Debug, Default)]
pub struct Estimates {
    queues: HashMap<String, Fit>,
}

fn log_seconds(time: Duration) -> f64 {
    time.as_secs_f64().max(0.001).ln()
}

impl Estimates {
    /// Records the actual run time of a task on a worker of speed 1 with its stated one.
    pub fn record(&mut self, queue: &str, stated: Duration, actual: Duration) {
        let (x, mut y) = (log_seconds(stated), log_seconds(actual));
        let expected = log_seconds(self.expected(queue, stated));
        let fit = match self.queues.get_mut(queue) {
            Some(fit) => fit,
            None => self.queues.entry(String::from(queue)).or_default(),
        };
        if fit.weight >= MIN_WEIGHT {
            let limit = (MAX_DEVIATION * fit.deviation).max(MIN_CLIP);
            y = y.clamp(expected - limit, expected + limit);
            fit.deviation += DEVIATION_WEIGHT * ((y - expected).abs() - fit.deviation);
        } else {
            fit.deviation = INITIAL_NOISE / DEVIATION_RATIO;
        }
        fit.weight = fit.weight * DECAY + 1.0;
        fit.sum_x = fit.sum_x * DECAY + x;
        fit.sum_y = fit.sum_y * DECAY + y;
        fit.sum_xx = fit.sum_xx * DECAY + x * x;
        fit.sum_xy = fit.sum_xy * DECAY + x * y;
    }

    /// Returns the expected run time of a task with a stated one.
    pub fn expected(&self, queue: &str, stated: Duration) -> Duration {
        self.fitted(queue, stated).min(MAX_EXPECTED)
    }

    /// Returns the standard deviation of the logarithm of a queue's run times from the expected ones.
    pub fn noise(&self, queue: &str) -> f64 {
        let fit = self.queues.get(queue).filter(|fit| fit.weight >= MIN_WEIGHT);
        fit.map_or(INITIAL_NOISE, |fit| fit.deviation * DEVIATION_RATIO)
    }

    fn fitted(&self, queue: &str, stated: Duration) -> Duration {
        let Some(fit) = self.queues.get(queue).filter(|fit| fit.weight >= MIN_WEIGHT) else {
            return stated;
        };
        let (mean_x, mean_y) = (fit.sum_x / fit.weight, fit.sum_y / fit.weight);
        let variance = fit.sum_xx / fit.weight - mean_x * mean_x;
        let covariance = fit.sum_xy / fit.weight - mean_x * mean_y;
        let slope = (covariance / (variance + RIDGE)).clamp(0.0, 1.0);
        let expected = (mean_y + slope * (log_seconds(stated) - mean_x)).exp();
        Duration::try_from_secs_f64(expected).unwrap_or(stated)
    }
}
