//! Steps with tasks to place.

use std::{ops::RangeInclusive, time::Duration};

use bronzespoke_control::cell;
use bronzespoke_workload::{directive, eligibility, job};

use super::Dispatch;
use crate::estimate;

/// Maximum number of occurrences that are added to the waiting steps at once; further ones follow with the next check.
const MAX_OPENED: usize = 256;

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
        let mut keys: Vec<(u64, job::Key)> = state.active().map(|job| (job.submitted_ms, job.key)).collect();
        // A new leader counts the jobs of each team in the order in which they were submitted.
        keys.sort_unstable();
        for (_, key) in keys {
            self.refresh_job(state, key);
        }
    }

    /// Updates the waiting steps of a job.
    pub(super) fn refresh_job(&mut self, state: &cell::State, key: job::Key) {
        let Some(job) = state.job(key) else { return };
        self.shares.configure(self.limits.as_deref());
        self.shares.count_job(job);
        if job.is_final() {
            self.unconfirmed.remove(&key);
        }
        if job.submission.schedule.is_some() {
            self.refresh_schedule(job);
        }
        for (occurrence, progress) in &job.open {
            let occurrence = *occurrence;
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

    /// Updates the position of a job in its schedule.
    fn refresh_schedule(&mut self, job: &cell::Job) {
        let next = self.calendar.next(job.key).max(job.begun);
        if job.is_final() {
            for occurrence in job.begun..next {
                self.forget_occurrence(job, occurrence);
            }
            self.calendar.remove(job.key);
        } else if !self.calendar.is_waiting(job.key) || next > self.calendar.next(job.key) {
            self.set_next(job, next);
        }
    }

    /// Sets the next occurrence of a job, which waits for its due time if it can begin.
    fn set_next(&mut self, job: &cell::Job, next: u32) {
        let due_ms = job.may_begin(next).then(|| due_ms(job, next));
        self.calendar.set(job.key, next, due_ms);
    }

    /// Adds the first steps of the occurrences that have become due to the waiting ones.
    pub(super) fn open_due(&mut self, state: &cell::State, wall_ms: u64) {
        for _ in 0..MAX_OPENED {
            let Some(key) = self.calendar.first_due(wall_ms) else {
                return;
            };
            let Some(job) = state.job(key).filter(|job| !job.is_final()) else {
                self.calendar.remove(key);
                continue;
            };
            let occurrence = self.calendar.next(key);
            self.set_next(job, occurrence.saturating_add(1));
            for step in 0..job.submission.steps.len() as u16 {
                if job.is_ready(occurrence, step) {
                    let id = eligibility::Step {
                        job: key,
                        occurrence,
                        step,
                    };
                    self.waiting.insert(id, Waiting::new(job, occurrence));
                }
            }
            self.dirty = true;
        }
    }

    /// Removes what is known of the steps and tasks of an occurrence.
    pub(super) fn forget_occurrence(&mut self, job: &cell::Job, occurrence: u32) {
        for step in 0..job.submission.steps.len() as u16 {
            let id = eligibility::Step {
                job: job.key,
                occurrence,
                step,
            };
            self.waiting.remove(&id);
            self.reservations.remove(id);
            self.slowness.remove_step(id);
            self.queries.remove(id);
        }
        self.forget_failures(job.key, occurrence..=occurrence);
    }

    /// Removes the workers on which tasks of some occurrences of a job have failed.
    pub(super) fn forget_failures(&mut self, key: job::Key, occurrences: RangeInclusive<u32>) {
        let failed = self.failed_on.range(super::tasks_of(key, occurrences));
        let forgotten: Vec<directive::Task> = failed.map(|(task, _)| *task).collect();
        for task in forgotten {
            self.failed_on.remove(&task);
        }
    }
}

/// Returns the time from which the objective of an occurrence counts, in milliseconds since the Unix epoch.
fn due_ms(job: &cell::Job, occurrence: u32) -> u64 {
    let schedule = job.submission.schedule;
    schedule.map_or(job.submitted_ms, |schedule| schedule.due_ms(occurrence))
}

impl Waiting {
    fn new(job: &cell::Job, occurrence: u32) -> Self {
        Self {
            begun_ms: due_ms(job, occurrence),
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
