//! Injection of faults.

use std::time::Duration;

use rand::Rng;

use super::{ELECTION_DELAY, Event, Simulation};

/// Time from the announcement of a departure to the end of the worker.
const DEPARTURE_NOTICE: Duration = Duration::from_secs(2);

impl Simulation {
    pub(super) fn plan_faults(&mut self) {
        let faults = self.plan.faults;
        let rates: [(f64, fn() -> Event); 6] = [
            (faults.crashes, || Event::Crash),
            (faults.partitions, || Event::Disconnect),
            (faults.leader_changes, || Event::LoseLeader),
            (faults.failing, || Event::StartFailing),
            (faults.losses, || Event::Lose),
            (faults.departures, || Event::Depart),
        ];
        for (rate, event) in rates {
            let count = (rate * self.plan.duration.as_secs_f64()).round() as usize;
            for _ in 0..count {
                let at = self.plan.duration.mul_f64(self.rng.random());
                self.schedule(at, event());
            }
        }
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

    pub(super) fn crash(&mut self) {
        let index = self.rng.random_range(0..self.hosts.len());
        if self.hosts[index].worker.is_some() {
            self.stop_worker(index);
            let delay = Duration::from_millis(self.rng.random_range(500..6_000));
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
        self.schedule(ELECTION_DELAY, Event::Elect);
    }
}
