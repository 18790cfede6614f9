//! Targets, as they announce themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{id, vm};

/// A target's announcement; it is renewed while the target serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The target.
    pub target: id::TargetId,
    /// Life number; an announcement of an earlier life is refused.
    pub incarnation: id::Incarnation,
    /// Name of the service that it answers for.
    pub service: String,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Connections that it accepts from all VMs together.
    pub connections: u32,
}

/// State of a target as other VMs learn it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The announcement.
    pub announcement: Announcement,
    /// Where the target stands.
    pub place: vm::Place,
    /// Whether it takes no new work.
    pub departing: bool,
    /// Requests in flight as last reported by the VM that it announces to.
    pub in_flight: u32,
}
