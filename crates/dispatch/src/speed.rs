//! Speeds of workers.

use std::collections::HashMap;

use bronzespoke_control::cell;

/// Observed speeds of workers, relative to the typical worker of their pool.
#[derive(Debug, Default)]
pub struct Speeds {
    workers: HashMap<cell::WorkerIndex, f64>,
}

impl Speeds {
    /// Records the speed of a worker.
    pub fn set(&mut self, worker: cell::WorkerIndex, speed: f64) {
        self.workers.insert(worker, speed);
    }

    /// Returns the speed of a worker; 1 if nothing is known about it.
    pub fn of(&self, worker: cell::WorkerIndex) -> f64 {
        self.workers.get(&worker).copied().unwrap_or(1.0)
    }
}
