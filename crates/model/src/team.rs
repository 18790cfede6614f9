//! Teams, their keys and their quotas.

use serde::{Deserialize, Serialize};

use crate::{id, resource};

/// SHA-256 of a key; keys themselves are never stored.
pub type KeyHash = [u8; 32];

/// What a team may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Weight of the team's share when the fleet is full; at least 1.
    pub weight: u32,
    /// Upper limit on what the team may run fleet-wide.
    pub limit: resource::Amount,
    /// Requests to targets that the team may have in flight fleet-wide.
    pub requests: u32,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// The team's id.
    pub id: id::TeamId,
    /// The name that operators use; unique.
    pub name: String,
    /// Share and limits.
    pub quota: Quota,
}
