//! Keeps large tasks from starving.
//!
//! Where small tasks take every room that is freed, a large task would never find one. A task that has waited long gets
//! a hold on the worker that is expected to have room for it first. The number of such holds is bounded, and each runs
//! out.

use std::time::Duration;

use crate::scheduler::Scheduler;
use crate::{lane, table, worker};

/// Time after which a waiting task may get a hold.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time that a hold outlasts the expected end of the runs before it.
const MARGIN: Duration = Duration::from_mins(2);
/// One worker in this many may be held for aged tasks.
const WORKERS_PER_HOLD: usize = 32;
/// Holds that one pass makes; each looks at all runs, which takes about a millisecond at 2,800 workers.
const HOLDS_PER_PASS: usize = 1;
/// Lanes that one pass looks at.
const LANES_LOOKED_AT: usize = 1024;

impl Scheduler {
    /// Holds workers for tasks that have waited long, in the order of turns.
    pub(crate) fn hold_for_aged(&mut self, now: Duration) {
        let most = self.workers.len().div_ceil(WORKERS_PER_HOLD);
        self.aged
            .retain(|job| self.jobs.get(*job).is_some_and(|job| !job.holds.is_empty()));
        let room = most.saturating_sub(self.aged.len()).min(HOLDS_PER_PASS);
        for index in self.aged_jobs(now, room) {
            self.hold_for(now, index);
        }
    }

    fn aged_jobs(&self, now: Duration, count: usize) -> Vec<table::Job> {
        // Urgent work makes room for itself.
        let tiers = [lane::Tier::Replacement, lane::Tier::Normal].map(|tier| tier as usize);
        let lanes = tiers.into_iter().flat_map(|tier| {
            let teams = self.order[tier].keys();
            teams.flat_map(move |(_, team)| &self.teams[*team].lanes[tier])
        });
        lanes
            .take(LANES_LOOKED_AT)
            .filter(|entry| !entry.fresh && self.lanes[entry.lane].listed.is_some())
            .filter_map(|entry| self.lanes[entry.lane].jobs.values().next().copied())
            .filter(|index| {
                let job = &self.jobs[*index];
                job.holds.is_empty()
                    && now.saturating_sub(job.submitted) >= PATIENCE
                    && job.impossible.is_none()
            })
            .take(count)
            .collect()
    }

    fn hold_for(&mut self, now: Duration, index: table::Job) {
        let kind = self.jobs[index].accelerator;
        let mut rooms = Vec::new();
        for (worker, record) in self.workers.iter() {
            let suits = kind == 0 || record.capacity.accelerator == kind;
            if suits && record.usable() && record.hold.is_none() && record.health.max_tasks.is_none() {
                self.rooms_later(now, worker, index, &mut rooms);
            }
        }
        let Some(&(ready, worker, _)) = rooms.iter().min() else {
            return;
        };
        let ready = ready.max(Duration::from_nanos(1));
        let hold = worker::Hold {
            job: index,
            slots: 1,
            since: now,
            until: ready + MARGIN,
            ready,
        };
        self.hold(worker, hold);
        self.aged.push(index);
        self.hold_ready.push(worker);
    }
}
