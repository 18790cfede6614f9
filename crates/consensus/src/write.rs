//! What a replica asks its store to make durable.

use bronzespoke_model::id;
use serde::{Deserialize, Serialize};

use crate::{log, snapshot};

/// Newest term that a replica has seen and its vote in that term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// Term.
    pub term: u64,
    /// Candidate that got the vote.
    pub candidate: Option<id::VmId>,
}

/// One change of the durable state. Writes are carried out in the order of their sequence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Number that `replica::Input::Persisted` returns; grows by one from 1.
    pub sequence: u64,
    /// What changes.
    pub kind: Kind,
}

/// What a write changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Replaces the vote.
    Vote(Vote),
    /// Removes all entries from the first one's index on, then appends. Never empty.
    Append {
        /// Consecutive entries.
        entries: Vec<log::Entry>,
        /// Commit index known at that time; a restart applies the log up to it at once.
        commit: u64,
    },
    /// Notes the commit index, so that a restart applies at least as much as before.
    Commit(u64),
    /// Stores a snapshot of own state and drops the entries before `first`, which may lie before the snapshot.
    Compact {
        /// Snapshot.
        snapshot: snapshot::Snapshot,
        /// Oldest index that stays.
        first: u64,
    },
    /// Stores a received snapshot and drops all entries.
    Install(snapshot::Snapshot),
}
