//! Counters of the work that scheduling takes, for metrics and for tests of its growth.

/// Work since the start of the term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// Scheduling passes.
    pub passes: u64,
    /// Waiting steps that passes evaluated.
    pub steps: u64,
    /// Workers that passes evaluated for a step.
    pub workers: u64,
}

impl Work {
    /// Returns the work since an earlier count.
    pub const fn since(&self, earlier: &Self) -> Self {
        Self {
            passes: self.passes - earlier.passes,
            steps: self.steps - earlier.steps,
            workers: self.workers - earlier.workers,
        }
    }
}
