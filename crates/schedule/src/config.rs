//! Settings of a scheduler.

use std::time::Duration;

/// Settings of one availability zone's scheduler.
#[derive(Debug, Clone)]
pub struct Config {
    /// Seed of the jitter in retry delays.
    pub seed: u64,
    /// Length of a worker lease.
    pub lease: Duration,
    /// Largest relative difference between two monotonic clocks.
    pub clock_drift: f64,
    /// Most tasks that may be stopped per second to make room for urgent work.
    pub preemptions_per_second: u32,
    /// Starts per second of batch and gang tasks that a lost worker left behind.
    pub recovery_starts_per_second: u32,
    /// Most placements tried from one tick to the next; the rest continues after the next tick.
    pub placements_per_tick: u32,
    /// Starts, stops and ends of tasks from one tick to the next; longer work continues after the next tick.
    pub work_per_tick: u32,
    /// Time constant of the decay of a team's past usage.
    pub usage_decay: Duration,
    /// Runs of one task that may fail before its job fails.
    pub max_attempts: u32,
    /// Longest time that capacity is reserved for one gang.
    pub max_reservation: Duration,
    /// Whether batch tasks are granted what earlier runs used instead of what they declare.
    pub use_estimates: bool,
    /// Rules that tests may switch off.
    #[doc(hidden)]
    pub rules: Rules,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            seed: 1,
            lease: Duration::from_secs(10),
            clock_drift: 0.02,
            preemptions_per_second: 200,
            recovery_starts_per_second: 50,
            placements_per_tick: 256,
            work_per_tick: 512,
            usage_decay: Duration::from_mins(10),
            max_attempts: 4,
            max_reservation: Duration::from_mins(5),
            use_estimates: true,
            rules: Rules::default(),
        }
    }
}

impl Config {
    /// Returns how long after the receipt of a report the worker's tasks may still run.
    pub(crate) fn expiry(&self) -> Duration {
        self.lease.mul_f64(1.0 + self.clock_drift)
    }
}

/// Rules of the scheduler. All hold in production; a test switches one off to show that its checks notice.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "each rule is switched off on its own"
)]
pub struct Rules {
    /// Resources of a task count as used until its stop is confirmed.
    pub count_stopping: bool,
    /// A lost task is placed again only after its lease has run out everywhere.
    pub await_lease_expiry: bool,
    /// A team stays within its part.
    pub team_limit: bool,
    /// Reports of a former incarnation are ignored.
    pub fence_incarnation: bool,
    /// Reports with an old sequence are ignored.
    pub fence_sequence: bool,
    /// A gang starts whole or not at all.
    pub gang_atomic: bool,
    /// A rolling drain stops at most one task of a service at once.
    pub rolling_drain: bool,
    /// Restored workers are confirmed before anything is placed on them.
    pub confirm_restored: bool,
    /// Preemption leaves each team its protected share.
    pub protect_share: bool,
    /// Tasks that have waited long get a hold.
    pub aging: bool,
    /// Preemption stays within its rate.
    pub preemption_rate: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            count_stopping: true,
            await_lease_expiry: true,
            team_limit: true,
            fence_incarnation: true,
            fence_sequence: true,
            gang_atomic: true,
            rolling_drain: true,
            confirm_restored: true,
            protect_share: true,
            aging: true,
            preemption_rate: true,
        }
    }
}
