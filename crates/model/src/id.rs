//! Identifiers.
//!
//! Ids are type aliases of integers, which are cheap to encode and compare. The alias documents what an id refers to.

/// A geographic region that holds availability zones.
pub type RegionId = u16;
/// An availability zone, unique in the cell.
pub type AvailabilityZoneId = u16;
/// A rack, unique in its availability zone.
pub type RackId = u16;
/// An incarnation of a daemon on a VM. A daemon that lost its durable state gets a new id.
pub type VmId = u64;
/// A team, which is authenticated by its keys.
pub type TeamId = u32;
/// A service, whose requests are handled by targets.
pub type ServiceId = u32;
/// An open queue, which accepts requests without a key.
pub type QueueId = u32;
/// A target; the id is chosen by the target and sent in its announcement.
pub type TargetId = u64;
/// A worker VM; the id is chosen by the worker and sent in its registration.
pub type WorkerId = u64;
/// A job: the home availability zone in the upper 16 bits, a sequence number below.
pub type JobId = u64;
/// Index of a task in its job, from 0.
pub type TaskIndex = u32;
/// Fencing token of a task lease; increases with every start in a zone group.
pub type Token = u64;
/// Incarnation number of a worker or target; a higher incarnation replaces a lower one.
pub type Incarnation = u64;
/// Version of the configuration; increases by one with every accepted change.
pub type ConfigVersion = u64;
/// Command id chosen by the operator; a resent command carries the same id.
pub type CommandId = u128;
/// Kind of accelerator; 0 means none.
pub type AcceleratorKind = u16;

/// Position of the availability zone in a job id.
const ZONE_SHIFT: u32 = 48;

/// Returns the job id for a sequence number in a home availability zone.
pub const fn job(zone: AvailabilityZoneId, sequence: u64) -> JobId {
    ((zone as u64) << ZONE_SHIFT) | (sequence & ((1 << ZONE_SHIFT) - 1))
}

/// Returns the home availability zone of a job.
pub const fn job_zone(job: JobId) -> AvailabilityZoneId {
    (job >> ZONE_SHIFT) as AvailabilityZoneId
}

/// Consensus group, which has a replicated log of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub enum GroupId {
    /// The cell-wide group.
    Root,
    /// The group of one availability zone.
    Zone(AvailabilityZoneId),
}
