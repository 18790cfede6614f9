//! Speeds of workers.
//!
//! Guards against a fleet whose machines differ: where two thirds of the workers run at 0.7 of the nominal speed and the
//! others at 1.7, an urgent task ends in time on a fast worker only. A completed run shows the speed of its worker by the
//! ratio of the expected nominal run time to the actual one. These ratios are noisy, and a few percent of the runs take
//! several times as long, so that deviations are clipped and weighted by the noise of their queue. The speeds of a pool
//! are used only if they differ by more than their uncertainty.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_workload::{eligibility, job};

/// Factor on the weight of earlier runs of a worker with each new run; about 30 runs count.
const DECAY: f64 = 0.97;
/// Precision of the assumption that a worker is typical, in runs with a standard deviation of 1: speeds in one pool differ
/// by a factor of about e^0.5.
const PRIOR_PRECISION: f64 = 4.0;
/// Standard deviation of the logarithm of a run's ratio that is assumed for a queue without observations.
const INITIAL_NOISE: f64 = 0.5;
/// Minimum standard deviation; run times of sibling tasks differ by this much.
const MIN_NOISE: f64 = 0.15;
/// Weight of a new run in the noise of its queue.
const NOISE_WEIGHT: f64 = 1.0 / 64.0;
/// Ratio of the standard deviation to the mean absolute deviation of normally distributed values.
const DEVIATION_RATIO: f64 = 1.25;
/// Maximum deviation of a run that changes a speed: three standard deviations, and at least this logarithm. A run that
/// takes 7 times as long deviates by 1.95.
const MIN_CLIP: f64 = 0.9;
/// Weight of a run that deviates by more than `OUTLIER` on a worker with at least `SETTLED_RUNS`: most are long runs, or
/// runs of a worker with a fault of some seconds.
const OUTLIER_WEIGHT: f64 = 0.1;
/// See `OUTLIER_WEIGHT`; a logarithm beyond the difference between a fast and a slow machine, ln(1.7 / 0.7) = 0.89.
const OUTLIER: f64 = 1.0;
/// See `OUTLIER_WEIGHT`.
const SETTLED_RUNS: u32 = 10;
/// Number of the newest jobs of a worker whose further runs count less, since the error of a job's stated run time is
/// common to its tasks.
const RECENT_JOBS: usize = 4;
/// Weight of a further run of a recent job.
const REPEATED_WEIGHT: f64 = 0.3;
/// Number of runs from which the speed of a worker counts as known.
const MIN_RUNS: u32 = 3;
/// Minimum number of known workers of a pool whose speeds are compared.
const MIN_KNOWN: usize = 4;
/// Speeds are used if their variance exceeds that of their uncertainty by this factor and `ON_VARIANCE`, and until it
/// falls below `OFF_FACTOR` and `OFF_VARIANCE`.
const ON_FACTOR: f64 = 4.0;
/// See `ON_FACTOR`; a standard deviation of 0.15.
const ON_VARIANCE: f64 = 0.022;
/// See `ON_FACTOR`.
const OFF_FACTOR: f64 = 2.0;
/// See `ON_FACTOR`; a standard deviation of 0.1.
const OFF_VARIANCE: f64 = 0.01;
/// Interval between two comparisons of the speeds of a pool.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the known workers that are slower than `Range::slowest`, and faster than `Range::fastest`.
const EDGE_SHARE: f64 = 0.05;
/// Maximum factor by which a worker counts as faster or slower than the typical one.
const MAX_FACTOR: f64 = 10.0;
/// Precision of an inherited speed, in runs with a standard deviation of 1: about as much as seven runs of typical noise,
/// so that a machine whose speed has changed is told soon.
const INHERITED_PRECISION: f64 = 60.0;
/// Interval between two records of speeds.
const RECORD_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of gangs whose slowest member is remembered.
const MAX_GANGS: usize = 4_096;

/// Speeds of a pool whose workers differ.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Range {
    /// Speed of slow workers.
    pub slowest: f64,
    /// Speed of fast workers.
    pub fastest: f64,
}

impl Range {
    /// Returns whether both speeds differ from others by at most a share.
    pub fn is_close(&self, other: &Self, share: f64) -> bool {
        let is_close = |left: f64, right: f64| (left - right).abs() <= right * share;
        is_close(self.slowest, other.slowest) && is_close(self.fastest, other.fastest)
    }

