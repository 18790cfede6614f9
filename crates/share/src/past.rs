//! Decayed average of a team's past dominant share.

use std::time::Duration;

/// Exponentially decayed average of a share that changes in steps.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Average {
    /// Average at `at`.
    value: f64,
    at: Duration,
    /// Share since `at`.
    share: f64,
}

impl Average {
    /// Returns an average that begins with a value.
    pub const fn new(value: f64, at: Duration) -> Self {
        Self {
            value,
            at,
            share: 0.0,
        }
    }

    /// Advances the average to `now`, from which on the share is `share`. The weight of the past falls to 1/e in
    /// `decay`.
    pub fn update(&mut self, now: Duration, decay: Duration, share: f64) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-elapsed / decay.as_secs_f64().max(1.0)).exp();
        self.value = self.value * kept + self.share * (1.0 - kept);
        self.at = now;
        self.share = share;
    }

    /// Returns the average at the last update.
    pub const fn value(&self) -> f64 {
        self.value
    }

    /// Returns the share since the last update.
    pub const fn share(&self) -> f64 {
        self.share
    }
}

/// Returns the past use beyond what a team is entitled to over time, from 0 for the entitlement or less to 1 for twice the
/// entitlement or more.
pub fn excess(past: f64, entitled: f64) -> f64 {
    if entitled > 0.0 {
        (past / entitled - 1.0).clamp(0.0, 1.0)
    } else {
        0.0
    }
}
