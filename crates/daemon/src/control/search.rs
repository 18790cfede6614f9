//! What the zones answer to the search for a job.

use bronzespoke_model::id;

use crate::peer::wire;

/// What the zones know of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// A zone has the job.
    At(id::JobId),
    /// Every zone answered, and none has it.
    Nowhere,
    /// No zone that answered has it, and not every zone answered.
    Unreachable,
}

/// Answers of the zones as they arrive.
#[derive(Debug)]
pub struct Search {
    waiting: usize,
    unreachable: bool,
    over: bool,
}

impl Search {
    /// Returns a search in this many zones.
    pub const fn new(zones: usize) -> Self {
        Self {
            waiting: zones,
            unreachable: false,
            over: false,
        }
    }

    /// Takes the answer of a zone; returns the outcome once. A job that was found needs no further answer, such as that
    /// of a zone that cannot be reached.
    pub fn add(&mut self, answer: &wire::Reply) -> Option<Found> {
        if self.over {
            return None;
        }
        self.waiting -= 1;
        if let wire::Reply::Submitted(Some(job)) = answer {
            self.over = true;
            return Some(Found::At(*job));
        }
        self.unreachable |= !matches!(answer, wire::Reply::Submitted(None));
        self.over = self.waiting == 0;
        let found = if self.unreachable {
            Found::Unreachable
        } else {
            Found::Nowhere
        };
        self.over.then_some(found)
    }
}
