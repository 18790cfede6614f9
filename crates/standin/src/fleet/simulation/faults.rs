//! Injection of faults.

use std::{ops::Range, time::Duration};

use bronzespoke_control::cell;
use rand::Rng;

use super::{ELECTION_DELAY, Event, Simulation, ZONES, zone_of};

/// Time from the announcement of a departure to the end of the worker.
const DEPARTURE_NOTICE: Duration = Duration::from_secs(2);

/// Maximum time for which a crashed worker is absent, in milliseconds.
const MAX_ABSENCE_MS: u64 = 6_000;
/// Maximum time for which a crashed worker is absent with `Faults::long_absences`, in milliseconds.
const MAX_LONG_ABSENCE_MS: u64 = 12_000;
/// Time without a leader in a planned change, in milliseconds.
const PLANNED_ELECTION_MS: Range<u64> = 5..60;
/// Maximum time for which a notice of departure is held up, in milliseconds.
const MAX_NOTICE_DELAY_MS: u64 = 14_000;
/// Pause before the withdrawal of an evacuation is repeated.
const READMIT_RETRY: Duration = Duration::from_millis(500);
/// Pause of a notice of departure while there is no leader.
const NOTICE_RETRY: Duration = Duration::from_millis(100);

impl Simulation {
    pub(super) fn plan_faults(&mut self) {
        let faults = self.plan.faults;
        let rates: [(f64, fn() -> Event); 8] = [
            (faults.crashes, || Event::Crash),
            (faults.partitions, || Event::Disconnect),
            (faults.leader_changes, || Event::LoseLeader),
            (faults.failing, || Event::StartFailing),
            (faults.losses, || Event::Lose),
            (faults.departures, || Event::Depart),
            (faults.restarts, || Event::Drain),
            (faults.evacuations, || Event::Evacuate),
        ];
        for (rate, event) in rates {
            let count = (rate * self.plan.duration.as_secs_f64()).round() as usize;
            for _ in 0..count {
                let at = self.plan.duration.mul_f64(self.rng.random());
                self.schedule(at, event());
            }
        }
    }

    /// Orders the evacuation of a zone, unless there is no leader.
    pub(super) fn evacuate(&mut self) {
        let zone = zone_of(self.rng.random_range(0..ZONES));
        if self.dispatch.is_none() {
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(6_000..14_000));
        self.propose(cell::Command::Evacuate {
            zone: zone.clone(),
            active: true,
            seen: None,
        });
        self.schedule(delay, Event::Readmit(zone));
    }

    /// Withdraws the evacuation of a zone, and repeats this until it is withdrawn.
    pub(super) fn readmit(&mut self, zone: String) {
        if !self.state.is_evacuated(&zone) {
            return;
        }
        if self.dispatch.is_some() {
            self.propose(cell::Command::Evacuate {
                zone: zone.clone(),
                active: false,
                seen: None,
            });
        }
        self.schedule(READMIT_RETRY, Event::Readmit(zone));
    }

    /// Ends the current incarnation of a worker, with all of its runs.
    pub(super) fn stop_worker(&mut self, index: usize) {
        let Some(worker) = self.hosts[index].worker.take() else {
            return;
        };
        for (task, active) in worker.runs {
            self.count_wasted_work(&active);
            if self.is_gang(task) {
                self.break_gang(task, active.run);
            }
        }
        self.hosts[index].waiting_reports.clear();
    }

    pub(super) fn announce_departure(&mut self) {
        let index = self.rng.random_range(0..self.hosts.len());
        if self.hosts[index].departs_at.is_none() {
            self.hosts[index].departs_at = Some(self.now + DEPARTURE_NOTICE);
            self.announce(index);
            self.schedule(DEPARTURE_NOTICE, Event::Departed(index));
        }
    }

    /// Begins the planned restart of a worker.
    pub(super) fn drain(&mut self) {
        let index = self.rng.random_range(0..self.hosts.len());
        let host = &mut self.hosts[index];
        if host.worker.is_none() || host.draining {
            return;
        }
        host.draining = true;
        let incarnation = host.incarnations;
        self.announce(index);
        let delay = Duration::from_millis(self.rng.random_range(2_500..8_000));
        self.schedule(delay, Event::Notify(index, incarnation));
    }

