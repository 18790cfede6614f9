//! Freshness of the applied state: the time up to which it is complete.
//!
//! A follower derives its freshness from heartbeats. A heartbeat carries the token of the newest reply that the leader
//! has received and the age of the leader's state. The follower subtracts the age from the time at which it sent that
//! reply, so delays only make the state look older.

use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of replies whose send times are recorded; enough for all that are in flight at one per heartbeat.
const MAX_TOKENS: usize = 64;
/// Maximum number of freshness values that wait for entries to be applied; further ones are dropped.
const MAX_WAITING: usize = 16;

/// Tracks the freshness of the applied state.
///
/// Invariant: `confirmed` never decreases.
#[derive(Debug)]
pub(crate) struct Tracker {
    confirmed: Option<Duration>,
    /// Freshness that the state reaches once it is applied up to an index.
    waiting: VecDeque<(u64, Duration)>,
    /// Tokens of recent replies with their send times, oldest first.
    tokens: VecDeque<(u32, Duration)>,
    next_token: u32,
}

impl Tracker {
    /// Returns a tracker with unknown freshness. The first token should be random, so that replies of an earlier
    /// process are not recognized.
    pub(crate) fn new(first_token: u32) -> Self {
        Self {
            confirmed: None,
            waiting: VecDeque::new(),
            tokens: VecDeque::new(),
            next_token: first_token,
        }
    }

    /// Returns the confirmed freshness of the applied state.
    pub(crate) const fn confirmed(&self) -> Option<Duration> {
        self.confirmed
    }

    /// Returns the token for a reply that is sent now, and records its send time.
    pub(crate) fn token(&mut self, now: Duration) -> u32 {
        self.next_token = self.next_token.wrapping_add(1);
        if self.tokens.len() >= MAX_TOKENS {
            self.tokens.pop_front();
        }
        self.tokens.push_back((self.next_token, now));
        self.next_token
    }

    /// Returns the send time of a reply if it is still recorded.
    pub(crate) fn sent_at(&self, token: u32) -> Option<Duration> {
        let found = self.tokens.iter().rev().find(|(known, _)| *known == token);
        found.map(|(_, sent_at)| *sent_at)
    }

    /// Records that the state up to `index` includes everything committed before `freshness`.
    pub(crate) fn record(&mut self, applied: u64, index: u64, freshness: Duration) {
        if index <= applied {
            self.confirmed = self.confirmed.max(Some(freshness));
        } else if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back((index, freshness));
        }
    }

    /// Confirms the freshness values whose entries are now applied.
    pub(crate) fn applied(&mut self, applied: u64) {
        while let Some((_, freshness)) = self.waiting.pop_front_if(|waiting| waiting.0 <= applied) {
            self.confirmed = self.confirmed.max(Some(freshness));
        }
    }
}
