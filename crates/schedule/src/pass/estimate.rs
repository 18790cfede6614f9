//! Estimates of real sizes and run times.

use std::time::Duration;

use crate::message::Output;
use crate::scheduler::Scheduler;
use crate::table;

impl Scheduler {
    pub(crate) fn observe_usage(&mut self, _now: Duration, _run: table::Run, _out: &mut Vec<Output>) {}
}
