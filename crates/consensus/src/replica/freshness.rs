//! Freshness of the applied state: an instant before which nothing is missing from it.
//!
//! A follower learns its freshness from heartbeats. A heartbeat names the newest answer that the leader has; the age
//! that it carries is counted back from the instant of that answer, so delays only make the state look older.

use std::collections::VecDeque;
use std::time::Duration;

/// Answers whose instants are remembered; more are never outstanding at one heartbeat interval.
const MAX_TOKENS: usize = 64;
/// Instants that wait for their entries to be applied; further ones are skipped.
const MAX_WAITING: usize = 16;

/// Freshness of the applied state.
///
/// Invariant: `confirmed` never goes back.
#[derive(Debug)]
pub(crate) struct Tracker {
    confirmed: Option<Duration>,
    waiting: VecDeque<(u64, Duration)>,
    tokens: VecDeque<(u32, Duration)>,
    next_token: u32,
}

impl Tracker {
    /// Returns an unknown freshness. The first token is random, so that answers of an earlier process are not known.
    pub(crate) fn new(first_token: u32) -> Self {
        Self {
            confirmed: None,
            waiting: VecDeque::new(),
            tokens: VecDeque::new(),
            next_token: first_token,
        }
    }

    /// Newest confirmed freshness.
    pub(crate) const fn confirmed(&self) -> Option<Duration> {
        self.confirmed
    }

    /// Names an answer that is sent now.
    pub(crate) fn token(&mut self, now: Duration) -> u32 {
        self.next_token = self.next_token.wrapping_add(1);
        if self.tokens.len() >= MAX_TOKENS {
            self.tokens.pop_front();
        }
        self.tokens.push_back((self.next_token, now));
        self.next_token
    }

    /// Instant of an answer.
    pub(crate) fn instant(&self, token: u32) -> Option<Duration> {
        let found = self.tokens.iter().rev().find(|(known, _)| *known == token);
        found.map(|(_, instant)| *instant)
    }

    /// Notes that the state up to an index holds everything committed before an instant.
    pub(crate) fn record(&mut self, applied: u64, index: u64, freshness: Duration) {
        if index <= applied {
            self.confirmed = self.confirmed.max(Some(freshness));
        } else if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back((index, freshness));
        }
    }

    /// Confirms the instants whose entries are applied.
    pub(crate) fn applied(&mut self, applied: u64) {
        while let Some((_, freshness)) = self.waiting.pop_front_if(|waiting| waiting.0 <= applied) {
            self.confirmed = self.confirmed.max(Some(freshness));
        }
    }
}
