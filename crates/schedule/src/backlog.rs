//! Queues of work that is too long for one step.

use std::collections::VecDeque;

use bronzespoke_model::id;

use crate::table;

/// Work that goes on in the next steps.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    /// Jobs whose runs are all to be stopped.
    pub(crate) stopping: VecDeque<(table::Job, id::JobId)>,
    /// Teams that use more than their part.
    pub(crate) shrinking: VecDeque<table::Team>,
    /// Gangs whose room is debited and whose tasks are being started.
    pub(crate) launching: VecDeque<table::Job>,
}

impl Backlog {
    /// Tells whether nothing is left.
    pub(crate) fn is_empty(&self) -> bool {
        self.stopping.is_empty() && self.shrinking.is_empty() && self.launching.is_empty()
    }
}
