//! Configuration of a scheduler.

use std::time::Duration;

/// Configuration of the scheduler of one availability zone.
#[derive(Debug, Clone)]
pub struct Config {
    /// Seed of the random number generator, which jitters retry delays and varies the search order of preemption.
    pub seed: u64,
    /// Duration of a worker lease; every report renews it.
    pub lease: Duration,
    /// Largest relative rate difference between the monotonic clocks of two VMs.
    pub clock_drift: f64,
    /// Maximum number of tasks stopped per second to make room for urgent work.
    pub preemptions_per_second: u32,
    /// Rate at which batch and gang tasks of lost workers are started again, in tasks per second.
    pub recovery_starts_per_second: u32,
    /// Maximum number of placements attempted between two ticks; the rest continues after the next tick.
    pub placements_per_tick: u32,
    /// Maximum number of starts, stops and ends of tasks between two ticks; the rest continues after the next
    /// tick.
    pub work_per_tick: u32,
    /// Time constant of the exponential decay of a team's past usage.
    pub usage_decay: Duration,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Time after which the reservation of a gang expires, counted from when the capacity is expected to be free.
    /// Capacity that is expected to be free later than twice this time is not reserved. Also the cooldown after an
    /// expired reservation.
    pub reservation_timeout: Duration,
    /// Whether batch tasks are granted an estimate from the usage of earlier runs instead of the declared size.
    pub use_estimates: bool,
    /// Rules that tests can disable.
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
            reservation_timeout: Duration::from_mins(5),
            use_estimates: true,
            rules: Rules::default(),
        }
    }
}

impl Config {
    /// Returns how long after the receipt of a report the worker's tasks may still run: the lease, extended by the
    /// clock drift.
    pub(crate) fn lease_expiry(&self) -> Duration {
        self.lease.mul_f64(1.0 + self.clock_drift)
    }
}

/// Rules of the scheduler. All are enabled in production; a test disables one to show that its checks detect the
/// violation.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "each rule is disabled independently"
)]
pub struct Rules {
    /// The resources of a task count as used until its stop is confirmed.
    pub count_stopping: bool,
    /// A lost task is placed again only after its lease has expired on every clock.
    pub await_lease_expiry: bool,
    /// A team stays within its allotment.
    pub team_limit: bool,
    /// Reports from an earlier incarnation of a worker are ignored.
    pub fence_incarnation: bool,
    /// Reports that are not newer than the last one, by sequence number, are ignored.
    pub fence_sequence: bool,
    /// All tasks of a gang start together or none does.
    pub gang_atomic: bool,
    /// A drain stops at most one task of a service at a time.
    pub rolling_drain: bool,
    /// A restored worker receives tasks only after it has reported.
    pub confirm_restored: bool,
    /// Preemption leaves each team its protected share.
    pub protect_share: bool,
    /// A task that has waited long gets a hold on a worker.
    pub aging: bool,
    /// Preemption stays within its configured rate.
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
