//! Independent record of the runs on the stand-in workers.
//!
//! Every stand-in worker records the starts and ends of its runs here. From these, the ledger detects tasks that run
//! twice at the same time and workers that exceed their capacity, without querying the system under test.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use bronzespoke_model::{id, resource, task};

/// Counters of a ledger.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Totals {
    /// Number of runs that started.
    pub starts: u64,
    /// Number of runs that ended.
    pub ends: u64,
    /// Starts of a task while another run of it was still active.
    pub overlapping: u64,
    /// Starts that exceeded the capacity of the worker.
    pub over_capacity: u64,
    /// Starts of a task that had already succeeded.
    pub reruns: u64,
    /// Maximum number of tasks that ran at the same time.
    pub peak_running: usize,
}

#[derive(Debug, Default)]
struct Inner {
    running: HashMap<task::Ref, (id::WorkerId, id::Token, resource::Amount)>,
    used: HashMap<id::WorkerId, resource::Amount>,
    succeeded: HashMap<task::Ref, u32>,
    started: HashMap<task::Ref, u32>,
    totals: Totals,
}

/// Record of runs, shared by all stand-in workers.
#[derive(Debug, Default)]
pub struct Ledger {
    inner: Mutex<Inner>,
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that `worker` started a run of `task`.
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
        let used = inner.used.entry(worker).or_default();
        *used = used.saturating_add(&granted);
        let exceeded = !used.fits(&capacity);
        if exceeded {
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
        let used = inner.used.entry(worker).or_default();
        *used = used.saturating_sub(&granted);
    }

    /// Returns the current counters.
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

    /// Returns the running tasks of `job`, each with its worker.
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
