//! Shares of the teams in the decisions of a leader.

use std::collections::HashMap;

use super::Dispatch;

impl Dispatch {
    /// Updates the order of the teams at the beginning of a scheduling pass.
    pub(super) fn update_shares(&mut self) {
        self.shares.set(HashMap::new());
    }
}
