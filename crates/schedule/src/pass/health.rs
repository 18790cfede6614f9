//! Tells workers that fail everything from jobs that fail everywhere.

use std::time::Duration;

use bronzespoke_model::{id, task};

use crate::message::Output;
use crate::scheduler::Scheduler;
use crate::{run, table};

impl Scheduler {
    pub(crate) fn observe_end(
        &mut self,
        _now: Duration,
        _record: &run::Record,
        _outcome: &task::Outcome,
        _out: &mut Vec<Output>,
    ) {
    }

    pub(crate) fn set_health_limit(&mut self, worker: table::Worker, allowed: Option<u32>) {
        self.workers[worker].health.allowed = allowed;
    }

    pub(crate) fn probation_due(
        &mut self,
        _worker: table::Worker,
        _id: id::WorkerId,
        _out: &mut Vec<Output>,
    ) {
    }
}
