//! Events of the timeline.

use serde::{Deserialize, Serialize};

use crate::{id, job, stamp, task};

/// One event that a daemon recorded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event.
    pub stamp: stamp::Stamp,
    /// Name of the VM whose daemon recorded it.
    pub process: String,
    /// Sequence number in the process. Numbers are consecutive, so a gap means that the ring buffer overwrote events.
    pub sequence: u64,
    /// Type of the event and its attributes.
    pub kind: Kind,
}

/// Type of an event. The enum is internally tagged, so JSON is its only encoding.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Kind {
    /// The daemon started serving.
    Started,
    /// The daemon is shutting down.
    Stopping,
    /// The VM became leader of a group.
    LeaderElected {
        /// Group that the VM leads.
        group: id::GroupId,
        /// Term of the leadership.
        term: u64,
    },
    /// The VM lost the leadership of a group.
    LeaderLost {
        /// Group that the VM no longer leads.
        group: id::GroupId,
    },
    /// The VM applied a configuration version.
    ConfigApplied {
        /// Version that is in force on this VM.
        version: id::ConfigVersion,
    },
    /// A key was granted.
    KeyGranted {
        /// Team that the key authenticates.
        team: id::TeamId,
    },
    /// A withdrawn key became invalid on this VM.
    KeyWithdrawn {
        /// Team that the key authenticated.
        team: id::TeamId,
    },
    /// The view of the root group became too stale for requests that carry a key.
    ViewStale,
    /// The view of the root group is fresh again.
    ViewFresh,
    /// A target announced itself.
    TargetAnnounced {
        /// Target that was announced.
        target: id::TargetId,
    },
    /// A target takes no further requests because it departs.
    TargetDeparting {
        /// Target that departs.
        target: id::TargetId,
    },
    /// A target is no longer used.
    TargetLost {
        /// Target that was lost.
        target: id::TargetId,
    },
    /// A worker registered.
    WorkerRegistered {
        /// Worker that registered.
        worker: id::WorkerId,
    },
    /// The lease of a worker expired.
    WorkerLost {
        /// Worker that was lost.
        worker: id::WorkerId,
    },
    /// A job was durably accepted.
    JobAccepted {
        /// Job that was accepted.
        job: id::JobId,
        /// Team that submitted the job.
        team: id::TeamId,
    },
    /// A job reached a terminal state.
    JobEnded {
        /// Job that ended.
        job: id::JobId,
        /// Team that submitted the job.
        team: id::TeamId,
        /// Terminal state.
        state: job::State,
    },
    /// A task start was committed.
    TaskStarted {
        /// Task that starts.
        task: task::Ref,
        /// Worker on which it starts.
        worker: id::WorkerId,
        /// Fencing token of the lease.
        token: id::Token,
    },
    /// The end of a task run was committed.
    TaskEnded {
        /// Task whose run ended.
        task: task::Ref,
        /// Fencing token of the lease.
        token: id::Token,
        /// Whether the run succeeded.
        succeeded: bool,
    },
    /// A task was instructed to stop in favor of urgent work.
    TaskPreempted {
        /// Task that was preempted.
        task: task::Ref,
        /// Worker on which it ran.
        worker: id::WorkerId,
    },
    /// A request id was claimed.
    RequestClaimed {
        /// Team that sent the request.
        team: id::TeamId,
    },
    /// A test disconnected this VM from another one.
    LinkCut {
        /// VM at the other end of the link.
        peer: id::VmId,
    },
    /// A member joined or left a group.
    MembershipChanged {
        /// Group whose membership changed.
        group: id::GroupId,
        /// Voters after the change.
        voters: Vec<id::VmId>,
    },
}
