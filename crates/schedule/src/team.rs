//! Teams: limits and shares.

use std::time::Duration;

use bronzespoke_model::resource;

use crate::lane;

/// A team.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) weight: u32,
    /// Upper limit over all availability zones.
    pub(crate) limit: resource::Amount,
    /// What this zone may use for the team.
    pub(crate) allotment: resource::Amount,
    /// Sum of the amounts of the team's runs, and what is promised.
    pub(crate) used: resource::Amount,
    /// Room of tasks of gangs that are being started.
    pub(crate) promised: resource::Amount,
    /// Part of `used` whose runs have been told to end.
    pub(crate) ending: resource::Amount,
    pub(crate) runs: u32,
    /// Decayed average of the dominant share at `past_at`.
    pub(crate) past: f64,
    pub(crate) past_at: Duration,
    /// Dominant share since `past_at`.
    pub(crate) share: f64,
    /// Order of turns; the lowest is next.
    pub(crate) key: u64,
    /// Waiting queues of each tier.
    pub(crate) lanes: [Vec<lane::Entry>; lane::TIERS],
    /// Whether a queue was passed over because of the part.
    pub(crate) limited: bool,
    /// Tasks that wait in the team's queues.
    pub(crate) waiting: u32,
    /// Retries that the team may still start, in thousandths.
    pub(crate) retries_milli: u32,
}

/// Share of a team's past usage in its key; the rest is its present share.
const PAST_WEIGHT: f64 = 0.5;

impl Record {
    /// Tells whether the team has waiting or running work.
    pub(crate) const fn is_active(&self) -> bool {
        self.waiting > 0 || self.runs > 0
    }

    /// Tells whether one more amount stays within the part.
    pub(crate) fn admits(&self, size: &resource::Amount) -> bool {
        self.used
            .checked_add(size)
            .is_some_and(|sum| sum.fits(&self.allotment))
    }

    /// Brings the decayed average and the key up to date.
    pub(crate) fn refresh(&mut self, now: Duration, decay: Duration, share: f64) {
        let elapsed = now.saturating_sub(self.past_at).as_secs_f64();
        let kept = (-elapsed / decay.as_secs_f64().max(1.0)).exp();
        self.past = self.past * kept + self.share * (1.0 - kept);
        self.past_at = now;
        self.share = share;
        let weighted = (share + PAST_WEIGHT * self.past) / f64::from(self.weight.max(1));
        self.key = weighted.to_bits();
    }
}
