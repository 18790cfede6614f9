//! Teams, their keys and their quotas.

use serde::{Deserialize, Serialize};

use crate::{id, resource};

/// SHA-256 hash of a key; keys themselves are not stored.
pub type KeyHash = [u8; 32];

/// Resources that a team may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Weight of the team in fair share when the fleet is fully used; at least 1.
    pub weight: u32,
    /// Upper limit on the resources of the team's running tasks, fleet-wide.
    pub limit: resource::Amount,
    /// Maximum number of the team's requests in flight to targets, fleet-wide.
    pub requests: u32,
}

/// A team that an operator created.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// The team's id.
    pub id: id::TeamId,
    /// The name that operators use; unique.
    pub name: String,
    /// Fair-share weight and limits.
    pub quota: Quota,
}
