//! Calls of callers, operators and workers to the leader, and their replies.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{catalog, job, worker};

/// A call to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// A caller's call about a job or a queue.
    Job(Job),
    /// Replaces the configuration.
    Configure {
        /// Decoded configuration.
        catalog: Box<catalog::Catalog>,
        /// The operator's document, returned unchanged by [`Call::ShowConfiguration`].
        document: Bytes,
    },
    /// Returns the operator's document.
    ShowConfiguration,
    /// Announces a worker.
    Announce(Box<worker::Announcement>),
    /// Reports that a worker has left the fleet.
    Leave {
        /// Name of the worker.
        name: String,
    },
    /// Orders that the workers of an availability zone get no new tasks, or withdraws this order.
    Evacuate {
        /// Name of the zone.
        zone: String,
        /// Whether the zone is to be evacuated from now on.
        active: bool,
        /// Number of orders about zones that the daemon which received this one had applied when it last verified that the
        /// operator waits for the reply; `None` if that daemon has no replica. Shows a late copy.
        seen: Option<u64>,
    },
}

impl Call {
    /// Returns whether the call only reads, so that its copies have no effect.
    pub const fn is_read(&self) -> bool {
        match self {
            Self::Job(job) => match job.action {
                Action::Show(_) | Action::CountPending => true,
                Action::Submit(..) | Action::Cancel(_) => false,
            },
            Self::ShowConfiguration => true,
            Self::Configure { .. } | Self::Announce(_) | Self::Leave { .. } | Self::Evacuate { .. } => false,
        }
    }
}

/// A caller's call about a job or a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Host that the caller addressed, in lower case.
    pub host: String,
    /// Path up to the job's id.
    pub path: String,
    /// Key that the caller presented, if any.
    pub key: Option<String>,
    /// Requested action.
    pub action: Action,
}

/// Action that a caller requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Submits a job.
    Submit(job::Key, Box<job::Submission>),
    /// Returns the state of a job.
    Show(job::Key),
    /// Cancels a job.
    Cancel(job::Key),
    /// Counts the jobs of the queue of which no task has started.
    CountPending,
}

/// Reply to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The call was accepted: its effect is durable, or was already in force.
    Done,
    /// Current state of a job.
    Phase(job::Phase),
    /// Number of jobs of a queue of which no task has started.
    Pending(u64),
    /// The operator's document.
    Document(Bytes),
    /// The job does not exist.
    NoJob,
    /// No queue matches the host and path.
    NoQueue,
    /// The key is unknown.
    BadKey,
    /// The call is malformed or invalid; the message says why.
    Invalid(String),
    /// The call was not accepted and has no effect.
    Refused {
        /// Reason, for the log and the caller.
        reason: Refusal,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// It is unknown whether the call was accepted.
    Unknown,
    /// The receiver is not the leader.
    NotLeader,
    /// No availability zone has this name.
    NoZone(String),
    /// The order is older than another one about its zone that is recorded, and has no effect. The daemon that received it
    /// passes it on again if the operator still waits.
    Outdated,
}

/// Why a call was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// No leader can be reached, or the leader cannot confirm its state.
    NoLeader,
    /// No configuration has been set yet.
    NoConfiguration,
    /// The leader does not keep up with its messages.
    Overload,
    /// No worker could ever run it: none is large enough and has the required label.
    NoRoom,
    /// The job was cancelled before its submission arrived.
    Withdrawn,
}

impl Refusal {
    /// Returns the reason as it appears in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoLeader => "no leader",
            Self::NoConfiguration => "no configuration",
            Self::Overload => "overload",
            Self::NoRoom => "no room",
            Self::Withdrawn => "cancelled before",
        }
    }
}
