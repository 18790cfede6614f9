//! Decides which connections of operators are closed. It has no I/O; the listener reports what its connections do.

use std::{collections::BTreeMap, time::Duration};

/// Number of a connection, in the order of acceptance.
pub type Id = u64;

/// Limits on connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum time without a request.
    pub idle: Duration,
    /// Maximum time from the first byte of a request to its last one.
    pub request: Duration,
    /// Maximum time in which a client reads nothing of its response.
    pub response: Duration,
}

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It has no request.
    Idle,
    /// A request is being received or waits for its turn.
    Request,
    /// A request is being executed; the connection stays open until there is a response.
    Serving,
    /// The client is reading a response.
    Response,
}

#[derive(Debug)]
struct Place {
    phase: Phase,
    begun: Duration,
    progress: Duration,
}

/// Open connections.
#[derive(Debug)]
pub struct Places {
    limits: Limits,
    next: Id,
    open: BTreeMap<Id, Place>,
}

impl Places {
    /// Returns a table without connections.
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            next: 0,
            open: BTreeMap::new(),
        }
    }

    /// Adds a connection; returns `None` if all places are taken.
    pub fn open(&mut self, now: Duration) -> Option<Id> {
        if self.open.len() >= self.limits.connections {
            return None;
        }
        let id = self.next;
        self.next += 1;
        let place = Place {
            phase: Phase::Idle,
            begun: now,
            progress: now,
        };
        self.open.insert(id, place);
        Some(id)
    }

    /// Removes a connection.
    pub fn close(&mut self, id: Id) {
        self.open.remove(&id);
    }

    /// Returns what a connection does.
    pub fn phase(&self, id: Id) -> Option<Phase> {
        self.open.get(&id).map(|place| place.phase)
    }

    /// Begins a phase.
    pub fn begin(&mut self, now: Duration, id: Id, phase: Phase) {
        if let Some(place) = self.open.get_mut(&id) {
            place.phase = phase;
            place.begun = now;
            place.progress = now;
        }
    }

    /// Records that the client has sent or read something.
    pub fn advance(&mut self, now: Duration, id: Id) {
        if let Some(place) = self.open.get_mut(&id) {
            place.progress = now;
        }
    }

    /// Returns the connection that gives up its place for a new one: the one without progress for longest. Requests that
    /// are being executed are never cut.
    pub fn displaced(&self) -> Option<Id> {
        self.longest_stalled(|phase| phase != Phase::Serving)
    }

    /// Returns the connection that gives up its response for one that cannot begin without memory.
    pub fn displaced_response(&self) -> Option<Id> {
        self.longest_stalled(|phase| phase == Phase::Response)
    }

    fn longest_stalled(&self, eligible: impl Fn(Phase) -> bool) -> Option<Id> {
        let places = self.open.iter().filter(|(_, place)| eligible(place.phase));
        places.min_by_key(|(_, place)| place.progress).map(|(id, _)| *id)
    }

    /// Returns the connections whose time is over.
    pub fn overdue(&self, now: Duration) -> Vec<Id> {
        let is_overdue = |place: &Place| {
            let (since, limit) = match place.phase {
                Phase::Idle => (place.progress, self.limits.idle),
                Phase::Request => (place.begun, self.limits.request),
                Phase::Serving => return false,
                Phase::Response => (place.progress, self.limits.response),
            };
            now.saturating_sub(since) > limit
        };
        let places = self.open.iter().filter(|(_, place)| is_overdue(place));
        places.map(|(id, _)| *id).collect()
    }
}
