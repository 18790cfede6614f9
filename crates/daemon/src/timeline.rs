//! Bounded ring of events of this process.
//!
//! The ring keeps the newest events. Numbers have no gaps, so a reader that finds a gap knows that events were
//! lost to the bound.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use bronzespoke_model::{event, stamp};

/// Events that the ring keeps; about 1 MiB.
pub const CAPACITY: usize = 8192;
/// Most events in one reading.
pub const MAX_READ: usize = 2000;

#[derive(Debug)]
struct Inner {
    clock: stamp::Clock,
    /// Number of the newest event; the first one has number 1.
    next: u64,
    events: VecDeque<event::Event>,
}

/// Ring shared by the control thread and traffic.
#[derive(Debug, Clone)]
pub struct Ring {
    process: Arc<str>,
    inner: Arc<Mutex<Inner>>,
}

/// Part of the ring.
#[derive(Debug, Clone)]
pub struct Page {
    /// Number of the oldest event that is kept.
    pub first: u64,
    /// Number of the last event read; the next reading starts after it.
    pub next: u64,
    /// Events in order.
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

    /// Records an event now.
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

    /// Returns the stamp for a message that is sent now.
    pub fn send_stamp(&self) -> stamp::Stamp {
        self.lock().clock.local(wall_micros())
    }

    /// Merges the stamp of a received message.
    pub fn receive_stamp(&self, remote: stamp::Stamp) {
        self.lock().clock.receive(wall_micros(), remote);
    }

    /// Returns at most `limit` events with numbers above `after`.
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
