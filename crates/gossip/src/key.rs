//! What is published: keys and values.

use bronzespoke_model::{id, resource, target, vm};
use serde::{Deserialize, Serialize};

/// Name of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
    /// A target: [`Value::Target`] or [`Value::Departing`].
    Target(id::TargetId),
    /// Load of a target: [`Value::Load`].
    Load(id::TargetId),
    /// The publishing VM itself: [`Value::Vm`].
    Vm(id::VmId),
    /// A zone as its leader sees it: [`Value::Capacity`].
    Capacity(id::AvailabilityZoneId),
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// A target that takes work.
    Target {
        /// The announcement.
        announcement: target::Announcement,
        /// Where the target stands.
        place: vm::Place,
    },
    /// A life of a target that takes no new work, now and later.
    Departing {
        /// The life.
        incarnation: id::Incarnation,
    },
    /// Requests in flight to a target.
    Load(u32),
    /// State of a VM.
    Vm {
        /// Last index of the root group applied.
        applied: u64,
        /// Version of the configuration in force.
        version: id::ConfigVersion,
        /// Whether the VM takes work.
        ready: bool,
    },
    /// Capacity of a zone.
    Capacity {
        /// Term of the leader that publishes.
        term: u64,
        /// Free amount over all workers.
        free: resource::Amount,
        /// Workers in use.
        workers: u32,
    },
}

impl Value {
    /// Tells whether the entry is sent at once instead of with the next regular message.
    pub const fn is_urgent(&self) -> bool {
        matches!(self, Self::Target { .. } | Self::Departing { .. })
    }

    /// Returns the order among values of one key from several VMs: a higher rank replaces a lower one.
    pub(crate) const fn rank(&self) -> (u64, bool) {
        match self {
            Self::Target { announcement, .. } => (announcement.incarnation, false),
            Self::Departing { incarnation } => (*incarnation, true),
            Self::Load(_) => (0, false),
            Self::Vm { applied, .. } => (*applied, false),
            Self::Capacity { term, .. } => (*term, false),
        }
    }

    /// Returns an upper bound on the encoded bytes of an entry with this value.
    pub(crate) const fn most_bytes(&self) -> usize {
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
