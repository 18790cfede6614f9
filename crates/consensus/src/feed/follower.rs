//! Polling side of the feed.

use std::collections::VecDeque;
use std::time::Duration;

use bronzespoke_model::id;
use rand::{Rng, SeedableRng, rngs};

use super::{Content, Request, Response};
use crate::snapshot;

const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Late responses are still accepted, so this may be shorter than the slowest response. It bounds the delay that a lost
/// message causes; with 1 s, one loss delayed the follower by a second.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of times that the time-out is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;
/// Maximum number of requests whose responses are accepted; the oldest is dropped first.
const MAX_PENDING: usize = 16;
const CLOCK_DRIFT: f64 = 0.02;

/// Configuration of a follower.
#[derive(Debug, Clone)]
pub struct Config {
    /// Seed of the request tokens; must differ at each start of the process.
    pub seed: u64,
    /// Time between two requests while the follower is up to date.
    pub poll_interval: Duration,
    /// Time without a response after which another request is sent.
    pub request_timeout: Duration,
    /// Maximum difference between the rates of two monotonic clocks, as a fraction.
    pub clock_drift: f64,
}

impl Config {
    /// Returns the default configuration.
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            poll_interval: POLL_INTERVAL,
            request_timeout: REQUEST_TIMEOUT,
            clock_drift: CLOCK_DRIFT,
        }
    }
}

/// Event for a follower to process.
#[derive(Debug, Clone)]
pub enum Input {
    /// No event; runs due timers.
    Tick,
    /// A response arrived.
    Receive {
        /// Relay that sent it.
        from: id::VmId,
        /// Received response.
        response: Response,
    },
    /// The relay to poll was selected.
    Relay {
        /// Selected relay, or `None` if there is none.
        to: Option<id::VmId>,
    },
}

/// Action for the caller to perform before the next step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a request; it may be lost.
    Send {
        /// Relay to send it to.
        to: id::VmId,
        /// Request to send.
        request: Request,
    },
    /// Apply a committed entry. Indices are consecutive.
    Apply(crate::log::Entry),
    /// Replace the applied state by a snapshot.
    Install(snapshot::Snapshot),
    /// A request timed out; the caller may select another relay.
    TimedOut {
        /// Relay that did not respond in time.
        relay: id::VmId,
    },
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    token: u32,
    sent: Duration,
    after: u64,
}

/// Follows the committed entries of a group through a relay.
///
/// Invariant: neither `applied` nor `freshness` ever decreases.
#[derive(Debug)]
pub struct Follower {
    config: Config,
    rng: rngs::SmallRng,
    relay: Option<id::VmId>,
    /// Requests whose response is still accepted, oldest first.
    pending: VecDeque<Pending>,
    /// Time-outs since the last response, capped at [`MAX_BACKOFF_DOUBLINGS`].
    timeouts: u32,
    /// Whether the newest request has neither been answered nor timed out.
    waiting: bool,
    request_at: Duration,
    partial: Option<snapshot::Partial>,
    applied: u64,
    freshness: Option<Duration>,
}

impl Follower {
    /// Returns a follower with an empty state and no relay.
    pub fn new(config: Config, now: Duration) -> Self {
        let rng = rngs::SmallRng::seed_from_u64(config.seed);
        Self {
            config,
            rng,
            relay: None,
            pending: VecDeque::new(),
            timeouts: 0,
            waiting: false,
            request_at: now,
            partial: None,
            applied: 0,
            freshness: None,
        }
    }

