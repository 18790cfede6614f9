//! Messages between members of a group.
//!
//! Entries are sent without their index, which follows from the position before the first entry. This saves three to
//! four bytes per entry.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{log, snapshot};

/// A message between members. The enclosing frame identifies the group and the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Term of the sender; for a pre-vote, the term in which the sender would campaign.
    pub term: u64,
    /// Type and content of the message.
    pub body: Body,
}

/// Type and content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would grant a vote, without changing any term.
    PreVote {
        /// Position of the sender's last entry.
        last: log::Position,
    },
    /// Reply to `PreVote`. A rejection carries the voter's own term.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Position of the sender's last entry.
        last: log::Position,
        /// Whether the leader requested this election to transfer its leadership, which voids its lease.
        transfer: bool,
    },
    /// Reply to `Vote`.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries; without entries it is a heartbeat.
    Append(Append),
    /// Reply to `Append`.
    AppendReply(AppendReply),
    /// Transfers a chunk of a snapshot.
    Snapshot {
        /// Chunk; without data, it only queries how much has arrived.
        chunk: snapshot::Chunk,
        /// Send time on the leader's clock in microseconds, echoed in the reply.
        sent: u64,
    },
    /// Reply to `Snapshot`.
    SnapshotReply {
        /// Identity of the snapshot being transferred.
        label: snapshot::Label,
        /// Length of the received prefix in bytes.
        received: u64,
        /// Send time of the message that this replies to.
        sent: u64,
    },
    /// Asks the receiver to start an election immediately, without a pre-vote.
    TimeoutNow,
    /// Informs a former member that its removal is committed.
    Removed,
}

/// Entries to append, or a heartbeat if there are none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Position that immediately precedes the first entry.
    pub previous: log::Position,
    /// Consecutive entries after `previous`.
    pub entries: Vec<Item>,
    /// Commit index of the leader.
    pub commit: u64,
    /// Send time on the leader's clock in microseconds, echoed in the reply.
    pub sent: u64,
    /// Token of the newest reply that the leader has received from the receiver.
    pub token: u32,
    /// Age of the leader's state in microseconds, rounded up; `None` if its freshness is not known yet.
    pub age: Option<u64>,
}

/// An entry without its index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// A command; a separate variant because it is the common case.
    Command {
        /// Term of the entry.
        term: u64,
        /// Encoded command.
        data: Bytes,
    },
    /// Any other entry.
    Other {
        /// Term of the entry.
        term: u64,
        /// Content of the entry.
        payload: log::Payload,
    },
}

/// Reply to [`Append`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Whether the entries were accepted.
    pub outcome: Outcome,
    /// Send time of the message that this replies to.
    pub sent: u64,
    /// Identifies the send time of this reply on the follower's clock.
    pub token: u32,
}

/// Result of an [`Append`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The log matches the leader's.
    Accepted {
        /// Last index that matches and is durable.
        matched: u64,
    },
    /// The log has no entry at the previous position, or one of another term.
    Refused {
        /// Index of the previous position.
        previous: u64,
        /// Highest index at which the logs may match.
        hint: u64,
    },
}

impl Item {
    /// Returns the entry without its index.
    pub fn from_entry(entry: log::Entry) -> Self {
        let term = entry.position.term;
        match entry.payload {
            log::Payload::Command(data) => Self::Command { term, data },
            payload => Self::Other { term, payload },
        }
    }

    /// Returns the entry with the given index.
    pub fn into_entry(self, index: u64) -> log::Entry {
        let (term, payload) = match self {
            Self::Command { term, data } => (term, log::Payload::Command(data)),
            Self::Other { term, payload } => (term, payload),
        };
        log::Entry {
            position: log::Position { term, index },
            payload,
        }
    }
}
