//! Table of registered workers.

use std::collections::{BTreeMap, BTreeSet};

use bronzespoke_model::{id, job, resource, worker};
use serde::{Deserialize, Serialize};

use super::command::Refusal;

/// Maximum number of workers that a zone group retains, including those that are gone.
pub const MAX_WORKERS: usize = 8192;

/// A registered worker and the tasks that it runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Worker {
    /// Registration of the newest incarnation.
    pub registration: worker::Registration,
    /// Whether the worker is gone. Its incarnation is retained, so that an earlier one cannot register again.
    pub gone: bool,
    /// Running tasks, by sequence number of the job and task index.
    #[serde(skip)]
    pub(super) runs: BTreeSet<(u64, id::TaskIndex)>,
    /// Sum of the declared sizes of the running tasks.
    #[serde(skip)]
    pub(super) held: resource::Amount,
}

impl Worker {
    /// Returns whether the worker has the accelerator kind and the free capacity for one more task of a job.
    pub(super) fn has_room(&self, spec: &job::Spec) -> bool {
        let capacity = &self.registration.capacity;
        let kind_matches = spec.size.accelerators == 0 || spec.accelerator == capacity.accelerator;
        let held = self.held.checked_add(&spec.size);
        kind_matches && held.is_some_and(|held| held.fits(&capacity.amount))
    }
}

/// Registered workers by id.
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

pub(super) fn mark_gone(
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
