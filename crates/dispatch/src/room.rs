//! Index of the free resources of workers.
//!
//! A fleet of a thousand workers places a thousand tasks a second while hundreds of steps wait. If each step looked at
//! each worker, the work of a pass would grow with the product of the two, and a burst would cost most when the least
//! time is left. The index is updated when a worker's resources change, and a step reads only as much of it as it needs.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use bronzespoke_control::cell;

use crate::worker;

/// Free processors of a worker, in thousandths of a core, and its index.
type Entry = (u32, cell::WorkerIndex);

/// Workers of each pool in the order of their free processors.
///
/// Invariant: after [`Index::refresh`], each worker has exactly one entry, in its pool and with its free processors.
#[derive(Debug, Default)]
pub struct Index {
    pools: HashMap<String, BTreeSet<Entry>>,
    /// Pool and free processors under which each worker is entered.
    entries: HashMap<cell::WorkerIndex, (String, u32)>,
    /// Workers whose entry may be outdated.
    stale: BTreeSet<cell::WorkerIndex>,
}

impl Index {
    /// Notes that the resources of a worker may have changed.
    pub fn touch(&mut self, worker: cell::WorkerIndex) {
        self.stale.insert(worker);
    }

    /// Updates the entries of the workers that were touched.
    pub fn refresh(&mut self, workers: &BTreeMap<cell::WorkerIndex, worker::Worker>) {
        for index in std::mem::take(&mut self.stale) {
            match workers.get(&index) {
                Some(record) => self.set(index, &record.announced.pool, record.free().cpu_milli),
                None => self.remove(index),
            }
        }
    }

    fn set(&mut self, worker: cell::WorkerIndex, pool: &str, free: u32) {
        match self.entries.get(&worker) {
            Some((known, at)) if known == pool && *at == free => return,
            Some(_) => self.remove(worker),
            None => {}
        }
        match self.pools.get_mut(pool) {
            Some(entries) => {
                entries.insert((free, worker));
            }
            None => {
                self.pools
                    .insert(String::from(pool), BTreeSet::from([(free, worker)]));
            }
        }
        self.entries.insert(worker, (String::from(pool), free));
    }

    fn remove(&mut self, worker: cell::WorkerIndex) {
        let Some((pool, free)) = self.entries.remove(&worker) else {
            return;
        };
        if let Some(entries) = self.pools.get_mut(&pool) {
            entries.remove(&(free, worker));
            if entries.is_empty() {
                self.pools.remove(&pool);
            }
        }
    }

    /// Returns the workers of a pool with at least `cpu` free, those with the most first.
    pub fn most_free(&self, pool: &str, cpu: u32) -> impl Iterator<Item = cell::WorkerIndex> + '_ {
        let entries = self.pools.get(pool).into_iter();
        entries
            .flat_map(move |entries| entries.range((cpu, 0)..).rev())
            .map(|(_, worker)| *worker)
    }

    /// Returns the workers of a pool with at least `cpu` free, those with the least first.
    pub fn least_free(&self, pool: &str, cpu: u32) -> impl Iterator<Item = cell::WorkerIndex> + '_ {
        let entries = self.pools.get(pool).into_iter();
        entries
            .flat_map(move |entries| entries.range((cpu, 0)..))
            .map(|(_, worker)| *worker)
    }

    /// Compares the index with the workers; returns the first difference.
    pub fn verify(&self, workers: &BTreeMap<cell::WorkerIndex, worker::Worker>) -> Result<(), String> {
        let count: usize = self.pools.values().map(BTreeSet::len).sum();
        if count != self.entries.len() || self.entries.len() != workers.len() {
            let known = self.entries.len();
            return Err(format!(
                "{} workers have {count} entries, {known} are known",
                workers.len()
            ));
        }
        for (index, record) in workers {
            let expected = (record.announced.pool.clone(), record.free().cpu_milli);
            let found = self.entries.get(index);
            let entered = self
                .pools
                .get(&expected.0)
                .is_some_and(|entries| entries.contains(&(expected.1, *index)));
            if found != Some(&expected) || !entered {
                return Err(format!("worker {index}: {found:?} instead of {expected:?}"));
            }
        }
        Ok(())
    }
}
