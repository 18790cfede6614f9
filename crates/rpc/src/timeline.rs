//! Pages of the timeline.

use bronzespoke_model::event;
use serde::{Deserialize, Serialize};

/// Maximum number of events in one page; a larger limit in a call is reduced to this.
pub const MAX_EVENTS: u32 = 2000;

/// A page of events of one process, in order of their sequence numbers, which start at 1.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Name of the VM whose daemon recorded the events.
    pub process: String,
    /// Lowest sequence number that the ring buffer still holds. If it is greater than `after + 1`, events were
    /// overwritten before they were read.
    pub first_sequence_kept: u64,
    /// Value of `after` for the next call; equal to the given `after` when there are no newer events.
    pub next: u64,
    /// Events after the given sequence number.
    pub events: Vec<event::Event>,
}
