//! Targets, places and link delays of the simulation.

use std::{collections::VecDeque, time::Duration};

use bronzespoke_model::{target, vm};
use rand::{Rng, rngs::SmallRng};

/// Targets in all zones together.
pub(super) const TARGETS: usize = 50;
/// Slots of each target.
pub(super) const SLOTS: u32 = 8;
/// Requests that queue at a target before it refuses further ones: its 64 connections less those that occupy a slot.
pub(super) const BACKLOG: usize = 64 - SLOTS as usize;
/// Entry VMs, two in each zone.
pub(super) const VMS: usize = 6;
/// Zones; the first two are in one region.
pub(super) const ZONES: usize = 3;
/// Zone that the network cut separates from the others.
pub(super) const CUT_ZONE: u16 = 1;
/// Mean run time of a request at a target of normal speed.
pub(super) const RUN_TIME: Duration = Duration::from_millis(100);
/// Factor by which a slow target takes longer.
pub(super) const SLOW_FACTOR: f64 = 5.0;
/// Probability that the connection of an attempt is reset after the run.
pub(super) const RESET_PROBABILITY: f64 = 0.002;

/// Simulated target.
pub(super) struct Target {
    pub status: target::Status,
    pub slow: bool,
    pub busy: u32,
    /// Attempts that are queued for a slot.
    pub waiting: VecDeque<usize>,
    /// Time of the departure and of the last attempt received after it.
    pub departed: Option<(Duration, Duration)>,
}

impl Target {
    pub(super) fn mean_run_time(&self) -> f64 {
        RUN_TIME.as_secs_f64() * if self.slow { SLOW_FACTOR } else { 1.0 }
    }

    /// Returns a run time that is uniformly distributed between 0.5 and 1.5 times the target's average.
    pub(super) fn run_time(&self, random: &mut SmallRng) -> Duration {
        Duration::from_secs_f64(self.mean_run_time() * random.random_range(0.5..1.5))
    }

    pub(super) fn load(&self) -> u32 {
        self.busy + self.waiting.len() as u32
    }
}

/// Returns the place of a VM or target in a zone.
pub(super) const fn place(zone: u16) -> vm::Place {
    vm::Place {
        region: if zone < 2 { 0 } else { 1 },
        zone,
    }
}

/// Creates the targets; `slow` is the fraction of slow ones, which are spread over the zones.
pub(super) fn targets(slow: f64) -> Vec<Target> {
    let slow_count = (TARGETS as f64 * slow).round() as usize;
    (0..TARGETS)
        .map(|index| {
            let announcement = target::Announcement {
                target: index as u64 + 1,
                incarnation: 1,
                service: String::new(),
                address: ([127, 0, 0, 1], 1).into(),
                slots: SLOTS,
                connections: 64,
            };
            Target {
                status: target::Status {
                    announcement,
                    place: place((index % ZONES) as u16),
                    departing: false,
                    in_flight: 0,
                },
                slow: index < slow_count,
                busy: 0,
                waiting: VecDeque::new(),
                departed: None,
            }
        })
        .collect()
}

/// Returns the one-way delay between two places (design 1.6).
pub(super) const fn delay(from: vm::Place, to: vm::Place) -> Duration {
    match from.distance(&to) {
        vm::Distance::Zone => Duration::from_micros(250),
        vm::Distance::Region => Duration::from_millis(1),
        vm::Distance::Remote => Duration::from_millis(12),
    }
}
