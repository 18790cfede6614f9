//! Calls from outside that reach the leader, and their replies.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{catalog, job, worker};

/// A call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// A caller's call about a job or a queue.
    Job(Job),
    /// Replaces the configuration.
    Configure {
        /// Decoded form.
        catalog: Box<catalog::Catalog>,
        /// The operator's document, given back unchanged.
        document: Bytes,
    },
    /// Reads the operator's document.
    ShowConfiguration,
    /// A worker announces itself.
    Announce(Box<worker::Announcement>),
    /// A worker has left.
    Leave {
        /// Name.
        name: String,
    },
}

/// A caller's call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Host that the caller named, in lower case.
    pub host: String,
    /// Path up to the job's id.
    pub path: String,
    /// Key, if one was presented.
    pub key: Option<String>,
    /// What is asked for.
    pub action: Action,
}

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Run a job.
    Submit(job::Key, Box<job::Submission>),
    /// Show the state of a job.
    Show(job::Key),
    /// Cancel a job.
    Cancel(job::Key),
    /// Count the jobs of the queue of which no task has started.
    CountPending,
}

/// Reply to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Accepted and durable, or in force.
    Done,
    /// State of a job.
    Phase(job::Phase),
    /// Jobs of a queue of which no task has started.
    Pending(u64),
    /// The operator's document.
    Document(Bytes),
    /// No such job.
    NoJob,
    /// No such queue.
    NoQueue,
    /// The key is not known.
    BadKey,
    /// The call is malformed or invalid; the sentence says why.
    Invalid(String),
    /// Not accepted and never run.
    Refused {
        /// Why, for the log and the caller.
        reason: Refusal,
        /// When the caller may try again.
        retry_after: Duration,
    },
    /// Whether it was accepted is not known.
    Unknown,
    /// The receiver does not lead.
    NotLeader,
}

/// Why a call was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// No leader can be reached, or it is not sure of its state.
    NoLeader,
    /// There is no configuration yet.
    NoConfiguration,
    /// The work cannot end in a useful time.
    Overload,
    /// No worker could ever run it.
    NoRoom,
}

impl Refusal {
    /// Short text for logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoLeader => "no leader",
            Self::NoConfiguration => "no configuration",
            Self::Overload => "overload",
            Self::NoRoom => "no room",
        }
    }
}
