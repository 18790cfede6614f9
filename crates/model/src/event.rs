//! Events of the time line.

use serde::{Deserialize, Serialize};

use crate::{id, job, stamp, task};

/// One event in one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When it happened.
    pub stamp: stamp::Stamp,
    /// Name of the VM whose daemon recorded it.
    pub process: String,
    /// Number in the process, without gaps; a gap in a reading means that the ring lost events.
    pub sequence: u64,
    /// What happened.
    pub kind: Kind,
}

/// What happened. Internally tagged, so it travels as JSON only.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Kind {
    /// The daemon started serving.
    Started,
    /// The daemon is shutting down.
    Stopping,
    /// The VM took the lead of a group.
    LeaderElected {
        /// Group.
        group: id::GroupId,
        /// Term.
        term: u64,
    },
    /// The VM lost the lead of a group.
    LeaderLost {
        /// Group.
        group: id::GroupId,
    },
    /// The VM applied a configuration version.
    ConfigApplied {
        /// Version now in force here.
        version: id::ConfigVersion,
    },
    /// A key was granted.
    KeyGranted {
        /// Team.
        team: id::TeamId,
    },
    /// A key was withdrawn here.
    KeyWithdrawn {
        /// Team.
        team: id::TeamId,
    },
    /// The view of the root group became too old for keyed work.
    ViewStale,
    /// The view of the root group is fresh again.
    ViewFresh,
    /// A target announced itself.
    TargetAnnounced {
        /// Target.
        target: id::TargetId,
    },
    /// A target is departing.
    TargetDeparting {
        /// Target.
        target: id::TargetId,
    },
    /// A target is out of use.
    TargetLost {
        /// Target.
        target: id::TargetId,
    },
    /// A worker registered.
    WorkerRegistered {
        /// Worker.
        worker: id::WorkerId,
    },
    /// A worker's lease ran out.
    WorkerLost {
        /// Worker.
        worker: id::WorkerId,
    },
    /// A job was accepted durably.
    JobAccepted {
        /// Job.
        job: id::JobId,
        /// Team.
        team: id::TeamId,
    },
    /// A job reached its last state.
    JobEnded {
        /// Job.
        job: id::JobId,
        /// Team.
        team: id::TeamId,
        /// Last state.
        state: job::State,
    },
    /// A task start was committed.
    TaskStarted {
        /// Task.
        task: task::Ref,
        /// Worker.
        worker: id::WorkerId,
        /// Lease token.
        token: id::Token,
    },
    /// The end of a task run was committed.
    TaskEnded {
        /// Task.
        task: task::Ref,
        /// Lease token.
        token: id::Token,
        /// Whether it succeeded.
        succeeded: bool,
    },
    /// A task was told to make room.
    TaskPreempted {
        /// Task.
        task: task::Ref,
        /// Worker.
        worker: id::WorkerId,
    },
    /// A request id was claimed.
    RequestClaimed {
        /// Team.
        team: id::TeamId,
    },
    /// Links to another VM were cut by a test.
    LinkCut {
        /// The other VM.
        peer: id::VmId,
    },
    /// A member joined or left a group.
    MembershipChanged {
        /// Group.
        group: id::GroupId,
        /// Voters after the change.
        voters: Vec<id::VmId>,
    },
}
