//! Number of jobs per second that a team is owed.
//!
//! A team's jobs up to its weight per second are owed, and each further one is in excess. The allowance accumulates
//! while a team sends fewer jobs, since jobs arrive at random.

/// Time for which an unused allowance accumulates, in seconds.
const BURST_S: f64 = 2.0;
/// Minimum allowance that accumulates, in jobs: a team that sends at random at 0.8 of its weight exceeds it with fewer
/// than 1% of its jobs, however small its weight.
const MIN_BURST: f64 = 10.0;

/// Allowance of a team, in jobs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    jobs: f64,
    at_ms: u64,
}

impl Allowance {
    /// Returns the full allowance of a team that is owed `rate` jobs per second.
    pub fn new(rate: f64, at_ms: u64) -> Self {
        Self {
            jobs: limit(rate),
            at_ms,
        }
    }

    /// Counts a job and returns whether it is in excess. A clock that jumps changes the allowance by at most its
    /// maximum.
    pub fn count(&mut self, rate: f64, at_ms: u64) -> bool {
        self.refill(rate, at_ms);
        if self.jobs < 1.0 {
            return true;
        }
        self.jobs -= 1.0;
        false
    }

    /// Returns whether a job now would be owed.
    pub fn has_room(&self, rate: f64, at_ms: u64) -> bool {
        let mut later = *self;
        later.refill(rate, at_ms);
        later.jobs >= 1.0
    }

    fn refill(&mut self, rate: f64, at_ms: u64) {
        let elapsed_s = at_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.jobs = (self.jobs + elapsed_s * rate).min(limit(rate));
        // After a jump backwards, the allowance grows from the new time on.
        self.at_ms = at_ms;
    }
}

fn limit(rate: f64) -> f64 {
    (rate * BURST_S).max(MIN_BURST)
}
