//! Snapshots, and their transfer in chunks that resume where the last one arrived.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::{log, membership};

/// Largest snapshot that is received. State of the target size is a few MiB; see `docs/CAPACITY.md`.
pub const MAX_SNAPSHOT_BYTES: u64 = 64 * 1024 * 1024;

/// State of the state machine after an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that is part of the state.
    pub position: log::Position,
    /// Members at that entry.
    pub membership: membership::Membership,
    /// Encoded state.
    pub data: Bytes,
}

/// Identity of a snapshot's bytes; chunks of different identities are never joined.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Label {
    /// Last entry that is part of the state.
    pub position: log::Position,
    /// Length of the encoded state in bytes.
    pub total: u64,
    /// Digest of the encoded state.
    pub digest: u64,
}

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The snapshot that it is part of.
    pub label: Label,
    /// Members at the snapshot.
    pub membership: membership::Membership,
    /// Place of the first byte.
    pub offset: u64,
    /// Bytes.
    pub data: Bytes,
}

impl Snapshot {
    /// Returns the identity.
    pub fn label(&self) -> Label {
        Label {
            position: self.position,
            total: self.data.len() as u64,
            digest: digest(&self.data),
        }
    }

    /// Returns the chunk at an offset.
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

/// A snapshot that is being received.
///
/// Invariant: `data` is the prefix of the snapshot named by `label`.
#[derive(Debug, Clone)]
pub(crate) struct Partial {
    label: Label,
    data: BytesMut,
}

/// Result of a received chunk.
#[derive(Debug, Clone)]
pub(crate) enum Progress {
    /// Bytes received so far.
    More(u64),
    /// The whole snapshot.
    Complete(Snapshot),
    /// The bytes do not match the label; the transfer starts again.
    Corrupt,
}

impl Partial {
    /// Returns an empty transfer.
    pub(crate) fn new(label: Label) -> Self {
        Self {
            label,
            data: BytesMut::new(),
        }
    }

    /// Identity of the snapshot.
    pub(crate) const fn label(&self) -> Label {
        self.label
    }

    /// Bytes received.
    pub(crate) fn received(&self) -> u64 {
        self.data.len() as u64
    }

    /// Adds a chunk of the same label. A chunk that does not continue the prefix changes nothing.
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

/// FNV-1a over eight bytes at a time. It tells two encodings apart; storage has its own checksums.
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
