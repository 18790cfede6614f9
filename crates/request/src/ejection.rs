//! Outlier ejection of one target, based on the outcomes of attempts, with slow start after readmission.
//!
//! Only failures lead to ejection. A slow target that responds in time still adds capacity, and the router already
//! sends fewer requests to it.

use std::time::Duration;

/// Consecutive failures that eject a target.
const MAX_FAILURES: u32 = 5;
/// Duration of the first ejection; it doubles with each consecutive ejection.
const BASE_EJECTION: Duration = Duration::from_secs(2);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_mins(1);
/// Consecutive successes that double the fraction of its capacity that a readmitted target may use.
const SUCCESSES_PER_STEP: u32 = 4;
/// Eighths of its capacity that a target may use when it is readmitted.
const INITIAL_EIGHTHS: u32 = 1;
/// Eighths that make up the full capacity.
const ALL_EIGHTHS: u32 = 8;

/// Ejection and slow-start state of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    successes: u32,
    ejections: u32,
    eighths: u32,
    until: Option<Duration>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failures: 0,
            successes: 0,
            ejections: 0,
            eighths: ALL_EIGHTHS,
            until: None,
        }
    }
}

impl Health {
    /// Records a successful attempt.
    pub const fn record_success(&mut self) {
        self.failures = 0;
        self.successes += 1;
        if self.successes >= SUCCESSES_PER_STEP {
            self.successes = 0;
            if self.eighths < ALL_EIGHTHS {
                self.eighths *= 2;
            } else {
                self.ejections = 0;
            }
        }
    }

    /// Records a failed attempt; returns whether the target should be ejected.
    pub const fn record_failure(&mut self) -> bool {
        self.successes = 0;
        self.failures += 1;
        // During slow start a single failure ejects the target again.
        self.until.is_none() && (self.failures >= MAX_FAILURES || self.eighths < ALL_EIGHTHS)
    }

    /// Ejects the target; returns the time at which it is readmitted.
    pub fn eject(&mut self, now: Duration) -> Duration {
        let duration = BASE_EJECTION
            .saturating_mul(1 << self.ejections.min(5))
            .min(MAX_EJECTION);
        self.ejections += 1;
        self.failures = 0;
        self.until = Some(now + duration);
        now + duration
    }

    /// Readmits the target and begins its slow start.
    pub const fn readmit(&mut self) {
        self.until = None;
        self.eighths = INITIAL_EIGHTHS;
        self.successes = 0;
    }

    /// Returns whether the target is ejected.
    pub const fn is_ejected(&self) -> bool {
        self.until.is_some()
    }

    /// Returns when the ejection ends; `None` when the target is not ejected.
    pub const fn ejected_until(&self) -> Option<Duration> {
        self.until
    }

    /// Returns how many of `capacity` requests the target may have in flight now; at least one unless it is ejected.
    pub fn allowed(&self, capacity: u32) -> u32 {
        if self.is_ejected() {
            return 0;
        }
        (capacity * self.eighths / ALL_EIGHTHS).max(1).min(capacity)
    }
}
