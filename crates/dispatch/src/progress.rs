//! Progress of a run, as reported by its worker.
//!
//! Guards against workers on which tasks stall or crawl while their reports look healthy: the completed share of the
//! work shows this within a second or two, long before the run is due to end.

use std::time::Duration;

/// Minimum observed progress for a projection, in percentage points; reports round to whole percents.
const MIN_OBSERVED_PERCENT: u8 = 4;
/// A run with a measured rate is stalled if it makes no progress in the time that it needs for this many percentage
/// points.
const STALLED_PERCENTS: u32 = 10;
/// The same limit for a run whose rate is only estimated, since estimates may be wrong by several times.
const ESTIMATED_STALLED_PERCENTS: u32 = 40;
/// Minimum duration of a stall; reports arrive up to a second apart.
const MIN_STALL: Duration = Duration::from_millis(900);
/// Minimum duration of a stall of a run whose rate is only estimated.
const ESTIMATED_MIN_STALL: Duration = Duration::from_millis(1_300);

/// Progress of a run: its first observation and the latest change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    first: (Duration, u8),
    last: (Duration, u8),
}

impl Progress {
    /// Creates the progress from the first report.
    pub const fn new(now: Duration, percent: u8) -> Self {
        Self {
            first: (now, percent),
            last: (now, percent),
        }
    }

    /// Records the progress in a further report.
    pub const fn observe(&mut self, now: Duration, percent: u8) {
        if percent != self.last.1 {
            self.last = (now, percent);
        }
    }

    /// Returns the completed share of the work, in percent.
    pub const fn percent(&self) -> u8 {
        self.last.1
    }

    /// Returns the time per percentage point, once enough progress was observed.
    fn time_per_percent(&self) -> Option<Duration> {
        let observed = self.last.1.saturating_sub(self.first.1);
        (observed >= MIN_OBSERVED_PERCENT)
            .then(|| self.last.0.saturating_sub(self.first.0) / u32::from(observed))
    }

    /// Returns the projected total run time.
    pub fn total(&self) -> Option<Duration> {
        Some(self.time_per_percent()? * 100)
    }

    /// Returns the projected end.
    pub fn end(&self) -> Option<Duration> {
        let remaining = 100_u8.saturating_sub(self.last.1);
        Some(self.last.0 + self.time_per_percent()? * u32::from(remaining))
    }

    /// Returns whether the run is stalled. `expected` is the estimate of its total run time.
    pub fn is_stalled(&self, now: Duration, expected: Duration) -> bool {
        let unchanged = now.saturating_sub(self.last.0);
        let limit = match self.time_per_percent() {
            Some(time) => MIN_STALL.max(time * STALLED_PERCENTS),
            None => ESTIMATED_MIN_STALL.max(expected / 100 * ESTIMATED_STALLED_PERCENTS),
        };
        self.last.1 < 100 && unchanged > limit
    }
}
