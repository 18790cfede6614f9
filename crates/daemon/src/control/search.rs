//! Search for the job of a submission in all zones.

use bronzespoke_model::id;

use crate::peer::wire;

/// Outcome of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// A zone has this job.
    At(id::JobId),
    /// Every zone replied, and none has the job.
    Nowhere,
    /// Not every zone replied, and none of those that did has the job.
    Unreachable,
}

/// A search in progress.
#[derive(Debug)]
pub struct Search {
    waiting: usize,
    unreachable: bool,
    finished: bool,
}

impl Search {
    /// Returns a search that expects a reply from each of `zones` zones.
    pub const fn new(zones: usize) -> Self {
        Self {
            waiting: zones,
            unreachable: false,
            finished: false,
        }
    }

    /// Handles the reply of a zone; returns the outcome exactly once. The search ends as soon as a zone has the job,
    /// without waiting for the other zones.
    pub fn add(&mut self, reply: &wire::Reply) -> Option<Found> {
        if self.finished {
            return None;
        }
        self.waiting -= 1;
        if let wire::Reply::Submitted(Some(job)) = reply {
            self.finished = true;
            return Some(Found::At(*job));
        }
        self.unreachable |= !matches!(reply, wire::Reply::Submitted(None));
        self.finished = self.waiting == 0;
        let found = if self.unreachable {
            Found::Unreachable
        } else {
            Found::Nowhere
        };
        self.finished.then_some(found)
    }
}
