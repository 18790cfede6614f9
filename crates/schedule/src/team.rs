//! Limits, accounts and fair shares of teams.

use std::time::Duration;

use bronzespoke_model::resource;
use bronzespoke_share::{order, past};

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
    /// Dominant share and its decayed average.
    pub(crate) past: past::Average,
    /// Fair-share key; the team with the lowest one is next.
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
        self.past.update(now, decay, share);
        self.key = order::key(share, self.past.value(), f64::from(self.weight.max(1)));
    }
}
