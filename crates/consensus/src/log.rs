//! Entries and the part of the log that is held in memory.

use std::collections::VecDeque;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::membership;

/// Bytes that an entry costs besides its command, for the bounds on batches and queues.
const ENTRY_OVERHEAD_BYTES: usize = 8;

/// Place of an entry. The order (term first) is the order in which logs are compared in an election.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Term of the leader that wrote the entry.
    pub term: u64,
    /// Index from 1; 0 is the place before the first entry.
    pub index: u64,
}

/// What an entry says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader's term.
    Noop,
    /// A command of the state machine.
    Command(Bytes),
    /// The members from this entry on.
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
    /// Place in the log.
    pub position: Position,
    /// What it says.
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
    /// Returns the log of a restart. Entries may begin at or before the snapshot; a gap after it drops them.
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

    /// Position before the first held entry.
    pub(crate) const fn base(&self) -> Position {
        self.base
    }

    /// Position of the last entry.
    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |entry| entry.position)
    }

    /// Term at an index, if the index is the base or held.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// Entry at an index.
    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from an index on, at least one if there is one, then up to a number of bytes.
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

    /// First index of the term that the given index has.
    pub(crate) fn term_start(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base.index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Appends an entry that follows the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        assert_eq!(
            entry.position.index,
            self.last().index + 1,
            "entries are consecutive"
        );
        self.entries.push_back(entry);
    }

    /// Removes the entries from an index on.
    pub(crate) fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base.index + 1);
        self.entries.truncate(keep as usize);
    }

    /// Drops the entries before an index; that index becomes the first held one.
    pub(crate) fn compact(&mut self, first: u64) {
        while self.base.index + 1 < first {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.base = entry.position;
        }
    }

    /// Empties the log after a snapshot was installed.
    pub(crate) fn reset(&mut self, base: Position) {
        self.base = base;
        self.entries.clear();
    }

    /// Iterates over the held entries.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}
