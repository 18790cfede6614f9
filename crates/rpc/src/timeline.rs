//! Pages of the timeline.

use bronzespoke_model::event;
use serde::{Deserialize, Serialize};

/// Most events in one page; a larger limit in a call is lowered to this.
pub const MAX_EVENTS: u32 = 2000;

/// Some events of one process, in order of sequence number. Sequence numbers start at 1.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Name of the VM whose daemon recorded the events.
    pub process: String,
    /// Lowest sequence number that the ring still holds. Events are lost when it is greater than `after + 1`.
    pub first_sequence_kept: u64,
    /// Value of `after` for the next call; equal to the given `after` when there are no newer events.
    pub next: u64,
    /// The events.
    pub events: Vec<event::Event>,
}
