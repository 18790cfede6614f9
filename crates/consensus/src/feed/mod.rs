//! Committed entries for VMs that are not members of a group.
//!
//! A [`Source`] on a root voter, or on a relay that follows one, answers polls; a [`Follower`] polls. A request names
//! what the follower has, an answer continues from there, so lost and repeated messages do no harm.

mod follower;
mod relays;
mod source;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

pub use follower::{Config, Follower, Input, Output};
pub use relays::{Candidate, Relays};
pub use source::Source;

use crate::{log, message, snapshot};

/// Asks for what was committed after an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Names this request; returned in the answer.
    pub token: u32,
    /// Last entry that the follower has.
    pub after: u64,
    /// Snapshot whose transfer has begun, and the bytes of it that the follower has.
    pub partial: Option<(snapshot::Label, u64)>,
}

/// Answers a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// Token of the request.
    pub token: u32,
    /// Last entry that the source had applied.
    pub through: u64,
    /// Age of the source's freshness in microseconds, rounded up; none if the source has no freshness.
    pub age: Option<u64>,
    /// What follows.
    pub content: Content,
}

/// What follows the entries that the follower has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// Entries from index `after + 1` on; empty if there is nothing new.
    Entries(Vec<message::Item>),
    /// The entries are gone; a part of a snapshot.
    Chunk(snapshot::Chunk),
}

impl Content {
    /// Tells whether a further request would bring more at once.
    fn is_empty(&self) -> bool {
        matches!(self, Self::Entries(items) if items.is_empty())
    }
}

/// Splits a command off an entry.
pub fn command(entry: &log::Entry) -> Option<&Bytes> {
    match &entry.payload {
        log::Payload::Command(data) => Some(data),
        log::Payload::Noop | log::Payload::Membership(_) => None,
    }
}
