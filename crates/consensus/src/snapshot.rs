//! Snapshots and their transfer in chunks. A transfer resumes after the last chunk that arrived.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::{log, membership};

/// Size limit of received snapshots in bytes. State at the target size is a few MiB; see `docs/CAPACITY.md`.
pub const MAX_SNAPSHOT_BYTES: u64 = 64 * 1024 * 1024;

/// State of the state machine at a log position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the last entry that is included in the state.
    pub position: log::Position,
    /// Membership at that position.
    pub membership: membership::Membership,
    /// Encoded state of the state machine.
    pub data: Bytes,
}

/// Identity of an encoded snapshot. Chunks with different labels are never combined.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Label {
    /// Position of the last entry that is included in the state.
    pub position: log::Position,
    /// Length of the encoded state in bytes.
    pub total: u64,
    /// Non-cryptographic hash of the encoded state.
    pub digest: u64,
}

/// A contiguous part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Identity of the snapshot.
    pub label: Label,
    /// Membership at the position of the snapshot.
    pub membership: membership::Membership,
    /// Offset of the first byte within the encoded state.
    pub offset: u64,
    /// Part of the encoded state; may be empty.
    pub data: Bytes,
}

impl Snapshot {
    /// Returns the identity of the snapshot.
    pub fn label(&self) -> Label {
        Label {
            position: self.position,
            total: self.data.len() as u64,
            digest: digest(&self.data),
        }
    }

    /// Returns the chunk of up to `bytes` bytes at an offset.
    pub(crate) fn chunk(&self, label: Label, offset: u64, bytes: usize) -> Chunk {
        let start = usize::try_from(offset).map_or(self.data.len(), |start| start.min(self.data.len()));
        let end = (start + bytes).min(self.data.len());
        Chunk {
            label,
            membership: self.membership.clone(),
            offset: start as u64,
            data: self.data.slice(start..end),
        }
    }
}

/// A partially received snapshot.
///
/// Invariant: `data` is a prefix of the snapshot identified by `label`.
#[derive(Debug, Clone)]
pub(crate) struct Partial {
    label: Label,
    data: BytesMut,
}

/// Result of adding a chunk.
#[derive(Debug, Clone)]
pub(crate) enum Progress {
    /// The snapshot is incomplete; holds the number of bytes received so far.
    More(u64),
    /// The complete snapshot.
    Complete(Snapshot),
    /// The received bytes do not match the digest; the transfer restarts.
    Corrupt,
}

impl Partial {
    /// Starts a transfer with no bytes received.
    pub(crate) fn new(label: Label) -> Self {
        Self {
            label,
            data: BytesMut::new(),
        }
    }

    /// Returns the identity of the snapshot.
    pub(crate) const fn label(&self) -> Label {
        self.label
    }

    /// Returns the number of bytes received.
    pub(crate) fn received(&self) -> u64 {
        self.data.len() as u64
    }

    /// Adds a chunk with the same label. Ignores the data of a chunk that does not continue the received prefix.
    pub(crate) fn add(&mut self, chunk: &Chunk) -> Progress {
        let fits =
            chunk.offset == self.received() && chunk.data.len() as u64 <= self.label.total - chunk.offset;
        if fits {
            self.data.extend_from_slice(&chunk.data);
        }
        if self.received() < self.label.total {
            return Progress::More(self.received());
        }
        if digest(&self.data) != self.label.digest {
            self.data.clear();
            return Progress::Corrupt;
        }
        Progress::Complete(Snapshot {
            position: self.label.position,
            membership: chunk.membership.clone(),
            data: std::mem::take(&mut self.data).freeze(),
        })
    }
}

/// Variant of FNV-1a over eight bytes at a time. It distinguishes two encodings; the store has its own checksums.
fn digest(data: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut words = data.chunks_exact(8);
    let mut hash = OFFSET;
    for word in &mut words {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(word);
        hash = (hash ^ u64::from_le_bytes(bytes)).wrapping_mul(PRIME);
        hash ^= hash >> 32;
    }
    for byte in words.remainder() {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    }
    hash
}
