//! Messages between VMs.

use bronzespoke_model::id;
use serde::{Deserialize, Serialize};

use crate::key;

/// Bytes of entries in one message. Larger states travel in several messages.
pub const MAX_ENTRIES_BYTES: usize = 32 * 1024;
/// Most lines or requests in one message.
pub const MAX_DIGEST_ENTRIES: usize = 1024;

/// The reception of the receiver's own latest message, from which it bounds the age of what it receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Life of the receiver that sent the message.
    pub incarnation: id::Incarnation,
    /// Stamp of that message, on the receiver's clock, in milliseconds.
    pub stamp_ms: u64,
    /// Time between that message's arrival and this message's departure, in milliseconds, rounded down.
    pub held_ms: u32,
}

/// What the sender knows of one origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    /// Origin.
    pub origin: id::VmId,
    /// Life of the origin.
    pub incarnation: id::Incarnation,
    /// Version through which the sender holds the origin's entries.
    pub version: u64,
    /// Time since the origin vouched for that version, in milliseconds, rounded up.
    pub age_ms: u32,
}

/// Entries of one origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Origin.
    pub origin: id::VmId,
    /// Life of the origin.
    pub incarnation: id::Incarnation,
    /// The delta builds on this version.
    pub after: u64,
    /// With the delta, the receiver holds the entries through this version.
    pub through: u64,
    /// Removals through this version are forgotten; a receiver that may have missed them starts from nothing.
    pub floor: u64,
    /// Version counted from `after`, key, and value or removal, in the order of versions.
    pub entries: Vec<(u64, key::Key, Option<key::Value>)>,
}

/// A request for entries of one origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Origin.
    pub origin: id::VmId,
    /// Life of the origin.
    pub incarnation: id::Incarnation,
    /// Version through which the sender holds the origin's entries.
    pub known: u64,
    /// Removals through this version are accounted for in what the sender holds.
    pub floor: u64,
}

/// A message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Life of the sender.
    pub incarnation: id::Incarnation,
    /// Time of departure on the sender's clock, in milliseconds.
    pub stamp_ms: u64,
    /// Reception of the receiver's latest message.
    pub echo: Option<Echo>,
    /// Whether the sender chose the link itself; the receiver then sends back on it.
    pub initiated: bool,
    /// Digest.
    #[serde(rename = "lines")]
    pub digest: Vec<DigestEntry>,
    /// Entries.
    pub deltas: Vec<Delta>,
    /// Requests.
    #[serde(rename = "wants")]
    pub requests: Vec<Request>,
}
