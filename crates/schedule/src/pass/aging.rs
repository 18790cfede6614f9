//! Keeps large tasks from starving.
//!
//! If small tasks take all capacity as soon as it is freed, a large task never finds room. Therefore, a task that has
//! waited long gets a hold on the worker that is expected to have room for it first. The number of such holds is
//! bounded, and each of them expires.

use std::time::Duration;

use crate::scheduler::Scheduler;
use crate::{lane, table, worker};

/// Waiting time after which a task may get a hold.
const AGING_THRESHOLD: Duration = Duration::from_secs(30);
/// Time by which a hold outlasts the expected end of the runs that it waits for.
const HOLD_MARGIN: Duration = Duration::from_mins(2);
/// At most one worker in this many is held for aged tasks.
const WORKERS_PER_HOLD: usize = 32;
/// Number of holds that one pass creates; each scans all runs, which takes about a millisecond with 2,800 workers.
const HOLDS_PER_PASS: usize = 1;
/// Number of lanes that one pass scans.
const LANES_PER_PASS: usize = 1024;

impl Scheduler {
    /// Holds workers for tasks that have waited long, in scheduling order.
    pub(crate) fn hold_for_aged(&mut self, now: Duration) {
        let limit = self.workers.len().div_ceil(WORKERS_PER_HOLD);
        self.aged
            .retain(|job| self.jobs.get(*job).is_some_and(|job| !job.holds.is_empty()));
        let count = limit.saturating_sub(self.aged.len()).min(HOLDS_PER_PASS);
        for index in self.aged_jobs(now, count) {
            self.hold_for(now, index);
        }
    }

    fn aged_jobs(&self, now: Duration, count: usize) -> Vec<table::Job> {
        // Urgent work makes room by preemption instead.
        let tiers = [lane::Tier::Replacement, lane::Tier::Normal].map(|tier| tier as usize);
        let lanes = tiers.into_iter().flat_map(|tier| {
            let teams = self.team_order[tier].keys();
            teams.flat_map(move |(_, team)| &self.teams[*team].lanes[tier])
        });
        lanes
            .take(LANES_PER_PASS)
            .filter(|entry| !entry.runnable && self.lanes[entry.lane].listed.is_some())
            .filter_map(|entry| self.lanes[entry.lane].jobs.values().next().copied())
            .filter(|index| {
                let job = &self.jobs[*index];
                job.holds.is_empty()
                    && now.saturating_sub(job.submitted) >= AGING_THRESHOLD
                    && job.impossible.is_none()
            })
            .take(count)
            .collect()
    }

    fn hold_for(&mut self, now: Duration, index: table::Job) {
        let kind = self.jobs[index].accelerator;
        let mut candidates = Vec::new();
        for (worker, record) in self.workers.iter() {
            let compatible = kind == 0 || record.capacity.accelerator == kind;
            if compatible && record.usable() && record.hold.is_none() && record.health.max_tasks.is_none() {
                self.future_slots(now, worker, index, &mut candidates);
            }
        }
        let Some(&(ready, worker, _)) = candidates.iter().min() else {
            return;
        };
        let ready = ready.max(Duration::from_nanos(1));
        let hold = worker::Hold {
            job: index,
            slots: 1,
            since: now,
            until: ready + HOLD_MARGIN,
            ready,
        };
        self.hold(worker, hold);
        self.aged.push(index);
        self.holds_ready.push(worker);
    }
}
