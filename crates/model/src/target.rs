//! Targets: their announcements and their state.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{id, vm};

/// Announcement of a target, which the target renews while it accepts requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Id of the target.
    pub target: id::TargetId,
    /// Incarnation of the target; announcements of earlier incarnations are rejected.
    pub incarnation: id::Incarnation,
    /// Name of the service that the target provides.
    pub service: String,
    /// Address to which requests are sent.
    pub address: SocketAddr,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that the target accepts, from all VMs together.
    pub connections: u32,
}

/// State of a target as distributed to other VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Latest announcement of the target.
    pub announcement: Announcement,
    /// Location of the target.
    pub place: vm::Place,
    /// Whether the target departs and accepts no new requests.
    pub departing: bool,
    /// Requests in flight, as last reported by the VM that receives the announcements.
    pub in_flight: u32,
}
