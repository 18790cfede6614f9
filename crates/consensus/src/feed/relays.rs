//! Selection of the relay that a follower polls.

use std::collections::BTreeMap;
use std::time::Duration;

use bronzespoke_model::{id, vm};

/// Consecutive request time-outs after which another relay is selected.
const MAX_TIMEOUTS: u32 = 3;
/// Time for which a relay that did not respond is avoided.
const TIMEOUT_AVOIDANCE: Duration = Duration::from_secs(10);
/// Age of a view from which its relay is avoided. A view may be used for up to 3 s, so this leaves time for a poll
/// interval and a round trip to another region.
const STALE_AGE: Duration = Duration::from_millis(1_500);
/// Age from which a view is not used any more, so that avoiding a slow relay early has no benefit.
const MAX_USABLE_AGE: Duration = Duration::from_secs(3);
/// Time for which a relay with a stale view is avoided. It is short because an election may make the view fresh again.
const STALE_AVOIDANCE: Duration = Duration::from_secs(2);

/// A member that may serve as a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// VM of the member.
    pub vm: id::VmId,
    /// Network distance from the follower.
    pub distance: vm::Distance,
}

/// State of the relay selection.
#[derive(Debug, Default)]
pub struct Relays {
    /// Consecutive requests that timed out.
    timeouts: u32,
    /// Relays to avoid, with the end of the avoidance.
    avoided: BTreeMap<id::VmId, Duration>,
}

impl Relays {
    /// Records that a request to a relay timed out. `freshness` is that of the follower's state.
    pub fn record_timeout(&mut self, now: Duration, relay: id::VmId, freshness: Option<Duration>) {
        self.timeouts += 1;
        let age = freshness.map(|freshness| now.saturating_sub(freshness));
        let ageing = age.is_some_and(|age| (STALE_AGE..MAX_USABLE_AGE).contains(&age));
        if ageing || self.timeouts >= MAX_TIMEOUTS {
            self.timeouts = 0;
            self.avoided.insert(relay, now + TIMEOUT_AVOIDANCE);
        }
    }

    /// Records a response, with the age of the relay's own view in microseconds.
    pub fn record_response(&mut self, now: Duration, relay: id::VmId, age: Option<u64>) {
        self.timeouts = 0;
        if age.is_none_or(|age| Duration::from_micros(age) >= STALE_AGE) {
            self.avoided.insert(relay, now + STALE_AVOIDANCE);
        } else {
            self.avoided.remove(&relay);
        }
    }

    /// Selects the nearest candidate; relays to avoid rank last.
    pub fn select(&mut self, now: Duration, candidates: impl Iterator<Item = Candidate>) -> Option<id::VmId> {
        self.avoided.retain(|_, until| now < *until);
        let rank = |candidate: &Candidate| {
            let avoided = self.avoided.contains_key(&candidate.vm);
            (avoided, candidate.distance, candidate.vm)
        };
        candidates.min_by_key(rank).map(|candidate| candidate.vm)
    }
}
