//! Distribution of committed entries to VMs that are not members of a group.
//!
//! A [`Follower`] polls a [`Source`], which runs on a root voter or on a relay that follows one. Each request states
//! what the follower already has and the response continues from there, so lost and duplicated messages are harmless.

mod follower;
mod relays;
mod source;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

pub use follower::{Config, Follower, Input, Output};
pub use relays::{Candidate, Relays};
pub use source::Source;

use crate::{log, message, snapshot};

/// Request for the entries committed after an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Identifies this request; echoed in the response.
    pub token: u32,
    /// Index of the last entry that the follower has.
    pub after: u64,
    /// Label of a partially received snapshot and the number of its bytes that the follower has.
    pub partial: Option<(snapshot::Label, u64)>,
}

/// Response to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// Token of the request that this responds to.
    pub token: u32,
    /// Index of the last entry that the source had applied.
    pub through: u64,
    /// Age of the source's state in microseconds, rounded up; `None` if its freshness is unknown.
    pub age: Option<u64>,
    /// Entries or snapshot data that continue the follower's state.
    pub content: Content,
}

/// Entries or snapshot data that continue the follower's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// Entries from index `after + 1` on; empty if the follower is up to date.
    Entries(Vec<message::Item>),
    /// Chunk of a snapshot, because the requested entries were compacted.
    Chunk(snapshot::Chunk),
}

impl Content {
    /// Returns whether there is no content, so that the next poll can wait for the regular interval.
    fn is_empty(&self) -> bool {
        matches!(self, Self::Entries(items) if items.is_empty())
    }
}

/// Returns the command of an entry, if it is a command entry.
pub fn command(entry: &log::Entry) -> Option<&Bytes> {
    match &entry.payload {
        log::Payload::Command(data) => Some(data),
        log::Payload::Noop | log::Payload::Membership(_) => None,
    }
}
