//! Spreads long work over several steps, so that no step blocks the control thread.
//!
//! Starts, stops and ends of runs are charged to a budget that each tick renews. Work beyond the budget waits in a
//! backlog, and the scheduler requests the next tick immediately. Placement has a separate budget, so that urgent work
//! and other teams make progress meanwhile.
//!
//! Invariants: a job that is ending has runs without a stop only while it is in the backlog; the resources of a gang
//! are debited for all of its tasks before the first one starts, and those of all tasks that have not started are
//! credited when the launch is cancelled.

use std::time::Duration;

use bronzespoke_model::resource;

use crate::amount::multiply;
use crate::job::Stop;
use crate::message::{Output, Reason};
use crate::pass::gang;
use crate::scheduler::Scheduler;
use crate::table;

/// Workers with the number of tasks that each receives, together enough for a gang.
pub(crate) type Assignment = Vec<(table::Worker, u32)>;

impl Scheduler {
    /// Resets the budgets that apply until the next tick.
    pub(crate) fn reset_budgets(&mut self) {
        self.work_budget = self.config.work_per_tick;
        self.placement_budget = self.config.placements_per_tick;
        self.gang_attempts = gang::GANGS_PER_PASS;
    }

    /// Charges a start, stop or end to the budget.
    pub(crate) fn charge_work(&mut self) {
        self.work_budget = self.work_budget.saturating_sub(1);
    }

    /// Continues the work that earlier steps left in the backlog.
    pub(crate) fn continue_backlog(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.restored.is_some() {
            self.continue_stops(now, out);
            self.continue_shrinking(now, out);
            self.continue_launches(now, out);
        }
    }

    /// Queues stops of all runs of a job; they may take several steps. Repeated calls with the same reason do nothing.
    pub(crate) fn stop_runs(&mut self, index: table::Job, reason: Reason) {
        let job = &mut self.jobs[index];
        if job.stop.is_some_and(|stop| stop.reason == reason) {
            return;
        }
        let queued = job.stop.is_some_and(|stop| stop.queued);
        job.stop = Some(Stop {
            reason,
            remaining: job.runs.len(),
            queued: true,
        });
        if !queued {
            let entry = (index, job.id);
            self.backlog.stopping.push_back(entry);
        }
    }

    fn continue_stops(&mut self, now: Duration, out: &mut Vec<Output>) {
        while self.work_budget > 0
            && let Some(&(index, id)) = self.backlog.stopping.front()
        {
            let same_job = self.jobs.get(index).is_some_and(|job| job.id == id);
            if !same_job || !self.stop_next(now, index, out) {
                self.backlog.stopping.pop_front();
            }
        }
    }

    /// Stops the last of a job's remaining runs and returns whether there was one. An ended run is replaced in the list
    /// by the last run, so the remaining runs always come first in the list.
    fn stop_next(&mut self, now: Duration, index: table::Job, out: &mut Vec<Output>) -> bool {
        let job = &mut self.jobs[index];
        let Some(stop) = &mut job.stop else {
            return false;
        };
        stop.remaining = stop.remaining.min(job.runs.len());
        let Some(remaining) = stop.remaining.checked_sub(1) else {
            stop.queued = false;
            self.charge_work();
            self.finish_if_idle(index, out);
            return false;
        };
        stop.remaining = remaining;
        let reason = stop.reason;
        let run = job.runs[remaining];
        self.stop(now, run, reason, None, out);
        true
    }

    fn continue_shrinking(&mut self, now: Duration, out: &mut Vec<Output>) {
        while self.work_budget > 0
            && let Some(&team) = self.backlog.shrinking.front()
        {
            if self.shrink_step(now, team, out) {
                self.backlog.shrinking.pop_front();
            }
        }
    }

    /// Debits the resources of all tasks of a gang; the tasks start in this step and the next ones.
    pub(crate) fn launch(
        &mut self,
        now: Duration,
        index: table::Job,
        assignment: Assignment,
        out: &mut Vec<Output>,
    ) {
        for &(worker, count) in &assignment {
            self.account_launch(index, worker, count, true);
            self.reindex(worker);
        }
        let team = self.jobs[index].team;
        self.refresh_team(now, team);
        self.dequeue(index);
        let job = &mut self.jobs[index];
        job.stop = None;
        job.launch = assignment;
        self.release_holds(index);
        self.backlog.launching.push_back(index);
        self.continue_launches(now, out);
    }

    fn continue_launches(&mut self, now: Duration, out: &mut Vec<Output>) {
        while self.work_budget > 0
            && let Some(&index) = self.backlog.launching.front()
        {
            let Some(entry) = self.jobs[index].launch.last_mut() else {
                self.backlog.launching.pop_front();
                continue;
            };
            entry.1 -= 1;
            let (worker, remaining) = *entry;
            if remaining == 0 {
                self.jobs[index].launch.pop();
            }
            self.account_launch(index, worker, 1, false);
            let task = self.take_waiting(index);
            self.start(now, index, task, worker, out);
        }
    }

    /// Credits the resources of the tasks of a gang that have not started.
    pub(crate) fn cancel_launch(&mut self, index: table::Job) {
        let assignment = std::mem::take(&mut self.jobs[index].launch);
        if assignment.is_empty() {
            return;
        }
        self.backlog.launching.retain(|job| *job != index);
        for (worker, count) in assignment {
            self.account_launch(index, worker, count, false);
            self.capacity_freed(worker);
        }
        let team = self.jobs[index].team;
        if self.teams[team].limited {
            self.unblock_lanes(team);
        }
    }

    /// Cancels the launches of gangs that include a worker, which is about to become unusable.
    pub(crate) fn cancel_launches_on(&mut self, worker: table::Worker) {
        if self.workers[worker].launching_amount.is_zero() {
            return;
        }
        let on_worker = |index: &table::Job| {
            let assignment = &self.jobs[*index].launch;
            assignment.iter().any(|(other, _)| *other == worker)
        };
        let cancelled: Vec<_> = self.backlog.launching.iter().copied().filter(on_worker).collect();
        for index in cancelled {
            self.stop_gang(index);
        }
    }

    /// Cancels the launches of a team's gangs.
    pub(crate) fn cancel_launches_of(&mut self, team: table::Team) {
        let of_team = |index: &table::Job| self.jobs[*index].team == team;
        let cancelled: Vec<_> = self.backlog.launching.iter().copied().filter(of_team).collect();
        for index in cancelled {
            self.stop_gang(index);
        }
    }

    /// Debits or credits the resources of tasks of a gang that have not started.
    fn account_launch(&mut self, index: table::Job, worker: table::Worker, count: u32, debit: bool) {
        let job = &self.jobs[index];
        let sum = multiply(&job.size, count).expect("the tasks of a gang fit on their worker");
        let change = |account: &mut resource::Amount| {
            *account = if debit {
                account.saturating_add(&sum)
            } else {
                account.saturating_sub(&sum)
            };
        };
        let team = &mut self.teams[job.team];
        let worker = &mut self.workers[worker];
        change(&mut worker.used);
        change(&mut worker.launching_amount);
        change(&mut team.used);
        change(&mut team.launching_amount);
        change(&mut self.used);
    }
}
