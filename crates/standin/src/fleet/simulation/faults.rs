//! Faults of a run.

use std::time::Duration;

use rand::Rng;

use super::{ELECTION, Event, Simulation};

/// Time between the notice of a worker that leaves and its end.
const NOTICE: Duration = Duration::from_secs(2);

impl Simulation {
    pub(super) fn plan_faults(&mut self) {
        let faults = self.plan.faults;
        let rates: [(f64, fn() -> Event); 6] = [
            (faults.crashes, || Event::Crash),
            (faults.partitions, || Event::Cut),
            (faults.leader_changes, || Event::Depose),
            (faults.failing, || Event::Fail),
            (faults.losses, || Event::Lose),
            (faults.departures, || Event::Leave),
        ];
        for (rate, event) in rates {
            let count = (rate * self.plan.duration.as_secs_f64()).round() as usize;
            for _ in 0..count {
                let at = self.plan.duration.mul_f64(self.rng.random());
                self.at(at, event());
            }
        }
    }

    /// Ends the life of a worker.
    pub(super) fn lose(&mut self, index: usize) {
        let Some(worker) = self.places[index].worker.take() else {
            return;
        };
        for (task, active) in worker.runs {
            self.waste(&active);
            if self.is_gang(task) {
                self.break_gang(task, active.run);
            }
        }
        self.places[index].waiting.clear();
    }

    pub(super) fn leave(&mut self) {
        let index = self.rng.random_range(0..self.places.len());
        if self.places[index].gone_at.is_none() {
            self.places[index].gone_at = Some(self.now + NOTICE);
            self.announce(index);
            self.at(NOTICE, Event::Gone(index));
        }
    }

    pub(super) fn crash(&mut self) {
        let index = self.rng.random_range(0..self.places.len());
        if self.places[index].worker.is_some() {
            self.lose(index);
            let delay = Duration::from_millis(self.rng.random_range(500..6_000));
            self.at(delay, Event::Return(index));
        }
    }

    pub(super) fn cut(&mut self) {
        let index = self.rng.random_range(0..self.places.len());
        self.places[index].cut = true;
        let delay = Duration::from_millis(self.rng.random_range(1_000..14_000));
        self.at(delay, Event::Heal(index));
    }

    pub(super) fn fail(&mut self) {
        let index = self.rng.random_range(0..self.places.len());
        if let Some(worker) = &mut self.places[index].worker {
            worker.failing = true;
        }
        let delay = Duration::from_millis(self.rng.random_range(2_000..7_000));
        self.at(delay, Event::Recover(index));
    }

    pub(super) fn depose(&mut self) {
        if self.dispatch.take().is_none() {
            return;
        }
        self.term += 1;
        // What was proposed may or may not be committed, in order.
        let keep = self.rng.random_range(0..=self.proposals.len());
        let proposals = std::mem::take(&mut self.proposals);
        for (_, (_, command)) in proposals.into_iter().take(keep) {
            self.apply(command);
        }
        self.at(ELECTION, Event::Elect);
    }
}
