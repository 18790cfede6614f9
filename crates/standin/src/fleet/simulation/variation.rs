//! Workers of different speed, and run times that vary.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_dispatch::dispatch::Dispatch;
use rand::{Rng, rngs::SmallRng};

use super::Simulation;
use crate::fleet::load;

/// Differences between workers and between runs. The default has none beyond those of the kinds of requests.
#[derive(Debug, Clone, Default)]
pub struct Variation {
    /// Speeds of the workers, assigned in turn; all are 1 if there are none.
    pub speeds: Vec<f64>,
    /// Share of the runs that take longer by a factor, except those of gangs.
    pub tail: (f64, f64),
    /// Standard deviations of the logarithms of the error of stated run times and of the run times of the tasks of a step,
    /// instead of those of the kinds of requests. The objective then counts the typical run time of each step.
    pub spread: Option<(f64, f64)>,
    /// Whether workers report the progress of their runs.
    pub progress: bool,
    /// Workers that turn slower by a factor, from a time and for a duration.
    pub slowed: Vec<(usize, Duration, Duration, f64)>,
    /// Whether the leader ignores the speeds of workers.
    pub ignore_speeds: bool,
}

impl Simulation {
    /// Returns the factor by which runs that start now on a host take longer than on a worker of speed 1.
    pub(super) fn slowness(&self, index: usize) -> f64 {
        let variation = &self.plan.variation;
        let speeds = &variation.speeds;
        let speed = if speeds.is_empty() {
            1.0
        } else {
            speeds[index % speeds.len()]
        };
        let slowed = variation.slowed.iter().filter(|(slowed, begin, length, _)| {
            *slowed == index && self.now >= *begin && self.now < *begin + *length
        });
        slowed.fold(1.0 / speed, |slowness, (.., factor)| slowness * factor)
    }

    /// Records which of the slowed workers the leader rates as slow.
    pub(super) fn find_slowed(&mut self) {
        let Some(dispatch) = &self.dispatch else { return };
        for (host, begin, length, _) in &self.plan.variation.slowed {
            let is_slowed = self.now >= *begin && self.now < *begin + *length;
            let port = 1_000 + *host as u16;
            let mut workers = dispatch.workers().iter();
            let worker = workers.find(|(_, record)| record.announced.address.port() == port);
            if is_slowed && worker.is_some_and(|(worker, _)| dispatch.is_slow(*worker, self.now)) {
                self.report.found.entry(*host).or_insert(self.now);
            }
        }
    }

    /// Applies the variation of run times to a job.
    pub(super) fn vary(&mut self, job: &mut load::Job) {
        let Some((stated_error, task_spread)) = self.plan.variation.spread else {
            return;
        };
        job.critical_path = Duration::ZERO;
        for (number, step) in job.submission.steps.iter_mut().enumerate() {
            let number = number as u16;
            let times = job.run_times.iter().filter(|((other, _), _)| *other == number);
            let typical = times.map(|(_, time)| *time).sum::<Duration>() / step.tasks;
            job.critical_path += typical;
            step.run_time = typical.mul_f64((stated_error * normal(&mut self.rng)).exp());
            for index in 0..step.tasks {
                let run_time = typical.mul_f64((task_spread * normal(&mut self.rng)).exp());
                job.run_times.insert((number, index), run_time);
            }
        }
    }
}

/// Returns a number from a distribution that is close to the normal one.
fn normal(rng: &mut SmallRng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

/// Returns the speeds that a leader has observed, by the number of the worker.
pub(super) fn speeds(dispatch: &Dispatch) -> BTreeMap<usize, f64> {
    let workers = dispatch.workers().iter();
    let numbered = workers.map(|(worker, record)| {
        let host = usize::from(record.announced.address.port() - 1_000);
        (host, dispatch.speed(*worker))
    });
    numbered.collect()
}
