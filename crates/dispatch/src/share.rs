//! Order of the teams whose work waits.

use std::collections::HashMap;

/// Position of each team among the teams of a priority.
#[derive(Debug, Default)]
pub struct Shares {
    positions: HashMap<String, u32>,
}

impl Shares {
    /// Replaces the positions of the teams.
    pub fn set(&mut self, positions: HashMap<String, u32>) {
        self.positions = positions;
    }

    /// Returns the position of a team's waiting work within its priority; smaller comes first.
    pub fn order(&self, team: Option<&str>) -> u32 {
        let position = team.and_then(|team| self.positions.get(team));
        position.copied().unwrap_or_default()
    }
}
