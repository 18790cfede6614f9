//! Independent record of what the stand-in workers run.
//!
//! Every stand-in worker writes its starts and ends here. The ledger finds tasks that ran in two places at once
//! and workers that held more than they have, without asking the system under test.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use bronzespoke_model::{id, resource, task};

/// What the ledger has counted.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Totals {
    /// Runs that started.
    pub starts: u64,
    /// Runs that ended.
    pub ends: u64,
    /// Starts of a task while another run of it was still going.
    pub overlapping: u64,
    /// Starts that took a worker over its capacity.
    pub over_capacity: u64,
    /// Starts of a task that had succeeded before.
    pub reruns: u64,
    /// Most tasks running at the same time.
    pub peak_running: usize,
}

#[derive(Debug, Default)]
struct Inner {
    running: HashMap<task::Ref, (id::WorkerId, id::Token, resource::Amount)>,
    held: HashMap<id::WorkerId, resource::Amount>,
    succeeded: HashMap<task::Ref, u32>,
    started: HashMap<task::Ref, u32>,
    totals: Totals,
}

/// Shared record of runs.
#[derive(Debug, Default)]
pub struct Ledger {
    inner: Mutex<Inner>,
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that `worker` started `task`.
    pub fn start(
        &self,
        worker: id::WorkerId,
        capacity: resource::Amount,
        task: task::Ref,
        token: id::Token,
        granted: resource::Amount,
    ) {
        let mut inner = self.lock();
        inner.totals.starts += 1;
        *inner.started.entry(task).or_default() += 1;
        if inner.running.insert(task, (worker, token, granted)).is_some() {
            inner.totals.overlapping += 1;
        }
        if inner.succeeded.contains_key(&task) {
            inner.totals.reruns += 1;
        }
        let held = inner.held.entry(worker).or_default();
        *held = held.saturating_add(&granted);
        let over = !held.fits(&capacity);
        if over {
            inner.totals.over_capacity += 1;
        }
        inner.totals.peak_running = inner.totals.peak_running.max(inner.running.len());
    }

    /// Records that the run of `task` under `token` ended.
    pub fn end(&self, task: task::Ref, token: id::Token, succeeded: bool) {
        let mut inner = self.lock();
        let Some((worker, running, granted)) = inner.running.get(&task).copied() else {
            return;
        };
        if running != token {
            return;
        }
        inner.running.remove(&task);
        inner.totals.ends += 1;
        if succeeded {
            *inner.succeeded.entry(task).or_default() += 1;
        }
        let held = inner.held.entry(worker).or_default();
        *held = held.saturating_sub(&granted);
    }

    /// Returns the counts so far.
    pub fn totals(&self) -> Totals {
        self.lock().totals.clone()
    }

    /// Returns how many tasks of `job` succeeded.
    pub fn succeeded(&self, job: id::JobId) -> usize {
        self.lock()
            .succeeded
            .keys()
            .filter(|task| task.job == job)
            .count()
    }

    /// Returns how many tasks of `job` started at least once.
    pub fn started(&self, job: id::JobId) -> usize {
        self.lock().started.keys().filter(|task| task.job == job).count()
    }

    /// Returns the tasks of `job` that run now, with the worker of each.
    pub fn running(&self, job: id::JobId) -> Vec<(task::Ref, id::WorkerId)> {
        let inner = self.lock();
        inner
            .running
            .iter()
            .filter(|(task, _)| task.job == job)
            .map(|(task, run)| (*task, run.0))
            .collect()
    }
}
