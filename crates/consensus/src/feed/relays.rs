//! Which member a follower asks.

use std::collections::BTreeMap;
use std::time::Duration;

use bronzespoke_model::{id, vm};

/// Unanswered requests in a row after which another relay is asked.
const MAX_TIMEOUTS: u32 = 3;
/// Time for which a relay that did not answer is avoided.
const TIMEOUT_AVOIDANCE: Duration = Duration::from_secs(10);
/// Age of a view from which on its relay is left. The view is honoured for 3 s, so that a poll interval and the way
/// to another region remain.
const STALE_AGE: Duration = Duration::from_millis(1_500);
/// A view above this age is not honoured any more, so that nothing is gained by leaving a slow relay early.
const MAX_USABLE_AGE: Duration = Duration::from_secs(3);
/// Time for which a relay with a stale view is avoided. It is short, because the view may be fresh after an election.
const STALE_AVOIDANCE: Duration = Duration::from_secs(2);

/// A member that may answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The member.
    pub vm: id::VmId,
    /// How far away it is.
    pub distance: vm::Distance,
}

/// The choice of a relay.
#[derive(Debug, Default)]
pub struct Relays {
    /// Requests that the relay left unanswered in a row.
    timeouts: u32,
    /// Relays that are avoided, and until when.
    avoided: BTreeMap<id::VmId, Duration>,
}

impl Relays {
    /// Notes that a relay did not answer in time; `freshness` is the freshness of the follower's state.
    pub fn record_timeout(&mut self, now: Duration, relay: id::VmId, freshness: Option<Duration>) {
        self.timeouts += 1;
        let age = freshness.map(|freshness| now.saturating_sub(freshness));
        let ageing = age.is_some_and(|age| (STALE_AGE..MAX_USABLE_AGE).contains(&age));
        if ageing || self.timeouts >= MAX_TIMEOUTS {
            self.timeouts = 0;
            self.avoided.insert(relay, now + TIMEOUT_AVOIDANCE);
        }
    }

    /// Notes an answer, with the age of the relay's own view in microseconds.
    pub fn record_response(&mut self, now: Duration, relay: id::VmId, age: Option<u64>) {
        self.timeouts = 0;
        if age.is_none_or(|age| Duration::from_micros(age) >= STALE_AGE) {
            self.avoided.insert(relay, now + STALE_AVOIDANCE);
        } else {
            self.avoided.remove(&relay);
        }
    }

    /// Chooses the nearest candidate; those that are avoided come last.
    pub fn select(&mut self, now: Duration, candidates: impl Iterator<Item = Candidate>) -> Option<id::VmId> {
        self.avoided.retain(|_, until| now < *until);
        let rank = |candidate: &Candidate| {
            let avoided = self.avoided.contains_key(&candidate.vm);
            (avoided, candidate.distance, candidate.vm)
        };
        candidates.min_by_key(rank).map(|candidate| candidate.vm)
    }
}
