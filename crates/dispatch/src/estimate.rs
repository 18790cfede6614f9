//! Expected run times.
//!
//! Answers estimates that are far off: callers state a run time for each step, and the true one may differ several times.
//! Finished runs show how much a queue's estimates tell: the logarithms of true and stated run times are fitted by a
//! line, whose slope is near 1 for good estimates and near 0 for noise, where the mean of the queue is the best guess.

use std::{collections::HashMap, time::Duration};

/// Runs of a queue after which the fit counts; fewer give a slope that is noise itself.
const ENOUGH_RUNS: f64 = 12.0;
/// Weight of former runs after each new one, so that the fit follows changes within some hundred runs.
const DECAY: f64 = 0.995;
/// Variance that is added to that of the stated run times, so that equal statements give no slope.
const RIDGE: f64 = 0.05;

#[derive(Debug, Clone, Copy, Default)]
struct Fit {
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
}

/// Fits by queue.
#[derive(Debug, Default)]
pub struct Estimates {
    queues: HashMap<String, Fit>,
}

fn logarithm(time: Duration) -> f64 {
    time.as_secs_f64().max(0.001).ln()
}

impl Estimates {
    /// Notes the true run time of a task whose stated one is given.
    pub fn record(&mut self, queue: &str, stated: Duration, actual: Duration) {
        let (x, y) = (logarithm(stated), logarithm(actual));
        let fit = match self.queues.get_mut(queue) {
            Some(fit) => fit,
            None => self.queues.entry(String::from(queue)).or_default(),
        };
        fit.weight = fit.weight * DECAY + 1.0;
        fit.sum_x = fit.sum_x * DECAY + x;
        fit.sum_y = fit.sum_y * DECAY + y;
        fit.sum_xx = fit.sum_xx * DECAY + x * x;
        fit.sum_xy = fit.sum_xy * DECAY + x * y;
    }

    /// Expected run time of a task whose stated one is given.
    pub fn expected(&self, queue: &str, stated: Duration) -> Duration {
        let Some(fit) = self.queues.get(queue).filter(|fit| fit.weight >= ENOUGH_RUNS) else {
            return stated;
        };
        let (mean_x, mean_y) = (fit.sum_x / fit.weight, fit.sum_y / fit.weight);
        let variance = fit.sum_xx / fit.weight - mean_x * mean_x;
        let covariance = fit.sum_xy / fit.weight - mean_x * mean_y;
        let slope = (covariance / (variance + RIDGE)).clamp(0.0, 1.0);
        let expected = (mean_y + slope * (logarithm(stated) - mean_x)).exp();
        Duration::try_from_secs_f64(expected).unwrap_or(stated)
    }
}
