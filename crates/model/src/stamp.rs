//! Hybrid logical timestamps for the timeline.
//!
//! Wall clocks of VMs differ. A hybrid logical timestamp follows the wall clock but never decreases, and orders causes
//! before effects across processes. Timestamps serve for display and for merging events; safety does not depend on
//! them.

use serde::{Deserialize, Serialize};

/// A hybrid logical timestamp.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Wall time in microseconds since the Unix epoch.
    pub micros: u64,
    /// Counter for events within one microsecond.
    pub logical: u32,
}

/// Hybrid logical clock of one process.
#[derive(Debug, Default, Clone)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// Returns the timestamp of a local event at wall time `micros`.
    pub fn local(&mut self, micros: u64) -> Stamp {
        self.last = if micros > self.last.micros {
            Stamp { micros, logical: 0 }
        } else {
            Stamp {
                micros: self.last.micros,
                logical: self.last.logical.saturating_add(1),
            }
        };
        self.last
    }

    /// Advances the clock past the timestamp of a received message, so that later local events sort after it.
    pub fn receive(&mut self, micros: u64, remote: Stamp) -> Stamp {
        self.last = self.last.max(remote);
        self.local(micros)
    }
}
