//! Keys and values of published entries.

use bronzespoke_model::{id, resource, target, vm};
use serde::{Deserialize, Serialize};

/// Key of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
    /// A target: [`Value::Target`] or [`Value::Departing`].
    Target(id::TargetId),
    /// Load of a target: [`Value::Load`].
    Load(id::TargetId),
    /// State of the publishing VM: [`Value::Vm`].
    Vm(id::VmId),
    /// Capacity of a zone, published by its leader: [`Value::Capacity`].
    Capacity(id::AvailabilityZoneId),
}

/// Value of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// A target that accepts requests.
    Target {
        /// Announcement of the target.
        announcement: target::Announcement,
        /// Region and zone of the target.
        place: vm::Place,
    },
    /// An incarnation of a target that permanently accepts no new requests.
    Departing {
        /// Departing incarnation.
        incarnation: id::Incarnation,
    },
    /// Number of requests in flight to a target.
    Load(u32),
    /// State of a VM.
    Vm {
        /// Last applied log index of the root group.
        applied: u64,
        /// Version of the configuration in force.
        version: id::ConfigVersion,
        /// Whether the VM accepts work.
        ready: bool,
    },
    /// Capacity of a zone.
    Capacity {
        /// Term of the publishing leader.
        term: u64,
        /// Total free amount of all workers.
        free: resource::Amount,
        /// Number of workers in use.
        workers: u32,
    },
}

impl Value {
    /// Returns whether a change of the entry is sent immediately instead of with the next periodic message.
    pub const fn is_urgent(&self) -> bool {
        matches!(self, Self::Target { .. } | Self::Departing { .. })
    }

    /// Returns the rank of the value among the values of the same key from several VMs. The highest rank wins.
    pub(crate) const fn rank(&self) -> (u64, bool) {
        match self {
            Self::Target { announcement, .. } => (announcement.incarnation, false),
            Self::Departing { incarnation } => (*incarnation, true),
            Self::Load(_) => (0, false),
            Self::Vm { applied, .. } => (*applied, false),
            Self::Capacity { term, .. } => (*term, false),
        }
    }

    /// Returns an upper bound on the encoded size in bytes of an entry with this value.
    pub(crate) const fn max_encoded_bytes(&self) -> usize {
        const KEY_BYTES: usize = 24;
        KEY_BYTES
            + match self {
                Self::Target { announcement, .. } => 64 + announcement.service.len(),
                Self::Departing { .. } => 11,
                Self::Load(_) => 6,
                Self::Vm { .. } => 22,
                Self::Capacity { .. } => 64,
            }
    }
}
