//! What leaders have learned from the fleet's work and the next leader continues with.
//!
//! The leader records changes every few seconds in one command. No value depends on the wall clock, so that a clock that
//! jumps does not change any.

use serde::{Deserialize, Serialize};

/// Observed speed of a machine; survives the incarnations of the worker on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Speed {
    /// Speed in thousandths of that of the pool's typical machine.
    pub milli: u32,
    /// Weight of the observations behind it, in hundredths of a run.
    pub weight: u32,
    /// Time for which leaders have not observed the machine, in seconds.
    pub age_s: u32,
}

/// Past use of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastUse {
    /// Decayed average of the team's dominant share of the fleet, in millionths.
    pub share_micro: u64,
}
