//! Resource usage of each team, and its upper limit.

use std::collections::HashMap;

use bronzespoke_model::resource;
use bronzespoke_workload::catalog;

use crate::worker;

/// Amounts in use by team. A run counts from the proposal of its start until its end is confirmed.
#[derive(Debug, Default)]
pub struct Usage {
    teams: HashMap<String, resource::Amount>,
    /// Amount in use by runs without a team.
    unowned: resource::Amount,
}

impl Usage {
    /// Adds the amount of a run.
    pub fn add(&mut self, team: Option<&str>, size: resource::Amount) {
        let Some(team) = team else {
            self.unowned = worker::add(self.unowned, size);
            return;
        };
        match self.teams.get_mut(team) {
            Some(used) => *used = worker::add(*used, size),
            None => {
                self.teams.insert(String::from(team), size);
            }
        }
    }

    /// Removes the amount of a run.
    pub fn remove(&mut self, team: Option<&str>, size: resource::Amount) {
        let used = match team {
            Some(team) => self.teams.get_mut(team),
            None => Some(&mut self.unowned),
        };
        if let Some(used) = used {
            *used = used.saturating_sub(&size);
        }
    }

    /// Returns the amount that a team uses.
    pub fn used_by(&self, team: &str) -> resource::Amount {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Returns the amount that runs without a team use.
    pub const fn unowned(&self) -> resource::Amount {
        self.unowned
    }

    /// Returns the number of tasks of a size that a team may start now.
    pub fn tasks_allowed(
        &self,
        catalog: &catalog::Catalog,
        team: Option<&str>,
        size: resource::Amount,
    ) -> u32 {
        let Some(team) = team else { return u32::MAX };
        let limit = catalog.team(team).map(|team| team.limit);
        // A team that was removed from the configuration has no limit; its accepted jobs are completed.
        let Some(limit) = limit else { return u32::MAX };
        let used = self.used_by(team);
        let dimension = |limit: u32, used: u32, size: u32| match (limit, size) {
            (0, _) | (_, 0) => u32::MAX,
            _ => limit.saturating_sub(used) / size,
        };
        dimension(limit.cpu_milli, used.cpu_milli, size.cpu_milli)
            .min(dimension(limit.memory_mib, used.memory_mib, size.memory_mib))
            .min(dimension(
                limit.accelerators,
                used.accelerators,
                size.accelerators,
            ))
    }
}
