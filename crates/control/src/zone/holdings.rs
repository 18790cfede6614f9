//! The zone's allotments of upper limits, and their use by running tasks.

use std::collections::BTreeMap;

use bronzespoke_model::{id, resource};
use serde::{Deserialize, Serialize};

use crate::escrow::Total;

/// Allotment of one team in the zone, and its use.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Cumulative counter of resources granted by the root group.
    pub granted: Total,
    /// Cumulative counter of resources released by the zone.
    pub released: Total,
    /// Sum of the declared sizes of the tasks under lease.
    pub used: Total,
}

impl Holding {
    /// Returns the amount that the team may use in the zone.
    pub fn allotment(&self) -> Total {
        self.granted.saturating_sub(&self.released)
    }

    /// Returns the unused rest of the allotment.
    pub fn free(&self) -> Total {
        self.allotment().saturating_sub(&self.used)
    }

    /// Returns the released counter that lowers the allotment to `target`, or to the amount in use if that is larger.
    pub fn release_to(&self, target: resource::Amount) -> Total {
        let surplus = self.allotment().saturating_sub(&self.used.max(&target.into()));
        self.released.saturating_add(&surplus)
    }
}

/// Holdings of all teams in the zone.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct Holdings {
    teams: BTreeMap<id::TeamId, Holding>,
}

impl Holdings {
    /// Returns the holding of a team.
    pub fn get(&self, team: id::TeamId) -> Holding {
        self.teams.get(&team).copied().unwrap_or_default()
    }

    /// Returns the holdings by team.
    pub fn iter(&self) -> impl Iterator<Item = (id::TeamId, &Holding)> {
        self.teams.iter().map(|(team, holding)| (*team, holding))
    }

    /// Raises a granted counter; a lower value has no effect.
    pub(super) fn set_granted(&mut self, team: id::TeamId, granted: &Total) {
        let holding = self.teams.entry(team).or_default();
        holding.granted = holding.granted.max(granted);
    }

    /// Raises a released counter. With `keep_used`, the counter is capped so that the allotment covers the amount in
    /// use.
    pub(super) fn release(&mut self, team: id::TeamId, released: &Total, keep_used: bool) {
        let holding = self.teams.entry(team).or_default();
        let max = if keep_used {
            holding.granted.saturating_sub(&holding.used)
        } else {
            holding.granted
        };
        holding.released = holding.released.max(&released.min(&max));
    }

    /// Adds the size of a run to the amount in use. With `check`, returns `false` when it does not fit the allotment.
    pub(super) fn start(&mut self, team: id::TeamId, size: resource::Amount, check: bool) -> bool {
        let holding = self.teams.entry(team).or_default();
        let used = holding.used.saturating_add(&size.into());
        if check && !used.fits(&holding.allotment()) {
            return false;
        }
        holding.used = used;
        true
    }

    /// Subtracts the size of a run from the amount in use.
    pub(super) fn end(&mut self, team: id::TeamId, size: resource::Amount) {
        let holding = self.teams.entry(team).or_default();
        holding.used = holding.used.saturating_sub(&size.into());
    }

    /// Checks that each allotment covers the amount in use, and that this amount is the sum of the runs, given by team.
    pub(super) fn verify(&self, used: &BTreeMap<id::TeamId, Total>) -> Result<(), String> {
        for (team, holding) in &self.teams {
            if !holding.released.fits(&holding.granted) {
                return Err(format!("team {team} released more than it was granted"));
            }
            if !holding.used.fits(&holding.allotment()) {
                return Err(format!("team {team} uses more than its allotment"));
            }
            if holding.used != used.get(team).copied().unwrap_or_default() {
                return Err(format!(
                    "the amount in use by team {team} is not the sum of its runs"
                ));
            }
        }
        if let Some(team) = used.keys().find(|team| !self.teams.contains_key(team)) {
            return Err(format!("runs of team {team} are not counted"));
        }
        Ok(())
    }
}