    /// Returns the speed from which a worker counts as a fast one of its pool.
    pub fn middle(&self) -> f64 {
        (self.slowest * self.fastest).sqrt()
    }
}

#[derive(Debug, Default)]
struct Record {
    pool: String,
    /// Mean of the logarithms of the ratios.
    mean: f64,
    /// Reciprocal of the variance of `mean`.
    precision: f64,
    runs: u32,
    jobs: VecDeque<job::Key>,
    /// Speed in use.
    speed: Option<f64>,
}

impl Record {
    fn level(&self) -> f64 {
        self.mean * self.precision / (self.precision + PRIOR_PRECISION)
    }

    const fn is_known(&self) -> bool {
        self.runs >= MIN_RUNS
    }
}

/// A completed run.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// Worker of the run.
    pub worker: cell::WorkerIndex,
    /// Pool of the worker.
    pub pool: &'a str,
    /// Queue of the job.
    pub queue: &'a str,
    /// Job of the run.
    pub job: job::Key,
    /// Run time that was expected on a worker of speed 1.
    pub expected: Duration,
    /// Actual run time.
    pub actual: Duration,
}

/// Observed speeds of workers, relative to the typical worker of their pool.
#[derive(Debug, Default)]
pub struct Speeds {
    workers: HashMap<cell::WorkerIndex, Record>,
    /// Pools whose workers differ.
    pools: HashMap<String, Range>,
    /// Mean absolute deviation of the logarithms of a queue's ratios.
    noise: HashMap<String, f64>,
    /// Speed of the slowest member of recently started gangs.
    gangs: HashMap<eligibility::Step, f64>,
    /// Gangs in the order of their start.
    started: VecDeque<eligibility::Step>,
    refresh_at: Duration,
    record_at: Duration,
    ignored: bool,
}

impl Speeds {
    /// Ignores all observations from now on.
    pub const fn ignore(&mut self) {
        self.ignored = true;
    }

    /// Continues with the recorded speed of a worker about which nothing is known. `precision` is that of the record.
    pub fn inherit(&mut self, worker: cell::WorkerIndex, pool: &str, speed: f64, precision: f64) {
        let precision = precision.clamp(1.0, INHERITED_PRECISION);
        let level = speed.clamp(1.0 / MAX_FACTOR, MAX_FACTOR).ln();
        self.workers.entry(worker).or_insert_with(|| Record {
            pool: String::from(pool),
            mean: level * (precision + PRIOR_PRECISION) / precision,
            precision,
            runs: MIN_RUNS,
            jobs: VecDeque::new(),
            speed: None,
        });
    }

    /// Returns the speed of a worker in use and its precision, if it is known.
    pub fn learned(&self, worker: cell::WorkerIndex) -> Option<(f64, f64)> {
        let record = self.workers.get(&worker)?;
        Some((record.speed?, record.precision))
    }

    /// Returns whether the next record of speeds is due, and sets the time of the one after it.
    pub fn take_record_due(&mut self, now: Duration) -> bool {
        let is_due = now >= self.record_at;
        if is_due {
            self.record_at = now + RECORD_INTERVAL;
        }
        is_due
    }

    /// Returns the speed of a worker; 1 if nothing is known about it.
    pub fn of(&self, worker: cell::WorkerIndex) -> f64 {
        let record = self.workers.get(&worker);
        record.and_then(|record| record.speed).unwrap_or(1.0)
    }

    /// Returns the speeds of a pool if its workers differ by more than noise.
    pub fn range(&self, pool: &str) -> Option<Range> {
        self.pools.get(pool).copied()
    }

    /// Returns whether enough runs of a worker have ended for its speed to be known.
    pub fn is_known(&self, worker: cell::WorkerIndex) -> bool {
        self.workers.get(&worker).is_some_and(Record::is_known)
    }

    /// Returns the standard deviation of the logarithm of a queue's run times from the expected ones.
    pub fn noise(&self, queue: &str) -> f64 {
        let noise = self.noise.get(queue);
        noise.map_or(INITIAL_NOISE, |noise| (noise * DEVIATION_RATIO).max(MIN_NOISE))
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: cell::WorkerIndex) {
        self.workers.remove(&worker);
    }

