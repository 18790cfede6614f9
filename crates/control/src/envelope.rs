//! Payload of the log entries of control groups.

use bronzespoke_model::id;
use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::error;

/// A command with its id and the time of its proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<C> {
    /// Id chosen by the sender. A resent command carries the same id and returns the outcome of the first one.
    pub id: Option<id::CommandId>,
    /// Wall time at which the leader proposed the command, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Command to apply.
    pub command: C,
}

impl<C> Envelope<C> {
    /// Returns an envelope without a command id.
    pub const fn new(at_ms: u64, command: C) -> Self {
        Self {
            id: None,
            at_ms,
            command,
        }
    }
}

/// Encodes the commands of one log entry.
pub fn encode<C: Serialize>(commands: &[Envelope<C>]) -> Bytes {
    to_bytes(&commands)
}

/// Encodes commands, in order, as log entries of at most `limit` bytes each. Returns each entry with its number of
/// commands.
///
/// A command that exceeds the limit on its own becomes a single entry, which the log refuses.
pub fn encode_within<C: Serialize>(commands: &[Envelope<C>], limit: usize) -> Vec<(Bytes, usize)> {
    let data = encode(commands);
    if data.len() <= limit || commands.len() <= 1 {
        return vec![(data, commands.len())];
    }
    let (first, second) = commands.split_at(commands.len() / 2);
    let mut entries = encode_within(first, limit);
    entries.extend(encode_within(second, limit));
    entries
}

/// Decodes the commands of one log entry.
pub fn decode<C: DeserializeOwned>(bytes: &[u8]) -> Result<Vec<Envelope<C>>, error::Error> {
    from_bytes(bytes)
}

pub(crate) fn to_bytes<T: Serialize + ?Sized>(value: &T) -> Bytes {
    postcard::to_stdvec(value)
        .expect("postcard encodes all control types")
        .into()
}

pub(crate) fn from_bytes<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, error::Error> {
    postcard::from_bytes(bytes).map_err(|error| error::Error::Format(error.to_string()))
}
