//! Distributions of real against declared sizes and run times, per team and kind.

use std::time::Duration;

use bronzespoke_model::resource;
use hdrhistogram::Histogram;

/// Runs that must have been seen before a run time is believed, and between two changes of the belief.
const TIME_SAMPLES: u64 = 20;
/// Runs that must have been seen before a size is believed.
const SIZE_SAMPLES: u64 = 50;
/// Quantile of the run time that is planned with.
const TIME_QUANTILE: f64 = 0.8;
/// Quantile of the size that is granted.
const SIZE_QUANTILE: f64 = 0.98;
/// Margin on the granted size.
const SIZE_MARGIN: f64 = 1.1;
/// Smallest part of the declared size that is granted, however little was used before.
const LEAST_TRUST: f64 = 0.25;
/// Largest factor between the declared and the estimated run time.
const TIME_TRUST: f64 = 10.0;
/// Largest ratio that is recorded, in percent.
const LARGEST: u64 = 10_000;
/// Samples after which a distribution starts anew, so that it follows changes.
const RENEWAL: u64 = 5_000;

fn distribution() -> Histogram<u16> {
    Histogram::new_with_bounds(1, LARGEST, 1).expect("the bounds are valid")
}

/// What has been learned about one kind of work of one team.
#[derive(Debug)]
pub(crate) struct Model {
    time: Histogram<u16>,
    cpu: Histogram<u16>,
    memory: Histogram<u16>,
    /// Quantile of the run time as a ratio, kept because every expected end needs it.
    time_ratio: f64,
}

impl Model {
    /// Returns a model without samples.
    pub(crate) fn new() -> Self {
        Self {
            time: distribution(),
            cpu: distribution(),
            memory: distribution(),
            time_ratio: 1.0,
        }
    }

    /// Records the run time of a run that succeeded.
    pub(crate) fn record_time(&mut self, declared: Duration, real: Duration) {
        if declared.is_zero() {
            return;
        }
        record(&mut self.time, real.as_secs_f64() / declared.as_secs_f64());
        if self.time.len().is_multiple_of(TIME_SAMPLES) {
            self.time_ratio = self.time.value_at_quantile(TIME_QUANTILE) as f64 / 100.0;
        }
    }

    /// Records the largest use of a run.
    pub(crate) fn record_size(&mut self, declared: &resource::Amount, peak: &resource::Amount) {
        let ratio = |real: u32, declared: u32| f64::from(real) / f64::from(declared.max(1));
        record(&mut self.cpu, ratio(peak.cpu_milli, declared.cpu_milli));
        record(&mut self.memory, ratio(peak.memory_mib, declared.memory_mib));
    }

    /// Returns the run time to plan with.
    pub(crate) fn time(&self, declared: Duration) -> Duration {
        declared.mul_f64(self.time_ratio.clamp(1.0 / TIME_TRUST, TIME_TRUST))
    }

    /// Returns the size to grant, never more than the declared one.
    pub(crate) fn size(&self, declared: &resource::Amount) -> resource::Amount {
        if self.cpu.len() < SIZE_SAMPLES {
            return *declared;
        }
        let granted = |all: &Histogram<u16>, declared: u32| {
            let ratio = all.value_at_quantile(SIZE_QUANTILE) as f64 / 100.0 * SIZE_MARGIN;
            // Steps of an eighth keep the number of distinct sizes small.
            let step = (ratio.clamp(LEAST_TRUST, 1.0) * 8.0).ceil() / 8.0;
            (f64::from(declared) * step).ceil() as u32
        };
        resource::Amount {
            cpu_milli: granted(&self.cpu, declared.cpu_milli),
            memory_mib: granted(&self.memory, declared.memory_mib),
            accelerators: declared.accelerators,
        }
    }
}

fn record(all: &mut Histogram<u16>, ratio: f64) {
    if all.len() >= RENEWAL {
        all.reset();
    }
    all.saturating_record(((ratio * 100.0) as u64).max(1));
}
