//! Bounded ring of events of this process.
//!
//! The ring keeps the newest events. Sequence numbers are consecutive, so a reader that finds a gap knows that events
//! were overwritten.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use bronzespoke_model::{event, stamp};

/// Number of events that the ring keeps; about 1 MiB.
pub const CAPACITY: usize = 8192;
/// Maximum number of events in one page.
pub const MAX_READ: usize = 2000;

#[derive(Debug)]
struct Inner {
    clock: stamp::Clock,
    /// Sequence number of the newest event; the first one has number 1.
    next: u64,
    events: VecDeque<event::Event>,
}

/// Ring shared by the control thread and the gateway.
#[derive(Debug, Clone)]
pub struct Ring {
    process: Arc<str>,
    inner: Arc<Mutex<Inner>>,
}

/// Consecutive events read from the ring.
#[derive(Debug, Clone)]
pub struct Page {
    /// Sequence number of the oldest event in the ring.
    pub first: u64,
    /// Sequence number of the last event read; the next page starts after it.
    pub next: u64,
    /// Events in order of their sequence numbers.
    pub events: Vec<event::Event>,
}

fn wall_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_micros() as u64)
}

impl Ring {
    /// Returns an empty ring for the process on the named VM.
    pub fn new(process: &str) -> Self {
        let inner = Inner {
            clock: stamp::Clock::default(),
            next: 0,
            events: VecDeque::new(),
        };
        Self {
            process: Arc::from(process),
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an event with the current time.
    pub fn record(&self, kind: event::Kind) {
        let mut inner = self.lock();
        let stamp = inner.clock.local(wall_micros());
        inner.next += 1;
        let sequence = inner.next;
        if inner.events.len() == CAPACITY {
            inner.events.pop_front();
        }
        let process = self.process.to_string();
        inner.events.push_back(event::Event {
            stamp,
            process,
            sequence,
            kind,
        });
    }

    /// Advances the clock and returns the stamp for a message to send.
    pub fn send_stamp(&self) -> stamp::Stamp {
        self.lock().clock.local(wall_micros())
    }

    /// Merges the stamp of a received message into the clock.
    pub fn receive_stamp(&self, remote: stamp::Stamp) {
        self.lock().clock.receive(wall_micros(), remote);
    }

    /// Returns at most `limit` events with sequence numbers above `after`.
    pub fn read(&self, after: u64, limit: usize) -> Page {
        let inner = self.lock();
        let first = inner.next - inner.events.len() as u64 + 1;
        let skip = after.saturating_add(1).saturating_sub(first) as usize;
        let events: Vec<_> = inner
            .events
            .iter()
            .skip(skip)
            .take(limit.min(MAX_READ))
            .cloned()
            .collect();
        let next = events.last().map_or(after, |event| event.sequence);
        Page { first, next, events }
    }
}
