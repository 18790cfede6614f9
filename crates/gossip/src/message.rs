//! Gossip messages.

use bronzespoke_model::id;
use serde::{Deserialize, Serialize};

use crate::key;

/// Maximum bytes of entries in one message. Larger states are sent in several messages.
pub const MAX_ENTRIES_BYTES: usize = 32 * 1024;
/// Maximum number of digest entries, of deltas and of requests in one message.
pub const MAX_DIGEST_ENTRIES: usize = 1024;

/// Identifies the latest message received from the peer. The peer uses it to bound the age of what it receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Incarnation of the peer that sent that message.
    pub incarnation: id::Incarnation,
    /// Send time of that message on the peer's clock, in milliseconds.
    pub stamp_ms: u64,
    /// Time from the arrival of that message until this message was sent, in milliseconds, rounded down.
    pub held_ms: u32,
}

/// Digest of the sender's state of one origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    /// VM that published the entries.
    pub origin: id::VmId,
    /// Incarnation of the origin.
    pub incarnation: id::Incarnation,
    /// Version up to which the sender has the origin's entries.
    pub version: u64,
    /// Time since the origin confirmed that version as its latest, in milliseconds, rounded up.
    pub age_ms: u32,
}

/// Changes of the entries of one origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// VM that published the entries.
    pub origin: id::VmId,
    /// Incarnation of the origin.
    pub incarnation: id::Incarnation,
    /// Version on which the delta is based.
    pub after: u64,
    /// Version that the receiver reaches by applying the delta.
    pub through: u64,
    /// Version up to which tombstones were purged. A receiver that may have missed them needs the complete state.
    pub floor: u64,
    /// Entries in order of version: version relative to `after`, key, and value (`None` if removed).
    pub entries: Vec<(u64, key::Key, Option<key::Value>)>,
}

/// Request for the entries of one origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// VM that published the entries.
    pub origin: id::VmId,
    /// Incarnation of the origin.
    pub incarnation: id::Incarnation,
    /// Version up to which the sender has the origin's entries.
    pub known: u64,
    /// Version up to which the sender's state accounts for purged tombstones.
    pub floor: u64,
}

/// A gossip message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Incarnation of the sender.
    pub incarnation: id::Incarnation,
    /// Send time on the sender's clock, in milliseconds.
    pub stamp_ms: u64,
    /// Latest message that the sender received from the receiver, if any.
    pub echo: Option<Echo>,
    /// Whether the sender selected the link; the receiver then also sends on it.
    pub initiated: bool,
    /// Versions that the sender has, by origin.
    #[serde(rename = "lines")]
    pub digest: Vec<DigestEntry>,
    /// Entries that the receiver lacks, as far as the sender knows.
    pub deltas: Vec<Delta>,
    /// Origins whose entries the sender lacks.
    #[serde(rename = "wants")]
    pub requests: Vec<Request>,
}
