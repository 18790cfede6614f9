//! Log entries and the part of the log that is kept in memory.

use std::collections::VecDeque;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::membership;

/// Encoding overhead of an entry in addition to its command, used for the limits on batches and queues.
const ENTRY_OVERHEAD_BYTES: usize = 8;

/// Position of an entry in the log. Positions order by term, then by index, as elections compare logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// Index, starting at 1; 0 is the position before the first entry.
    pub index: u64,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Empty entry that a leader appends at the start of its term.
    Noop,
    /// Command for the state machine.
    Command(Bytes),
    /// Membership that takes effect when this entry is appended.
    Membership(membership::Membership),
}

impl Payload {
    /// Returns the approximate encoded size in bytes.
    pub fn size(&self) -> usize {
        let body = match self {
            Self::Noop => 0,
            Self::Command(data) => data.len(),
            Self::Membership(members) => members.size(),
        };
        body + ENTRY_OVERHEAD_BYTES
    }
}

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term and index of the entry.
    pub position: Position,
    /// Content of the entry.
    pub payload: Payload,
}

/// Consecutive entries after a base position.
///
/// Invariant: `entries[i].position.index == base.index + 1 + i`, and terms never decrease.
#[derive(Debug, Clone, Default)]
pub(crate) struct Log {
    base: Position,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Restores the log after a restart. Entries may begin at or before the snapshot; if there is a gap between the
    /// snapshot and the first entry, the entries are dropped.
    pub(crate) fn restore(snapshot: Position, entries: Vec<Entry>) -> Self {
        let Some(first) = entries.first().map(|entry| entry.position) else {
            return Self {
                base: snapshot,
                entries: VecDeque::new(),
            };
        };
        if first.index > snapshot.index + 1 {
            return Self {
                base: snapshot,
                entries: VecDeque::new(),
            };
        }
        let mut log = Self {
            base: Position::default(),
            entries: entries.into(),
        };
        if first.index == snapshot.index + 1 {
            log.base = snapshot;
        } else if first.index > 1 {
            // The term before the oldest entry is not stored, so that entry becomes the base.
            log.entries.pop_front();
            log.base = first;
        }
        if log.last().index < snapshot.index || log.term_at(snapshot.index) != Some(snapshot.term) {
            log.reset(snapshot);
        }
        log
    }

    /// Returns the position before the first retained entry.
    pub(crate) const fn base(&self) -> Position {
        self.base
    }

    /// Returns the position of the last entry.
    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |entry| entry.position)
    }

    /// Returns the term at an index if it is the base index or the entry is retained.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// Returns the entry at an index if it is retained.
    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns entries from an index on, limited to `bytes` in total but with at least one entry if there is any.
    pub(crate) fn slice(&self, from: u64, bytes: usize) -> Vec<Entry> {
        let mut taken = Vec::new();
        let mut size = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            size += entry.payload.size();
            if size > bytes && !taken.is_empty() {
                break;
            }
            taken.push(entry.clone());
            index += 1;
        }
        taken
    }

    /// Returns the first retained index with the same term as the entry at `index`.
    pub(crate) fn term_start(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base.index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Appends an entry.
    ///
    /// Panics if its index does not follow the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        assert_eq!(
            entry.position.index,
            self.last().index + 1,
            "entries are consecutive"
        );
        self.entries.push_back(entry);
    }

    /// Removes all entries from an index on.
    pub(crate) fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base.index + 1);
        self.entries.truncate(keep as usize);
    }

    /// Drops the entries before an index, which becomes the first retained one.
    pub(crate) fn compact(&mut self, first: u64) {
        while self.base.index + 1 < first {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.base = entry.position;
        }
    }

    /// Discards all entries after a snapshot was installed.
    pub(crate) fn reset(&mut self, base: Position) {
        self.base = base;
        self.entries.clear();
    }

    /// Iterates over the retained entries.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}
