//! Writes that a replica asks its store to make durable.

use bronzespoke_model::id;
use serde::{Deserialize, Serialize};

use crate::{log, snapshot};

/// Latest term that a replica has seen, and its vote in that term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// Latest term.
    pub term: u64,
    /// Candidate that received the vote, if any.
    pub candidate: Option<id::VmId>,
}

/// A change of the durable state. Writes are performed in order of their sequence numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Sequence number that `replica::Input::Persisted` refers to; starts at 1 and increases by one.
    pub sequence: u64,
    /// Change to make.
    pub kind: Kind,
}

/// Type and content of a write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Replaces the term and vote.
    Vote(Vote),
    /// Removes all entries from the index of the first new one on, then appends.
    Append {
        /// Consecutive entries; never empty.
        entries: Vec<log::Entry>,
        /// Commit index at the time of the write; after a restart the log is applied up to it immediately.
        commit: u64,
    },
    /// Stores the commit index, so that at least as many entries are applied after a restart as before it.
    Commit(u64),
    /// Stores a snapshot of the local state and drops the entries before `first`, which may precede the snapshot.
    Compact {
        /// Snapshot of the local state.
        snapshot: snapshot::Snapshot,
        /// Index of the oldest retained entry.
        first: u64,
    },
    /// Stores a snapshot received from the leader and drops all entries.
    Install(snapshot::Snapshot),
}
