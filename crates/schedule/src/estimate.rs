//! Distributions of actual relative to declared sizes and run times, per team and job kind.

use std::time::Duration;

use bronzespoke_model::resource;
use hdrhistogram::Histogram;

/// Number of samples before the first estimate of the run time, and between two updates of it.
const TIME_SAMPLES: u64 = 20;
/// Number of samples before the size is estimated.
const SIZE_SAMPLES: u64 = 50;
/// Quantile of the run time used for planning.
const TIME_QUANTILE: f64 = 0.8;
/// Quantile of the size used for grants.
const SIZE_QUANTILE: f64 = 0.98;
/// Safety factor on the granted size.
const SIZE_MARGIN: f64 = 1.1;
/// Smallest fraction of the declared size that is granted, however little earlier runs used.
const MIN_SIZE_FRACTION: f64 = 0.25;
/// Largest factor between the declared and the estimated run time, in either direction.
const MAX_TIME_FACTOR: f64 = 10.0;
/// Largest recorded ratio, in percent; larger ones count as this one.
const MAX_PERCENT: u64 = 10_000;
/// Number of samples after which a histogram is reset, so that it follows changes.
const MAX_SAMPLES: u64 = 5_000;

fn histogram() -> Histogram<u16> {
    Histogram::new_with_bounds(1, MAX_PERCENT, 1).expect("the bounds are valid")
}

/// Estimates for the jobs of one kind of one team.
#[derive(Debug)]
pub(crate) struct Model {
    time: Histogram<u16>,
    cpu: Histogram<u16>,
    memory: Histogram<u16>,
    /// Quantile of the run time as a ratio, cached because every expected end uses it.
    time_ratio: f64,
}

impl Model {
    /// Returns a model without samples.
    pub(crate) fn new() -> Self {
        Self {
            time: histogram(),
            cpu: histogram(),
            memory: histogram(),
            time_ratio: 1.0,
        }
    }

    /// Records the run time of a successful run.
    pub(crate) fn record_time(&mut self, declared: Duration, actual: Duration) {
        if declared.is_zero() {
            return;
        }
        record(&mut self.time, actual.as_secs_f64() / declared.as_secs_f64());
        if self.time.len().is_multiple_of(TIME_SAMPLES) {
            self.time_ratio = self.time.value_at_quantile(TIME_QUANTILE) as f64 / 100.0;
        }
    }

    /// Records the peak usage of a run.
    pub(crate) fn record_size(&mut self, declared: &resource::Amount, peak: &resource::Amount) {
        let ratio = |actual: u32, declared: u32| f64::from(actual) / f64::from(declared.max(1));
        record(&mut self.cpu, ratio(peak.cpu_milli, declared.cpu_milli));
        record(&mut self.memory, ratio(peak.memory_mib, declared.memory_mib));
    }

    /// Returns the estimated run time.
    pub(crate) fn time(&self, declared: Duration) -> Duration {
        declared.mul_f64(self.time_ratio.clamp(1.0 / MAX_TIME_FACTOR, MAX_TIME_FACTOR))
    }

    /// Returns the size to grant, which never exceeds the declared one.
    pub(crate) fn size(&self, declared: &resource::Amount) -> resource::Amount {
        if self.cpu.len() < SIZE_SAMPLES {
            return *declared;
        }
        let granted = |histogram: &Histogram<u16>, declared: u32| {
            let ratio = histogram.value_at_quantile(SIZE_QUANTILE) as f64 / 100.0 * SIZE_MARGIN;
            // Rounding up to eighths keeps the number of distinct sizes small.
            let step = (ratio.clamp(MIN_SIZE_FRACTION, 1.0) * 8.0).ceil() / 8.0;
            (f64::from(declared) * step).ceil() as u32
        };
        resource::Amount {
            cpu_milli: granted(&self.cpu, declared.cpu_milli),
            memory_mib: granted(&self.memory, declared.memory_mib),
            accelerators: declared.accelerators,
        }
    }
}

fn record(histogram: &mut Histogram<u16>, ratio: f64) {
    if histogram.len() >= MAX_SAMPLES {
        histogram.reset();
    }
    histogram.saturating_record(((ratio * 100.0) as u64).max(1));
}
