//! Serving side of the feed.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Content, Request, Response};
use crate::{log, message, snapshot};

/// Maximum bytes of entries or of snapshot data in one response.
const RESPONSE_BYTES: usize = 64 * 1024;

/// Recently applied entries and the latest snapshot.
///
/// Invariants: the entries are consecutive and end at `through`; the snapshot, if any, covers at least everything
/// before the first entry, so that every follower can be served.
#[derive(Debug)]
pub struct Source {
    entries: VecDeque<log::Entry>,
    bytes: usize,
    capacity: usize,
    through: u64,
    snapshot: Option<(snapshot::Snapshot, snapshot::Label)>,
}

impl Source {
    /// Returns an empty source that retains about `capacity` bytes of entries.
    pub const fn new(capacity: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            bytes: 0,
            capacity,
            through: 0,
            snapshot: None,
        }
    }

    /// Returns the index of the last entry or snapshot.
    pub const fn through(&self) -> u64 {
        self.through
    }

    /// Adds an applied entry. Ignores an entry that does not follow the last one.
    pub fn push(&mut self, entry: &log::Entry) {
        if entry.position.index != self.through + 1 {
            return;
        }
        self.through += 1;
        self.bytes += entry.payload.size();
        self.entries.push_back(entry.clone());
        self.trim();
    }

    /// Replaces the snapshot by one of the applied state, taken locally or received. Ignores it if it is not newer.
    pub fn install(&mut self, snapshot: snapshot::Snapshot) {
        let index = snapshot.position.index;
        if self
            .snapshot
            .as_ref()
            .is_some_and(|(held, _)| held.position.index >= index)
        {
            return;
        }
        if index > self.through {
            self.entries.clear();
            self.bytes = 0;
            self.through = index;
        }
        let label = snapshot.label();
        self.snapshot = Some((snapshot, label));
        self.trim();
    }

    /// Returns whether a new snapshot is needed to trim the entries to the capacity.
    pub const fn needs_snapshot(&self) -> bool {
        self.bytes > self.capacity
    }

    /// Responds to a request. `freshness` is that of the applied state, on the local clock.
    pub fn respond(&self, now: Duration, freshness: Option<Duration>, request: &Request) -> Response {
        let age = freshness.map(|freshness| now.saturating_sub(freshness).as_micros() as u64 + 1);
        let content = self.content(request);
        Response {
            token: request.token,
            through: self.through,
            age,
            content,
        }
    }

    fn content(&self, request: &Request) -> Content {
        let first = self.through + 1 - self.entries.len() as u64;
        if request.after >= self.through {
            return Content::Entries(Vec::new());
        }
        if request.after + 1 >= first {
            return Content::Entries(self.items((request.after + 1 - first) as usize));
        }
        let Some((snapshot, label)) = &self.snapshot else {
            return Content::Entries(Vec::new());
        };
        let offset = match request.partial {
            Some((held, received)) if held == *label => received,
            _ => 0,
        };
        Content::Chunk(snapshot.chunk(*label, offset, RESPONSE_BYTES))
    }

    fn items(&self, skip: usize) -> Vec<message::Item> {
        let mut items = Vec::new();
        let mut bytes = 0;
        for entry in self.entries.iter().skip(skip) {
            bytes += entry.payload.size();
            if bytes > RESPONSE_BYTES && !items.is_empty() {
                break;
            }
            items.push(message::Item::from_entry(entry.clone()));
        }
        items
    }

    /// Drops old entries that the snapshot covers until the rest fits the capacity.
    fn trim(&mut self) {
        let covered = self
            .snapshot
            .as_ref()
            .map_or(0, |(snapshot, _)| snapshot.position.index);
        while self.bytes > self.capacity {
            let Some(entry) = self.entries.pop_front_if(|entry| entry.position.index <= covered) else {
                return;
            };
            self.bytes -= entry.payload.size();
        }
    }
}
