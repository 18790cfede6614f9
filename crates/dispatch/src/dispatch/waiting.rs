//! Steps with tasks to place.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_workload::{eligibility, job};

use super::Dispatch;
use crate::estimate;

/// A waiting step.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    /// Wall-clock time from which its objective counts: its submission or due time, in milliseconds since the Unix
    /// epoch.
    pub begun_ms: u64,
    /// Time before which it looks for no further workers.
    pub search_at: Duration,
}

impl Dispatch {
    /// Updates the waiting steps of all jobs.
    pub(super) fn refresh_all(&mut self, state: &cell::State) {
        let keys: Vec<job::Key> = state.active().map(|job| job.key).collect();
        for key in keys {
            self.refresh_job(state, key);
        }
    }

    /// Updates the waiting steps of a job.
    pub(super) fn refresh_job(&mut self, state: &cell::State, key: job::Key) {
        let Some(job) = state.job(key) else { return };
        for (occurrence, progress) in job.occurrences.iter().enumerate() {
            let occurrence = occurrence as u32;
            for (step, entry) in progress.steps.iter().enumerate() {
                let step = step as u16;
                let id = eligibility::Step {
                    job: key,
                    occurrence,
                    step,
                };
                let open = entry.remaining > entry.placed && !job.is_final();
                if open && job.is_ready(occurrence, step) {
                    self.waiting
                        .entry(id)
                        .or_insert_with(|| Waiting::new(job, occurrence));
                    continue;
                }
                let was_waiting = self.waiting.remove(&id).is_some();
                self.reservations.remove(id);
                if entry.remaining == 0 || job.is_final() {
                    self.slowness.remove_step(id);
                }
                if entry.remaining == 0 || (was_waiting && job.is_final()) {
                    self.queries.remove(id);
                }
            }
        }
    }
}

impl Waiting {
    fn new(job: &cell::Job, occurrence: u32) -> Self {
        let begun_ms = job.submission.schedule.map_or(job.submitted_ms, |schedule| {
            (schedule.first + schedule.interval * occurrence).as_millis() as u64
        });
        Self {
            begun_ms,
            search_at: Duration::ZERO,
        }
    }
}

/// Returns the longest chain of expected run times from the start of a step to the end of its job.
pub(super) fn remaining(
    estimates: &estimate::Estimates,
    queue: &str,
    submission: &job::Submission,
    from: u16,
) -> Duration {
    let mut ends: Vec<Option<Duration>> = vec![None; submission.steps.len()];
    for (index, step) in submission.steps.iter().enumerate() {
        let before = step
            .after
            .iter()
            .filter_map(|other| ends[usize::from(*other)])
            .max();
        let expected = estimates.expected(queue, step.run_time);
        ends[index] = match before {
            Some(before) => Some(before + expected),
            None if index == usize::from(from) => Some(expected),
            None => None,
        };
    }
    ends.into_iter().flatten().max().unwrap_or_default()
}
