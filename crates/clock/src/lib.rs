//! The clock that leases and timeouts are measured on.
//!
//! A VM may be suspended for seconds. On Linux `std::time::Instant` does not count that time, so that a lease measured
//! with it outlives the suspension while other members have long elected a successor. [`Origin`] counts it.

use std::time::{Duration, Instant};

/// A suspension shorter than this is not reported; the two clocks are not read at the same instant.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Start of a process, from which its times are counted.
#[derive(Debug, Clone, Copy)]
pub struct Origin {
    boot_time: Duration,
}

impl Origin {
    /// Returns the current time as an origin.
    pub fn now() -> Self {
        Self {
            boot_time: boot_time(),
        }
    }

    /// Returns the origin that lies `time` earlier; `None` if the VM had not booted then.
    pub fn checked_sub(self, time: Duration) -> Option<Self> {
        let boot_time = self.boot_time.checked_sub(time)?;
        Some(Self { boot_time })
    }

    /// Returns the time since the origin; it never decreases and includes suspensions of the VM.
    pub fn elapsed(&self) -> Duration {
        boot_time().saturating_sub(self.boot_time)
    }

    /// Returns the instant at which `time` after the origin is reached if the VM is not suspended before; the current
    /// instant if it has passed.
    pub fn instant(&self, time: Duration) -> Instant {
        Instant::now() + time.saturating_sub(self.elapsed())
    }
}

/// Finds suspensions of the VM by the difference between its clocks.
#[derive(Debug)]
pub struct Monitor {
    origin: Origin,
    steady: Instant,
    reported: Duration,
}

impl Monitor {
    /// Starts to compare the clocks.
    pub fn start() -> Self {
        Self {
            origin: Origin::now(),
            steady: Instant::now(),
            reported: Duration::ZERO,
        }
    }

    /// Returns the length of the suspensions since the last call that returned one.
    pub fn suspension(&mut self) -> Option<Duration> {
        let steady = self.steady.elapsed();
        let total = self.origin.elapsed().saturating_sub(steady);
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