    /// Sends the notice of departure of an incarnation, unless it has ended meanwhile.
    pub(super) fn notify(&mut self, index: usize, incarnation: u64) {
        let Some(worker) = self.named_incarnation(index, incarnation) else {
            return;
        };
        let is_held_up = self.rng.random_bool(0.5);
        let copies = if self.rng.random_bool(0.3) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = if is_held_up {
                Duration::from_millis(self.rng.random_range(500..MAX_NOTICE_DELAY_MS))
            } else {
                self.latency()
            };
            self.schedule(delay, Event::Notice(worker.clone()));
        }
        // Without an acknowledgement, it ends some seconds later.
        let works_on = if is_held_up {
            Duration::from_millis(self.rng.random_range(500..4_000))
        } else {
            self.latency() * 2
        };
        self.schedule(works_on, Event::Leave(index, incarnation));
    }

    /// Delivers a notice of departure. A daemon that knows no leader keeps it for the next one.
    pub(super) fn notice(&mut self, name: String) {
        match &mut self.dispatch {
            Some(dispatch) => dispatch.leave(self.now, &name),
            None => self.schedule(NOTICE_RETRY, Event::Notice(name)),
        }
    }

    /// Ends an incarnation that has sent its notice, and starts the next one.
    pub(super) fn leave(&mut self, index: usize, incarnation: u64) {
        if self.named_incarnation(index, incarnation).is_some() {
            self.stop_worker(index);
            let delay = Duration::from_millis(self.rng.random_range(100..3_000));
            self.schedule(delay, Event::Restart(index));
        }
    }

    /// Returns the name of a host's worker if it is still this incarnation.
    fn named_incarnation(&self, index: usize, incarnation: u64) -> Option<String> {
        let host = &self.hosts[index];
        let worker = host
            .worker
            .as_ref()
            .filter(|_| host.incarnations == incarnation)?;
        Some(worker.name.clone())
    }

    pub(super) fn crash(&mut self) {
        let index = self.rng.random_range(0..self.hosts.len());
        if self.hosts[index].worker.is_some() {
            self.stop_worker(index);
            let max_absence_ms = if self.plan.faults.long_absences {
                MAX_LONG_ABSENCE_MS
            } else {
                MAX_ABSENCE_MS
            };
            let delay = Duration::from_millis(self.rng.random_range(500..max_absence_ms));
            self.schedule(delay, Event::Restart(index));
        }
    }

    pub(super) fn disconnect(&mut self) {
        let index = self.rng.random_range(0..self.hosts.len());
        self.hosts[index].disconnected = true;
        let delay = Duration::from_millis(self.rng.random_range(1_000..14_000));
        self.schedule(delay, Event::Reconnect(index));
    }

    pub(super) fn start_failing(&mut self) {
        let index = self.rng.random_range(0..self.hosts.len());
        if let Some(worker) = &mut self.hosts[index].worker {
            worker.failing = true;
        }
        let delay = Duration::from_millis(self.rng.random_range(2_000..7_000));
        self.schedule(delay, Event::StopFailing(index));
    }

    pub(super) fn lose_leader(&mut self) {
        if self.dispatch.take().is_none() {
            return;
        }
        self.term += 1;
        // A random prefix of the open proposals is committed.
        let keep = self.rng.random_range(0..=self.proposals.len());
        let proposals = std::mem::take(&mut self.proposals);
        for (_, (_, command)) in proposals.into_iter().take(keep) {
            self.apply(command);
        }
        let planned = self.plan.faults.planned_changes;
        let delay = if planned > 0.0 && self.rng.random_bool(planned) {
            Duration::from_millis(self.rng.random_range(PLANNED_ELECTION_MS))
        } else {
            ELECTION_DELAY
        };
        self.schedule(delay, Event::Elect);
    }
}
