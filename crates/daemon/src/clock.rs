//! Clocks of the process.

use std::time::{Duration, Instant};

/// A suspension shorter than this is not reported; the two clocks are not read at the same instant.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Finds suspensions of the VM: `CLOCK_BOOTTIME` counts them, the clock behind `Instant` does not.
#[derive(Debug)]
pub struct Monitor {
    steady: Instant,
    boot: Duration,
    reported: Duration,
}

impl Monitor {
    /// Starts to compare the clocks.
    pub fn start() -> Self {
        Self {
            steady: Instant::now(),
            boot: boot_time(),
            reported: Duration::ZERO,
        }
    }

    /// Returns the length of the suspensions since the last call that returned one.
    pub fn suspension(&mut self) -> Option<Duration> {
        let steady = self.steady.elapsed();
        let total = boot_time().saturating_sub(self.boot).saturating_sub(steady);
        let new = total.saturating_sub(self.reported);
        (new >= MIN_SUSPENSION).then(|| {
            self.reported = total;
            new
        })
    }
}

/// Returns the time since the boot of the VM, including suspensions.
fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}
