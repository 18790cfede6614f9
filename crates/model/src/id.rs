//! Identifiers.
//!
//! Ids are aliases of integers, so that they travel and sort cheaply; the alias tells a reader which one is meant.

/// A geographic region that holds availability zones.
pub type RegionId = u16;
/// An availability zone, unique in the cell.
pub type AvailabilityZoneId = u16;
/// A rack, unique in its availability zone.
pub type RackId = u16;
/// One life of a daemon on a VM. A daemon that lost its durable state gets a new id.
pub type VmId = u64;
/// A team that presents keys.
pub type TeamId = u32;
/// A service whose requests are answered by targets.
pub type ServiceId = u32;
/// An open queue, which takes requests without a key.
pub type QueueId = u32;
/// A target, as it names itself when it announces.
pub type TargetId = u64;
/// A worker VM, as it names itself when it registers.
pub type WorkerId = u64;
/// A job: the home availability zone in the upper 16 bits, a sequence number below.
pub type JobId = u64;
/// Index of a task in its job, from 0.
pub type TaskIndex = u32;
/// Fencing token of a task lease; grows with every start in a zone group.
pub type Token = u64;
/// Life number of a worker or target; a later life replaces an earlier one.
pub type Incarnation = u64;
/// Version of the configuration; grows by one with every accepted change.
pub type ConfigVersion = u64;
/// Command id chosen by the operator; a resent command carries the same id.
pub type CommandId = u128;
/// Accelerator kind; 0 means none.
pub type AcceleratorKind = u16;

const ZONE_SHIFT: u32 = 48;

/// Returns the job id for a sequence number in a home availability zone.
pub const fn job(zone: AvailabilityZoneId, sequence: u64) -> JobId {
    ((zone as u64) << ZONE_SHIFT) | (sequence & ((1 << ZONE_SHIFT) - 1))
}

/// Returns the home availability zone of a job.
pub const fn job_zone(job: JobId) -> AvailabilityZoneId {
    (job >> ZONE_SHIFT) as AvailabilityZoneId
}

/// The log that an entry belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub enum GroupId {
    /// The cell-wide group.
    Root,
    /// The group of one availability zone.
    Zone(AvailabilityZoneId),
}
