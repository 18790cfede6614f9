//! Continues from what earlier leaders have learned.

use std::time::Duration;

use bronzespoke_control::cell;

use super::Dispatch;

impl Dispatch {
    /// Continues from what earlier leaders have learned.
    pub(super) fn inherit_learned(&mut self, state: &cell::State, now: Duration) {
        self.inherit_speeds(state, now);
    }
}