    /// Processes an input and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::Receive { from, response } => self.receive(now, from, response, out),
            Input::Relay { to } => {
                if to != self.relay {
                    self.relay = to;
                    self.pending.clear();
                    self.waiting = false;
                    self.request_at = now;
                }
            }
        }
        self.expire(now, out);
        self.request(now, out);
    }

    /// Returns the time by which the follower must be stepped again.
    pub fn next_wake(&self) -> Duration {
        match self.pending.back() {
            Some(newest) if self.waiting => newest.sent + self.timeout(),
            _ => self.request_at,
        }
    }

    /// Returns the index of the last entry or snapshot that was output.
    pub const fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the relay that is polled.
    pub const fn relay(&self) -> Option<id::VmId> {
        self.relay
    }

    /// Returns the time on the local clock up to which the state is complete.
    pub const fn freshness(&self) -> Option<Duration> {
        self.freshness
    }

    /// Doubles with each time-out, so that a slow link is not filled with repeated responses.
    fn timeout(&self) -> Duration {
        self.config.request_timeout * (1 << self.timeouts)
    }

    fn expire(&mut self, now: Duration, out: &mut Vec<Output>) {
        let newest = self.pending.back().filter(|_| self.waiting);
        if newest.is_none_or(|newest| now < newest.sent + self.timeout()) {
            return;
        }
        self.waiting = false;
        self.timeouts = (self.timeouts + 1).min(MAX_BACKOFF_DOUBLINGS);
        self.request_at = now;
        if let Some(relay) = self.relay {
            out.push(Output::TimedOut { relay });
        }
    }

    fn request(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(to) = self.relay else {
            self.request_at = now + self.config.poll_interval;
            return;
        };
        if self.waiting || now < self.request_at {
            return;
        }
        let token = self.rng.random();
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(Pending {
            token,
            sent: now,
            after: self.applied,
        });
        self.waiting = true;
        let partial = self
            .partial
            .as_ref()
            .map(|partial| (partial.label(), partial.received()));
        out.push(Output::Send {
            to,
            request: Request {
                token,
                after: self.applied,
                partial,
            },
        });
    }

    fn receive(&mut self, now: Duration, from: id::VmId, response: Response, out: &mut Vec<Output>) {
        let place = self
            .pending
            .iter()
            .position(|pending| pending.token == response.token);
        let Some(place) = place.filter(|_| self.relay == Some(from)) else {
            return;
        };
        let pending = self.pending[place];
        let newest = place + 1 == self.pending.len();
        self.pending.drain(..=place);
        self.timeouts = 0;
        if newest {
            let more = !response.content.is_empty();
            self.waiting = false;
            self.request_at = if more {
                now
            } else {
                pending.sent + self.config.poll_interval
            };
        }
        match response.content {
            Content::Entries(items) => {
                for (index, item) in (pending.after + 1..).zip(items) {
                    // A response to an older request may repeat entries that a newer one delivered.
                    if index == self.applied + 1 {
                        self.applied = index;
                        out.push(Output::Apply(item.into_entry(index)));
                    }
                }
            }
            Content::Chunk(chunk) => self.receive_chunk(&chunk, out),
        }
        self.update_freshness(pending.sent, response.age, response.through);
    }

    fn receive_chunk(&mut self, chunk: &snapshot::Chunk, out: &mut Vec<Output>) {
        // A relay that lags behind must not revert the state of this follower.
        let older = chunk.label.position.index <= self.applied;
        if older || chunk.label.total > snapshot::MAX_SNAPSHOT_BYTES {
            return;
        }
        let mut partial = self
            .partial
            .take()
            .filter(|partial| partial.label() == chunk.label);
        let progress = partial
            .get_or_insert_with(|| snapshot::Partial::new(chunk.label))
            .add(chunk);
        match progress {
            snapshot::Progress::More(_) => self.partial = partial,
            snapshot::Progress::Corrupt => {}
            snapshot::Progress::Complete(snapshot) => {
                self.applied = snapshot.position.index;
                out.push(Output::Install(snapshot));
            }
        }
    }

    /// Subtracts the reported age from the send time of the request, so that delays only make the state look older.
    fn update_freshness(&mut self, sent: Duration, age: Option<u64>, through: u64) {
        let Some(age) = age else { return };
        let age = Duration::from_micros(age).mul_f64(1.0 + self.config.clock_drift);
        if self.applied >= through {
            self.freshness = self.freshness.max(sent.checked_sub(age));
        }
    }
}
