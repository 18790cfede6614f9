//! What a log entry of a control group carries.

use bronzespoke_model::id;
use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::error;

/// A command with what every command has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<C> {
    /// Id chosen by the sender; a command that is sent again carries the same id and gets the first outcome.
    pub id: Option<id::CommandId>,
    /// Wall time in milliseconds since the Unix epoch, set by the leader when it proposes.
    pub at_ms: u64,
    /// What to do.
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

/// Encodes commands in order as log entries of at most `limit` bytes each; returns each with its count of commands.
///
/// A single command above the limit takes an entry of its own, which the log refuses.
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
        .expect("control types have no form that postcard refuses")
        .into()
}

pub(crate) fn from_bytes<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, error::Error> {
    postcard::from_bytes(bytes).map_err(|fault| error::Error::Format(fault.to_string()))
}
