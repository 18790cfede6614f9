//! Shares of the teams in the decisions of a leader.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_workload::eligibility;

use super::{Dispatch, Event, Now, Output, event, fleet, schedule};
use crate::share;

impl Dispatch {
    /// Updates the order of the teams at the beginning of a scheduling pass.
    pub(super) fn update_shares(&mut self, state: &cell::State, now: Now) {
        self.shares.configure(self.limits.as_deref());
        if self.shares.needs_capacity(now.steady) {
            let capacity = self.capacity(now.steady);
            self.shares.set_capacity(now.steady, capacity);
        }
        self.shares.begin();
        for (id, entry) in &self.waiting {
            if entry.begun_ms > now.wall_ms {
                continue;
            }
            if let Some(job) = state.job(id.job) {
                self.shares.add_waiting(job, &needed(job, *id));
            }
        }
        self.shares.settle(&self.usage, now.steady, now.wall_ms);
        if let Some(half_life) = self.config.past_use {
            self.shares.count_past(now.steady, half_life);
        }
        for change in self.shares.take_changes(now.steady) {
            self.outputs
                .push(Output::Event(Event::TeamShare(event::TeamShare {
                    team: change.team,
                    share_micro: micro(change.share),
                    fair_micro: change.fair.map(micro),
                    waiting: change.waiting,
                    excess: change.excess,
                    beyond: change.beyond,
                })));
        }
    }

    /// Returns the resources of the workers that may get work, and those in use on the others.
    fn capacity(&self, now: Duration) -> share::Sum {
        let mut capacity = share::Sum::default();
        for record in self.workers.values() {
            let amount = if schedule::is_usable(record, now) {
                record.announced.room
            } else {
                record.used
            };
            share::add(&mut capacity, &share::times(amount, 1));
        }
        capacity
    }

    /// Returns the number of accounts and waiting steps that the shares took, for tests of its growth.
    pub const fn share_visits(&self) -> u64 {
        self.shares.visits()
    }

    /// Returns the shares of the teams, for operators.
    pub fn team_shares(&self) -> Vec<share::TeamShare> {
        self.shares.all()
    }

    /// Returns the shares of the teams for metrics, at most once in a second.
    pub fn take_share_report(&mut self, now: Duration) -> Option<Vec<share::TeamShare>> {
        self.shares.take_report(now)
    }
}

/// Returns a share in millionths.
pub(super) fn micro(share: f64) -> u64 {
    (share * 1e6).round() as u64
}

/// Returns what the tasks of a waiting step that are not placed need.
fn needed(job: &cell::Job, id: eligibility::Step) -> share::Sum {
    let Some(spec) = job.submission.steps.get(usize::from(id.step)) else {
        return share::Sum::default();
    };
    let progress = job.open.get(&id.occurrence);
    let progress = progress.and_then(|progress| progress.steps.get(usize::from(id.step)));
    let tasks = progress.map_or(spec.tasks, |step| step.remaining.saturating_sub(step.placed));
    share::times(fleet::counted_size(spec), tasks)
}
