//! Progress of a run, as the reports of its worker show it.
//!
//! Answers workers on which tasks stand still or crawl while their reports look healthy: the share of the work that is done
//! tells within a second or two what the end of the run would tell much later.

use std::time::Duration;

/// Share of the work that has to be seen to project the rest, in percent; reports round to whole percents.
const ENOUGH: u8 = 4;
/// A run whose rate is known stands still when this many percents' time passes without one.
const STALLED_PERCENTS: u32 = 10;
/// The same for a run whose rate is only expected, since expectations are off several times.
const UNPROVEN_PERCENTS: u32 = 40;
/// Shortest standstill that counts; reports come up to a second apart.
const SHORTEST_STALL: Duration = Duration::from_millis(900);
/// The same for a run whose rate is only expected.
const UNPROVEN_STALL: Duration = Duration::from_millis(1_300);

/// Progress of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    first: (Duration, u8),
    last: (Duration, u8),
}

impl Progress {
    /// Begins with what the first report shows.
    pub const fn new(now: Duration, percent: u8) -> Self {
        Self {
            first: (now, percent),
            last: (now, percent),
        }
    }

    /// Takes what a further report shows.
    pub const fn observe(&mut self, now: Duration, percent: u8) {
        if percent != self.last.1 {
            self.last = (now, percent);
        }
    }

    /// Share of the work that is done, in percent.
    pub const fn percent(&self) -> u8 {
        self.last.1
    }

    /// Time that one percent takes, once enough was seen.
    fn each(&self) -> Option<Duration> {
        let seen = self.last.1.saturating_sub(self.first.1);
        (seen >= ENOUGH).then(|| self.last.0.saturating_sub(self.first.0) / u32::from(seen))
    }

    /// Whole run time as far as it can be projected.
    pub fn total(&self) -> Option<Duration> {
        Some(self.each()? * 100)
    }

    /// Projected end.
    pub fn end(&self) -> Option<Duration> {
        let left = 100_u8.saturating_sub(self.last.1);
        Some(self.last.0 + self.each()? * u32::from(left))
    }

    /// Tells whether the run stands still. `expected` is the run time that was expected for the whole of it.
    pub fn is_stalled(&self, now: Duration, expected: Duration) -> bool {
        let still = now.saturating_sub(self.last.0);
        let limit = match self.each() {
            Some(each) => SHORTEST_STALL.max(each * STALLED_PERCENTS),
            None => UNPROVEN_STALL.max(expected / 100 * UNPROVEN_PERCENTS),
        };
        self.last.1 < 100 && still > limit
    }
}
