//! Registered workers.

use std::collections::{BTreeMap, BTreeSet};

use bronzespoke_model::{id, job, resource, worker};
use serde::{Deserialize, Serialize};

use super::command::Refusal;

/// Most workers that a zone group remembers, those that are gone included.
pub const MAX_WORKERS: usize = 8192;

/// A worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Worker {
    /// Registration of the latest life.
    pub registration: worker::Registration,
    /// Whether the worker is out of use. Its life number is kept, so that an earlier life cannot register again.
    pub gone: bool,
    /// Tasks that it runs, as sequence number of the job and index.
    #[serde(skip)]
    pub(super) runs: BTreeSet<(u64, id::TaskIndex)>,
    /// Sum of the declared sizes of these tasks.
    #[serde(skip)]
    pub(super) held: resource::Amount,
}

impl Worker {
    /// Tells whether one more task of a job fits beside what the worker holds.
    pub(super) fn has_room(&self, spec: &job::Spec) -> bool {
        let capacity = &self.registration.capacity;
        let right_kind = spec.size.accelerators == 0 || spec.accelerator == capacity.accelerator;
        let held = self.held.checked_add(&spec.size);
        right_kind && held.is_some_and(|held| held.fits(&capacity.amount))
    }
}

/// Table of workers.
pub(super) type Workers = BTreeMap<id::WorkerId, Worker>;

pub(super) fn register(workers: &mut Workers, registration: &worker::Registration) -> Result<(), Refusal> {
    if let Some(known) = workers.get_mut(&registration.worker) {
        if registration.incarnation < known.registration.incarnation {
            return Err(Refusal::StaleIncarnation);
        }
        known.registration = *registration;
        known.gone = false;
        return Ok(());
    }
    if workers.len() >= MAX_WORKERS {
        let idle = workers
            .iter()
            .find(|(_, worker)| worker.gone && worker.runs.is_empty())
            .map(|(id, _)| *id)
            .ok_or(Refusal::Full)?;
        workers.remove(&idle);
    }
    let worker = Worker {
        registration: *registration,
        gone: false,
        runs: BTreeSet::new(),
        held: resource::Amount::ZERO,
    };
    workers.insert(registration.worker, worker);
    Ok(())
}

pub(super) fn gone(
    workers: &mut Workers,
    id: id::WorkerId,
    incarnation: id::Incarnation,
) -> Result<(), Refusal> {
    let worker = workers.get_mut(&id).ok_or(Refusal::NoSuchWorker)?;
    if incarnation < worker.registration.incarnation {
        return Err(Refusal::StaleIncarnation);
    }
    worker.gone = true;
    Ok(())
}
