//! The answering side of the feed.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Content, Request, Response};
use crate::{log, message, snapshot};

/// Bytes of entries or of a snapshot in one answer.
const RESPONSE_BYTES: usize = 64 * 1024;

/// Recently applied entries and the newest snapshot.
///
/// Invariants: the entries are consecutive and end at `through`; the snapshot, if any, reaches at least to the
/// entry before the first one, so that every follower can be served.
#[derive(Debug)]
pub struct Source {
    entries: VecDeque<log::Entry>,
    bytes: usize,
    capacity: usize,
    through: u64,
    snapshot: Option<(snapshot::Snapshot, snapshot::Label)>,
}

impl Source {
    /// Returns an empty source that keeps entries of about `capacity` bytes.
    pub const fn new(capacity: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            bytes: 0,
            capacity,
            through: 0,
            snapshot: None,
        }
    }

    /// Last entry.
    pub const fn through(&self) -> u64 {
        self.through
    }

    /// Adds an applied entry. Entries that are not the next one change nothing.
    pub fn push(&mut self, entry: &log::Entry) {
        if entry.position.index != self.through + 1 {
            return;
        }
        self.through += 1;
        self.bytes += entry.payload.size();
        self.entries.push_back(entry.clone());
        self.trim();
    }

    /// Takes a snapshot of the applied state, made here or received. An older one than the newest changes nothing.
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

    /// Tells whether a new snapshot is needed to stay within the capacity.
    pub const fn needs_snapshot(&self) -> bool {
        self.bytes > self.capacity
    }

    /// Answers a request. `freshness` is the freshness of the applied state on the local clock.
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

    /// Drops old entries that the snapshot covers.
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
