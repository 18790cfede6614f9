//! Workers of availability zones that an operator evacuates.

use bronzespoke_control::cell;

use super::Dispatch;

impl Dispatch {
    /// Marks the workers of the evacuated zones, which get no new tasks.
    pub(super) fn mark_evacuated(&mut self, state: &cell::State) {
        for record in self.workers.values_mut() {
            record.evacuated = state.evacuated().contains(&record.announced.zone);
        }
    }
}
