//! VMs that run a daemon, and their locations.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id;

/// Location of a VM, target or worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Region that contains the availability zone.
    pub region: id::RegionId,
    /// Availability zone; its id is unique in the cell.
    pub zone: id::AvailabilityZoneId,
}

impl Place {
    /// Returns the distance to another place.
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

/// Distance between two places, ordered from nearest to farthest.
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

/// Directory entry of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Id of the daemon on the VM.
    pub id: id::VmId,
    /// Name of the VM, as used by operators.
    pub name: String,
    /// Location of the VM.
    pub place: Place,
    /// Address for messages between daemons.
    pub peer: SocketAddr,
    /// Address for callers, targets and workers.
    pub http: SocketAddr,
    /// Address for JSON-RPC calls.
    pub rpc: SocketAddr,
    /// Whether the daemon has a data folder, and thus durable state.
    pub durable: bool,
}
