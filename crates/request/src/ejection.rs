//! Outlier ejection of one target, from the outcomes of attempts.
//!
//! Only failures eject. A slow target that answers in time still adds capacity, and routing already gives it less.

use std::time::Duration;

/// Failures in a row that eject a target.
const FAILURES: u32 = 5;
/// Length of the first ejection; each further one in a row doubles it.
const BASE: Duration = Duration::from_secs(2);
/// Longest ejection.
const LONGEST: Duration = Duration::from_mins(1);
/// Answers in a row that double a readmitted target's part.
const STEP: u32 = 4;
/// Parts of a whole that a target may use when it is readmitted.
const FIRST_EIGHTHS: u32 = 1;
/// All parts.
const ALL_EIGHTHS: u32 = 8;

/// Health of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    answers: u32,
    ejections: u32,
    eighths: u32,
    until: Option<Duration>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failures: 0,
            answers: 0,
            ejections: 0,
            eighths: ALL_EIGHTHS,
            until: None,
        }
    }
}

impl Health {
    /// Records an answer.
    pub const fn record_success(&mut self) {
        self.failures = 0;
        self.answers += 1;
        if self.answers >= STEP {
            self.answers = 0;
            if self.eighths < ALL_EIGHTHS {
                self.eighths *= 2;
            } else {
                self.ejections = 0;
            }
        }
    }

    /// Records a failure; true when the target should be ejected.
    pub const fn record_failure(&mut self) -> bool {
        self.answers = 0;
        self.failures += 1;
        // A target on readmission has to show that it works, so its first failure sends it back.
        self.until.is_none() && (self.failures >= FAILURES || self.eighths < ALL_EIGHTHS)
    }

    /// Ejects the target; returns when it may be tried again.
    pub fn eject(&mut self, now: Duration) -> Duration {
        let length = BASE.saturating_mul(1 << self.ejections.min(5)).min(LONGEST);
        self.ejections += 1;
        self.failures = 0;
        self.until = Some(now + length);
        now + length
    }

    /// Readmits the target with its first part.
    pub const fn readmit(&mut self) {
        self.until = None;
        self.eighths = FIRST_EIGHTHS;
        self.answers = 0;
    }

    /// Tells whether the target is ejected.
    pub const fn is_ejected(&self) -> bool {
        self.until.is_some()
    }

    /// Returns when the ejection ends; `None` when the target is not ejected.
    pub const fn ejected_until(&self) -> Option<Duration> {
        self.until
    }

    /// Returns how many of `whole` requests the target may have now; at least one unless it is ejected.
    pub fn allowed(&self, whole: u32) -> u32 {
        if self.is_ejected() {
            return 0;
        }
        (whole * self.eighths / ALL_EIGHTHS).max(1).min(whole)
    }
}
