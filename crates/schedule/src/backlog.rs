//! Work that is too long for one step and continues in later ones.

use std::collections::VecDeque;

use bronzespoke_model::id;

use crate::table;

/// Work that continues in the next steps.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    /// Jobs all of whose runs are being stopped. The id shows whether the slot still holds the same job.
    pub(crate) stopping: VecDeque<(table::Job, id::JobId)>,
    /// Teams that use more than their allotment.
    pub(crate) shrinking: VecDeque<table::Team>,
    /// Gangs whose resources are debited and whose tasks are being started.
    pub(crate) launching: VecDeque<table::Job>,
}

impl Backlog {
    /// Returns whether no work is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.stopping.is_empty() && self.shrinking.is_empty() && self.launching.is_empty()
    }
}
