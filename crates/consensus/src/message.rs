//! Messages between members of a group.
//!
//! Entries travel without their index, which follows from the message; that saves three to four bytes each.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{log, snapshot};

/// A message. The frame around it names the group and the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Term of the sender; for a pre-vote, the term that the sender would start.
    pub term: u64,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether an election could be won, without changing any term.
    PreVote {
        /// Last entry of the sender.
        last: log::Position,
    },
    /// Answers a pre-vote. A refusal carries the voter's own term.
    PreVoteReply {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Last entry of the sender.
        last: log::Position,
        /// Whether the leader asked for this election, so that its lease is void.
        transfer: bool,
    },
    /// Answers a request for a vote.
    VoteReply {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Replicates entries; without entries it is a heartbeat.
    Append(Append),
    /// Answers `Append`.
    AppendReply(AppendReply),
    /// Transfers a part of a snapshot.
    Snapshot {
        /// Part.
        chunk: snapshot::Chunk,
        /// Leader's clock in microseconds, returned in the answer.
        sent: u64,
    },
    /// Answers `Snapshot`.
    SnapshotReply {
        /// Snapshot that the answer is about.
        label: snapshot::Label,
        /// Bytes received so far.
        received: u64,
        /// Clock value of the request.
        sent: u64,
    },
    /// Asks the receiver to start an election at once.
    TimeoutNow,
    /// Tells a former member that its removal is committed.
    Removed,
}

/// Entries, or a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Position before the first entry.
    pub previous: log::Position,
    /// Entries that follow.
    pub entries: Vec<Item>,
    /// Commit index of the leader.
    pub commit: u64,
    /// Leader's clock in microseconds, returned in the answer.
    pub sent: u64,
    /// Token of the newest answer that the leader has from the receiver.
    pub token: u32,
    /// Age of the leader's freshness in microseconds, rounded up.
    pub age: Option<u64>,
}

/// An entry without its index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// A command; the common case.
    Command {
        /// Term.
        term: u64,
        /// Command.
        data: Bytes,
    },
    /// Any other entry.
    Other {
        /// Term.
        term: u64,
        /// What it says.
        payload: log::Payload,
    },
}

/// Answer to `Append`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Outcome.
    pub outcome: Outcome,
    /// Clock value of the request.
    pub sent: u64,
    /// Names the instant of this answer on the sender's clock.
    pub token: u32,
}

/// Outcome of `Append`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The log agrees with the leader's and is durable up to an index.
    Accepted {
        /// That index.
        matched: u64,
    },
    /// The log does not hold the previous position.
    Refused {
        /// Index of that position.
        previous: u64,
        /// Index up to which the logs may agree.
        hint: u64,
    },
}

impl Item {
    /// Returns the item of an entry.
    pub fn from_entry(entry: log::Entry) -> Self {
        let term = entry.position.term;
        match entry.payload {
            log::Payload::Command(data) => Self::Command { term, data },
            payload => Self::Other { term, payload },
        }
    }

    /// Returns the entry at an index.
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
