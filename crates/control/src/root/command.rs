//! Commands of the root group and their outcomes.

use bronzespoke_model::{config, id, team, vm};
use serde::{Deserialize, Serialize};

use super::allotments;
use crate::escrow;

/// What a drain mark is set on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    /// A worker: it gets no new tasks, and the tasks that it runs move away.
    Worker(id::WorkerId),
    /// A target: it gets no new requests.
    Target(id::TargetId),
    /// A VM with a daemon: it reports that it is not ready and hands over its groups.
    Vm(id::VmId),
}

/// An operator's statement that an availability zone is physically lost.
///
/// The operator confirms that every worker and entry VM of the zone is without power or was destroyed. The time since
/// that confirmation is measured on the monotonic clock of one process, because wall clocks may jump. A zone that is
/// only cut off keeps renewing its leases and must not be declared lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lost {
    /// Milliseconds, by one monotonic clock, for which the zone is confirmed to be stopped.
    pub stopped_ms: u64,
}

impl Lost {
    /// Shortest time after which all leases of a stopped zone are over: the lease of 10 s and 2% drift.
    pub const MIN_STOPPED_MS: u64 = 10_200;
}

/// A change of the root state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Create a team.
    CreateTeam {
        /// Name; unique.
        name: String,
        /// Share and limits.
        quota: team::Quota,
    },
    /// Change the share and the limits of a team.
    SetQuota {
        /// Team.
        team: id::TeamId,
        /// Share and limits.
        quota: team::Quota,
    },
    /// Let a key speak for a team.
    GrantKey {
        /// Hash of the key.
        hash: team::KeyHash,
        /// Team.
        team: id::TeamId,
    },
    /// Take a key back for good.
    WithdrawKey {
        /// Hash of the key.
        hash: team::KeyHash,
    },
    /// Create a service.
    CreateService {
        /// Name; unique.
        name: String,
    },
    /// Create an open queue.
    CreateQueue {
        /// Name; unique.
        name: String,
        /// Service that answers.
        service: id::ServiceId,
        /// Requests that may be in flight fleet-wide.
        requests: u32,
    },
    /// Replace the configuration.
    SetConfig {
        /// Version that the operator saw; the command is refused when another one is in force.
        expected: id::ConfigVersion,
        /// New configuration.
        config: config::Config,
    },
    /// Add an availability zone.
    AddZone {
        /// Place.
        place: vm::Place,
    },
    /// Declare an availability zone lost for good; its id never comes back into use.
    LoseZone {
        /// Zone.
        zone: id::AvailabilityZoneId,
        /// Evidence that no lease of the zone is left.
        proof: Lost,
    },
    /// Add a VM to the directory, or replace its addresses.
    AddVm(vm::Vm),
    /// Remove a VM from the directory.
    RemoveVm(id::VmId),
    /// Set or clear a drain mark.
    Drain {
        /// What to drain.
        subject: Subject,
        /// Whether the mark is set.
        on: bool,
    },
    /// Grow granted counters and set target allotments.
    Grant(Vec<allotments::Grant>),
    /// Record released counters that a zone group has committed.
    Released {
        /// Zone.
        zone: id::AvailabilityZoneId,
        /// Cumulative released counter of each team.
        released: Vec<(id::TeamId, escrow::Total)>,
    },
    /// Let one VM found the group of a zone; the first VM that asks wins, for good.
    FoundZone {
        /// Zone.
        zone: id::AvailabilityZoneId,
        /// VM that would found the group.
        founder: id::VmId,
    },
}

/// Why a root command changed nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The name is taken.
    NameTaken,
    /// The name is empty or longer than 128 bytes.
    BadName,
    /// A weight of 0.
    BadQuota,
    /// There is no such team.
    NoSuchTeam,
    /// There is no such service.
    NoSuchService,
    /// There is no such zone, or it was declared lost.
    NoSuchZone,
    /// There is no such key.
    NoSuchKey,
    /// There is no such VM.
    NoSuchVm,
    /// The key was withdrawn earlier; a withdrawn key never comes back.
    KeyWithdrawn,
    /// The key already speaks for another team.
    KeyTaken,
    /// The zone exists in another region, was declared lost, or was founded by another VM.
    ZoneTaken,
    /// The table is full.
    Full,
    /// The leases of the zone may still be running.
    LeasesMayRun,
}

/// What a root command did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Done, or already so.
    Done,
    /// The index was applied earlier; nothing was done.
    Ignored,
    /// The team was created.
    Team(id::TeamId),
    /// The service was created.
    Service(id::ServiceId),
    /// The open queue was created.
    Queue(id::QueueId),
    /// The configuration is accepted under this version.
    Config(id::ConfigVersion),
    /// Another configuration was accepted first.
    Conflict {
        /// Version that is accepted.
        version: id::ConfigVersion,
        /// Id of the command that won.
        winner: Option<id::CommandId>,
    },
    /// Numbers, from 0, of the grants that would break a limit or name no team or zone; the others are done.
    Granted(Vec<u32>),
    /// Nothing was changed.
    Refused(Refusal),
}
