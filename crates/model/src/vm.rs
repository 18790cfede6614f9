//! VMs that run a daemon, and where they stand.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;

/// Where a VM stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Region.
    pub region: id::RegionId,
    /// Availability zone in that region.
    pub zone: id::AvailabilityZoneId,
}

impl Place {
    /// Returns how far another place is.
    pub const fn distance(&self, other: &Self) -> Distance {
        if self.zone == other.zone {
            Distance::Zone
        } else if self.region == other.region {
            Distance::Region
        } else {
            Distance::Remote
        }
    }
}

/// Class of the link between two places; nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distance {
    /// Same availability zone.
    Zone,
    /// Same region, another availability zone.
    Region,
    /// Another region, over the billed link.
    Remote,
}

/// A VM in the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// This life of the daemon.
    pub id: id::VmId,
    /// Name that operators use.
    pub name: String,
    /// Where it stands.
    pub place: Place,
    /// Address for frames between daemons.
    pub peer: SocketAddr,
    /// Address for callers, targets and workers.
    pub http: SocketAddr,
    /// Address for JSON-RPC calls.
    pub rpc: SocketAddr,
    /// Whether it has a data folder.
    pub durable: bool,
}
