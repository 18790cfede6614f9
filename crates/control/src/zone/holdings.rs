//! The zone's allotments of upper limits, and what each team uses of them.

use std::collections::BTreeMap;

use bronzespoke_model::{id, resource};
use serde::{Deserialize, Serialize};

use crate::escrow::Total;

/// What one team has in the zone.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Cumulative counter of what the root group granted.
    pub granted: Total,
    /// Cumulative counter of what the zone released.
    pub released: Total,
    /// Declared size of the tasks under lease.
    pub used: Total,
}

impl Holding {
    /// Returns what the team may use in the zone.
    pub fn allotment(&self) -> Total {
        self.granted.saturating_sub(&self.released)
    }

    /// Returns what the team may start in addition.
    pub fn free(&self) -> Total {
        self.allotment().saturating_sub(&self.used)
    }

    /// Returns the released counter that brings the allotment down to a target, as far as nothing in use is released.
    pub fn release_to(&self, target: resource::Amount) -> Total {
        let surplus = self.allotment().saturating_sub(&self.used.max(&target.into()));
        self.released.saturating_add(&surplus)
    }
}

/// What all teams have in the zone.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct Holdings {
    teams: BTreeMap<id::TeamId, Holding>,
}

impl Holdings {
    /// Returns what a team has.
    pub fn get(&self, team: id::TeamId) -> Holding {
        self.teams.get(&team).copied().unwrap_or_default()
    }

    /// Returns what each team has.
    pub fn iter(&self) -> impl Iterator<Item = (id::TeamId, &Holding)> {
        self.teams.iter().map(|(team, holding)| (*team, holding))
    }

    /// Takes over a granted counter.
    pub(super) fn granted(&mut self, team: id::TeamId, granted: &Total) {
        let holding = self.teams.entry(team).or_default();
        holding.granted = holding.granted.max(granted);
    }

    /// Grows a released counter as far as the allotment still covers what is used.
    pub(super) fn release(&mut self, team: id::TeamId, released: &Total, keep_used: bool) {
        let holding = self.teams.entry(team).or_default();
        let most = if keep_used {
            holding.granted.saturating_sub(&holding.used)
        } else {
            holding.granted
        };
        holding.released = holding.released.max(&released.min(&most));
    }

    /// Adds a run; `false` when it does not fit the allotment.
    pub(super) fn start(&mut self, team: id::TeamId, size: resource::Amount, check: bool) -> bool {
        let holding = self.teams.entry(team).or_default();
        let used = holding.used.saturating_add(&size.into());
        if check && !used.fits(&holding.allotment()) {
            return false;
        }
        holding.used = used;
        true
    }

    /// Removes a run.
    pub(super) fn end(&mut self, team: id::TeamId, size: resource::Amount) {
        let holding = self.teams.entry(team).or_default();
        holding.used = holding.used.saturating_sub(&size.into());
    }

    /// Checks that each allotment covers what is used, and that the use is that of the runs.
    pub(super) fn verify(&self, used: &BTreeMap<id::TeamId, Total>) -> Result<(), String> {
        for (team, holding) in &self.teams {
            if !holding.released.fits(&holding.granted) {
                return Err(format!("team {team} released more than it was granted"));
            }
            if !holding.used.fits(&holding.allotment()) {
                return Err(format!("team {team} uses more than its allotment"));
            }
            if holding.used != used.get(team).copied().unwrap_or_default() {
                return Err(format!("use of team {team} is not that of its runs"));
            }
        }
        if let Some(team) = used.keys().find(|team| !self.teams.contains_key(team)) {
            return Err(format!("runs of team {team} are not counted"));
        }
        Ok(())
    }
}
