//! Hybrid logical time stamps for the time line.
//!
//! Wall clocks of VMs differ. A hybrid stamp follows the wall clock but never goes back and orders causes before
//! effects over processes. It is for people and for merging only; safety never depends on it.

use serde::{Deserialize, Serialize};

/// A point on the time line.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Wall time in microseconds since the Unix epoch.
    pub micros: u64,
    /// Counter for events within one microsecond.
    pub logical: u32,
}

/// Source of stamps for one process.
#[derive(Debug, Default, Clone)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// Returns the stamp of a local event at wall time `micros`.
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

    /// Merges the stamp of a received message, so that later local events sort after it.
    pub fn receive(&mut self, micros: u64, remote: Stamp) -> Stamp {
        self.last = self.last.max(remote);
        self.local(micros)
    }
}
