//! Cancellations of jobs that do not exist.
//!
//! The reply to such a cancellation says that there is no job, and the caller takes it as final. The submission may still
//! be under way: at a daemon that holds it until the next leader is known, in the network, or behind the cancellation at
//! the leader. It is therefore refused for as long as a copy of it may arrive.

use std::collections::BTreeMap;

use bronzespoke_workload::job;
use serde::{Deserialize, Serialize};

/// Maximum number of cancellations that are remembered, expired ones included. Each takes less than 100 bytes.
const MAX_ENTRIES: usize = 1 << 15;
/// Recorded cancellations after which the expired ones are removed.
const PRUNE_INTERVAL: u32 = 256;

/// Cancelled jobs of which no submission was recorded, by the team that cancelled them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Withdrawn {
    /// Wall time in milliseconds since the Unix epoch until which submissions are refused.
    until_ms: BTreeMap<(job::Key, Option<String>), u64>,
    since_pruned: u32,
}

impl Withdrawn {
    /// Records a cancellation; returns whether there is room for it.
    pub(super) fn record(&mut self, at_ms: u64, key: job::Key, team: Option<String>, keep_ms: u64) -> bool {
        self.since_pruned += 1;
        if self.since_pruned >= PRUNE_INTERVAL || self.until_ms.len() >= MAX_ENTRIES {
            self.since_pruned = 0;
            self.until_ms.retain(|_, until_ms| at_ms < *until_ms);
        }
        let id = (key, team);
        if self.until_ms.len() >= MAX_ENTRIES && !self.until_ms.contains_key(&id) {
            return false;
        }
        let until_ms = self.until_ms.entry(id).or_default();
        *until_ms = (*until_ms).max(at_ms.saturating_add(keep_ms));
        true
    }

    /// Returns the wall time until which a submission is refused, if it is refused at `at_ms`. A job without a team may be
    /// cancelled by every caller, others by their own team.
    pub(super) fn until(&self, at_ms: u64, key: job::Key, team: Option<&str>) -> Option<u64> {
        let of_key = self.until_ms.range((key, None)..);
        let of_key = of_key.take_while(|((other, _), _)| *other == key);
        let applicable = of_key.filter(|((_, by), _)| team.is_none() || by.as_deref() == team);
        let latest = applicable.map(|(_, until_ms)| *until_ms).max()?;
        (at_ms < latest).then_some(latest)
    }
}
