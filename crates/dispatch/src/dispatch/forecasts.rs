//! Forecasts of a leader, for the admission of jobs.

use super::Dispatch;

impl Dispatch {
    /// Updates the forecast after a scheduling pass.
    pub(super) fn update_forecast(&mut self) {
        self.forecast.waiting = self.waiting.len();
    }
}
