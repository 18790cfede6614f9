//! Speeds of workers in the decisions of a leader.

use std::time::Duration;

use bronzespoke_control::cell;

use super::Dispatch;

impl Dispatch {
    /// Continues with the speeds that earlier leaders have recorded.
    pub(super) fn inherit_speeds(&mut self, state: &cell::State) {
        for (index, record) in &self.workers {
            let machine = record.announced.machine.as_ref();
            if let Some(speed) = machine.and_then(|machine| state.speeds().get(machine)) {
                self.speeds.set(*index, f64::from(speed.milli) / 1_000.0);
            }
        }
    }

    /// Returns the expected run time on a worker of a task that takes `run_time` on a typical one.
    pub(super) fn run_time_on(&self, worker: cell::WorkerIndex, run_time: Duration) -> Duration {
        run_time.div_f64(self.speeds.of(worker))
    }
}
