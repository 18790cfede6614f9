//! Workers of availability zones that an operator evacuates, and workers that are slow after their start.
//!
//! An evacuated worker gets no start, also none that was decided, committed or sent before: a start that was not sent is
//! given up, which is certain, and one that was sent and not acknowledged is not sent again. The latter may still take
//! effect until the lease in its directive ends, so that it stays placed until a report decides about it.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_workload::{directive, worker as announced};

use super::{Dispatch, Output};
use crate::worker::Phase;

/// Maximum number of announced incarnations whose registration is not committed that are remembered as cold.
const MAX_COLD: usize = 4_096;

impl Dispatch {
    /// Marks the workers of the evacuated zones, which get no new tasks, and withholds the starts to them that were not
    /// handed over yet.
    pub(super) fn mark_evacuated(&mut self, state: &cell::State) {
        for record in self.workers.values_mut() {
            record.evacuated = state.is_evacuated(&record.announced.zone);
        }
        self.withhold_starts();
    }

    /// Marks one worker if its zone is evacuated.
    pub(super) fn mark_worker(&mut self, state: &cell::State, worker: cell::WorkerIndex) {
        let Some(record) = self.workers.get_mut(&worker) else {
            return;
        };
        let before = record.evacuated;
        record.evacuated = state.is_evacuated(&record.announced.zone);
        if record.evacuated && !before {
            self.withhold_starts();
        }
    }

    /// Removes the starts to evacuated workers from the outputs.
    fn withhold_starts(&mut self) {
        let mut withheld = Vec::new();
        let workers = &self.workers;
        self.outputs.retain(|output| {
            let Output::Directive {
                worker,
                directive: directive::Directive::Start { task, run, .. },
                ..
            } = output
            else {
                return true;
            };
            let is_evacuated = workers.get(worker).is_some_and(|record| record.evacuated);
            if is_evacuated {
                withheld.push((*worker, *task, *run));
            }
            !is_evacuated
        });
        for (worker, task, run) in withheld {
            self.withhold_start(worker, task, run);
        }
    }

    /// Handles a start that was about to be sent. It has certainly not taken effect if this was its first transmission.
    fn withhold_start(&mut self, worker: cell::WorkerIndex, task: directive::Task, run: directive::Run) {
        let Some(record) = self.workers.get_mut(&worker) else {
            return;
        };
        let name = &record.incarnation.name;
        let maybe_sent = self.unacknowledged.newest(name, task, run).is_some();
        let entry = record.runs.get_mut(&task).filter(|entry| entry.run == run);
        let Some(entry) = entry.filter(|entry| entry.phase == Phase::Sent) else {
            return;
        };
        if maybe_sent {
            entry.phase = Phase::Unacknowledged;
            return;
        }
        self.drop_run(worker, task, run);
        self.propose_never_started(worker, task, run, "evacuated");
    }

    /// Records how long the sender of an announcement is slow after its start.
    pub(super) fn record_cold(&mut self, now: Duration, announcement: &announced::Announcement) {
        self.cold.retain(|_, until| now < *until);
        if !announcement.cold.is_zero() && self.cold.len() < MAX_COLD {
            let until = now.saturating_add(announcement.cold);
            self.cold.insert(announcement.incarnation.clone(), until);
        }
    }

    /// Returns the local time until which a newly registered incarnation is slow after its start.
    pub(super) fn take_cold(&mut self, incarnation: &announced::Incarnation) -> Duration {
        self.cold.remove(incarnation).unwrap_or_default()
    }

    /// Returns the number of workers in a zone, and the number of runs that are placed on them, for logs and operators.
    pub fn zone_load(&self, zone: &str) -> (usize, usize) {
        let workers = self.workers.values();
        let workers = workers.filter(|record| record.announced.zone == zone);
        workers.fold((0, 0), |(workers, runs), record| {
            (workers + 1, runs + record.runs.len())
        })
    }
}
