//! Commands of the root group and their outcomes.

use bronzespoke_model::{config, id, team, vm};
use serde::{Deserialize, Serialize};

use super::allotments;
use crate::escrow;

/// What can be marked as draining.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    /// A worker: it receives no new tasks, and its running tasks are moved to other workers.
    Worker(id::WorkerId),
    /// A target: it receives no new requests.
    Target(id::TargetId),
    /// A VM that runs a daemon: it reports itself as not ready and transfers the leadership of its groups.
    Vm(id::VmId),
}

/// An operator's statement that an availability zone is physically lost.
///
/// The operator confirms that every worker and entry VM of the zone is powered off or destroyed. The time since that
/// confirmation is measured on the monotonic clock of one process, because wall clocks may jump. A zone that is merely
/// partitioned keeps renewing its leases and must not be declared lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossProof {
    /// Time for which the zone is confirmed to be stopped, in milliseconds of one monotonic clock.
    pub stopped_ms: u64,
}

impl LossProof {
    /// Time after which all leases of a stopped zone have expired: the lease duration of 10 s plus 2% clock drift.
    pub const MIN_STOPPED_MS: u64 = 10_200;
}

/// A change of the root state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Creates a team.
    CreateTeam {
        /// Name; unique.
        name: String,
        /// Weight and limits.
        quota: team::Quota,
    },
    /// Replaces the weight and the limits of a team.
    SetQuota {
        /// Team to change.
        team: id::TeamId,
        /// Weight and limits.
        quota: team::Quota,
    },
    /// Lets a key authenticate requests of a team.
    GrantKey {
        /// Hash of the key.
        hash: team::KeyHash,
        /// Team that the key authenticates.
        team: id::TeamId,
    },
    /// Withdraws a key permanently.
    WithdrawKey {
        /// Hash of the key.
        hash: team::KeyHash,
    },
    /// Creates a service.
    CreateService {
        /// Name; unique.
        name: String,
    },
    /// Creates an open queue.
    CreateQueue {
        /// Name; unique.
        name: String,
        /// Service that handles the requests of the queue.
        service: id::ServiceId,
        /// Maximum number of requests in flight across the fleet.
        requests: u32,
    },
    /// Replaces the configuration.
    SetConfig {
        /// Version that the change is based on; the command fails with a conflict when another version is in force.
        expected: id::ConfigVersion,
        /// New configuration.
        config: config::Config,
    },
    /// Adds an availability zone.
    AddZone {
        /// Region and id of the zone.
        place: vm::Place,
    },
    /// Declares an availability zone permanently lost. Its id is never reused.
    LoseZone {
        /// Zone that is lost.
        zone: id::AvailabilityZoneId,
        /// Evidence that all leases of the zone have expired.
        proof: LossProof,
    },
    /// Adds a VM to the directory, or replaces its entry.
    AddVm(vm::Vm),
    /// Removes a VM from the directory.
    RemoveVm(id::VmId),
    /// Marks something as draining, or clears the mark.
    Drain {
        /// Worker, target or VM to mark.
        subject: Subject,
        /// `true` to set the mark, `false` to clear it.
        on: bool,
    },
    /// Raises granted counters and sets the targets of allotments.
    Grant(Vec<allotments::Grant>),
    /// Records released counters that a zone group has committed.
    Released {
        /// Zone that released the resources.
        zone: id::AvailabilityZoneId,
        /// Cumulative released counter of each team.
        released: Vec<(id::TeamId, escrow::Total)>,
    },
    /// Lets one VM bootstrap the group of a zone. The first VM to request it is recorded permanently.
    FoundZone {
        /// Zone whose group is bootstrapped.
        zone: id::AvailabilityZoneId,
        /// VM that requests to bootstrap the group.
        founder: id::VmId,
    },
}

/// Reason why a root command was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The name is already in use.
    NameTaken,
    /// The name is empty or longer than 128 bytes.
    BadName,
    /// The weight is 0.
    BadQuota,
    /// The team does not exist.
    NoSuchTeam,
    /// The service does not exist.
    NoSuchService,
    /// The zone does not exist or was declared lost.
    NoSuchZone,
    /// The key is not granted.
    NoSuchKey,
    /// The VM is not in the directory.
    NoSuchVm,
    /// The key was withdrawn earlier and cannot be granted again.
    KeyWithdrawn,
    /// The key already authenticates another team.
    KeyTaken,
    /// The zone exists in another region, was declared lost, or was bootstrapped by another VM.
    ZoneTaken,
    /// The table is full.
    Full,
    /// Leases of the zone may not have expired yet.
    LeasesMayRun,
}

/// Effect of a root command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command took effect, or had taken effect earlier.
    Done,
    /// The log entry was applied earlier; the command had no effect.
    Ignored,
    /// The team was created with this id.
    Team(id::TeamId),
    /// The service was created with this id.
    Service(id::ServiceId),
    /// The open queue was created with this id.
    Queue(id::QueueId),
    /// The configuration was accepted as this version.
    Config(id::ConfigVersion),
    /// Another configuration was accepted before this one.
    Conflict {
        /// Version in force.
        version: id::ConfigVersion,
        /// Id of the command that set the version in force.
        winner: Option<id::CommandId>,
    },
    /// Zero-based positions of the grants that were refused because they would exceed a limit, or because the
    /// team or zone does not exist or the zone is lost. The others were applied.
    Granted(Vec<u32>),
    /// The command was refused and had no effect.
    Refused(Refusal),
}