    /// Records the slowest member of a gang, at whose speed all members proceed.
    pub fn set_gang(&mut self, step: eligibility::Step, slowest: f64) {
        if self.gangs.insert(step, slowest).is_none() {
            self.started.push_back(step);
        }
        if self.started.len() > MAX_GANGS
            && let Some(oldest) = self.started.pop_front()
        {
            self.gangs.remove(&oldest);
        }
    }

    /// Returns the speed of the slowest member of a gang.
    pub fn gang(&self, step: eligibility::Step) -> f64 {
        self.gangs.get(&step).copied().unwrap_or(1.0)
    }

    /// Records a completed run.
    pub fn observe(&mut self, observation: &Observation<'_>) {
        let seconds = |time: Duration| time.as_secs_f64().max(0.001);
        let ratio = (seconds(observation.expected) / seconds(observation.actual)).ln();
        let noise = self.noise(observation.queue);
        let record = self.workers.entry(observation.worker).or_default();
        if record.pool != observation.pool {
            record.pool = String::from(observation.pool);
        }
        let limit = (3.0 * noise).max(MIN_CLIP);
        let deviation = (ratio - record.mean).clamp(-limit, limit);
        let is_outlier =
            record.runs >= SETTLED_RUNS && (ratio - record.mean).abs() > OUTLIER.max(1.5 * noise);
        let trust = if is_outlier { OUTLIER_WEIGHT } else { 1.0 };
        let weight = if record.jobs.contains(&observation.job) {
            REPEATED_WEIGHT
        } else {
            record.jobs.push_back(observation.job);
            if record.jobs.len() > RECENT_JOBS {
                record.jobs.pop_front();
            }
            1.0
        };
        let added = trust * weight / (noise * noise);
        record.precision = record.precision * DECAY.powf(trust * weight) + added;
        record.mean += deviation * added / record.precision;
        record.runs = record.runs.saturating_add(1);
        if record.runs > MIN_RUNS {
            let known = match self.noise.get_mut(observation.queue) {
                Some(known) => known,
                None => self
                    .noise
                    .entry(String::from(observation.queue))
                    .or_insert(INITIAL_NOISE / DEVIATION_RATIO),
            };
            *known += NOISE_WEIGHT * (deviation.abs() - *known);
        }
    }

    /// Compares the speeds of each pool, if the last comparison is old enough. Returns whether it is.
    pub fn refresh(&mut self, now: Duration) -> bool {
        if now < self.refresh_at || self.ignored {
            return false;
        }
        self.refresh_at = now + REFRESH_INTERVAL;
        let pools: HashSet<String> = self.workers.values().map(|record| record.pool.clone()).collect();
        for pool in pools {
            self.refresh_pool(&pool);
        }
        true
    }

    fn refresh_pool(&mut self, pool: &str) {
        let records = self.workers.values().filter(|record| record.pool == pool);
        let mut seen = 0_usize;
        let mut levels = Vec::new();
        let mut uncertainty = 0.0;
        for record in records {
            seen += 1;
            if record.is_known() {
                levels.push(record.level());
                uncertainty += 1.0 / (record.precision + PRIOR_PRECISION);
            }
        }
        if levels.len() < MIN_KNOWN || levels.len() * 2 < seen {
            return;
        }
        let count = levels.len() as f64;
        levels.sort_unstable_by(f64::total_cmp);
        let mean = levels.iter().sum::<f64>() / count;
        let variance = levels.iter().map(|level| (level - mean).powi(2)).sum::<f64>() / count;
        let uncertainty = uncertainty / count;
        let differs = if self.pools.contains_key(pool) {
            variance > OFF_FACTOR * uncertainty && variance > OFF_VARIANCE
        } else {
            variance > ON_FACTOR * uncertainty && variance > ON_VARIANCE
        };
        // The mean speed of a pool is 1: run times are stated for its nominal capacity.
        let typical = (levels.iter().map(|level| level.exp()).sum::<f64>() / count).ln();
        let speed = |level: f64| (level - typical).exp().clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        if differs {
            let edge = (count * EDGE_SHARE) as usize;
            let range = Range {
                slowest: speed(levels[edge]),
                fastest: speed(levels[levels.len() - 1 - edge]),
            };
            self.pools.insert(String::from(pool), range);
        } else {
            self.pools.remove(pool);
        }
        for record in self.workers.values_mut().filter(|record| record.pool == pool) {
            record.speed = (differs && record.is_known()).then(|| speed(record.level()));
        }
    }
}
