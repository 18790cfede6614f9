//! Limits, accounts and fair shares of teams.

use std::time::Duration;

use bronzespoke_model::resource;

use crate::lane;

/// Scheduler state of one team.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) weight: u32,
    /// Upper limit across all availability zones.
    pub(crate) limit: resource::Amount,
    /// Portion of the upper limit that this zone may use.
    pub(crate) allotment: resource::Amount,
    /// Sum of the amounts of the team's runs and of `launching_amount`.
    pub(crate) used: resource::Amount,
    /// Amount debited for gang tasks whose start has not been proposed yet.
    pub(crate) launching_amount: resource::Amount,
    /// Portion of `used` whose runs have been instructed to end.
    pub(crate) ending: resource::Amount,
    pub(crate) runs: u32,
    /// Exponentially decayed average of the dominant share at `past_at`.
    pub(crate) past: f64,
    pub(crate) past_at: Duration,
    /// Dominant share since `past_at`.
    pub(crate) share: f64,
    /// Fair-share key; the team with the lowest one is next. It is the bit pattern of a non-negative float, which sorts
    /// like the float.
    pub(crate) key: u64,
    /// Lanes of each tier.
    pub(crate) lanes: [Vec<lane::Entry>; lane::TIERS],
    /// Whether any lane is blocked by the allotment.
    pub(crate) limited: bool,
    /// Number of waiting tasks of the team.
    pub(crate) waiting: u32,
    /// Remaining retry budget, in thousandths of a retry.
    pub(crate) retries_milli: u32,
}

/// Weight of a team's past usage in its key, relative to its present share.
const PAST_WEIGHT: f64 = 0.5;

impl Record {
    /// Returns whether the team has waiting or running tasks.
    pub(crate) const fn is_active(&self) -> bool {
        self.waiting > 0 || self.runs > 0
    }

    /// Returns whether the allotment has room for another amount.
    pub(crate) fn admits(&self, size: &resource::Amount) -> bool {
        self.used
            .checked_add(size)
            .is_some_and(|sum| sum.fits(&self.allotment))
    }

    /// Updates the decayed average and the key.
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
