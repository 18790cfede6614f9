//! Table of the newest command ids with their first outcomes.

use std::collections::{HashMap, VecDeque};

use bronzespoke_model::id;
use serde::{Deserialize, Serialize};

use crate::memory;

/// Command ids that are remembered; the oldest is forgotten first.
pub const MAX_IDS: usize = 65_536;

/// The newest command ids and their first outcomes, oldest first.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(from = "Vec<(id::CommandId, O)>", into = "Vec<(id::CommandId, O)>")]
#[serde(bound(serialize = "O: Clone + Serialize", deserialize = "O: Deserialize<'de>"))]
pub struct Table<O> {
    order: VecDeque<id::CommandId>,
    outcomes: HashMap<id::CommandId, O>,
}

impl<O> Default for Table<O> {
    fn default() -> Self {
        Self {
            order: VecDeque::new(),
            outcomes: HashMap::new(),
        }
    }
}

impl<O> From<Vec<(id::CommandId, O)>> for Table<O> {
    fn from(entries: Vec<(id::CommandId, O)>) -> Self {
        let mut table = Self::default();
        for (id, outcome) in entries {
            table.insert(id, outcome);
        }
        table
    }
}

impl<O> From<Table<O>> for Vec<(id::CommandId, O)> {
    fn from(mut table: Table<O>) -> Self {
        let order = std::mem::take(&mut table.order);
        order
            .into_iter()
            .filter_map(|id| Some((id, table.outcomes.remove(&id)?)))
            .collect()
    }
}

impl<O> Table<O> {
    /// Returns the first outcome of a command id.
    pub fn get(&self, id: id::CommandId) -> Option<&O> {
        self.outcomes.get(&id)
    }

    /// Records the first outcome of a command id; a later outcome of the same id changes nothing.
    pub fn insert(&mut self, id: id::CommandId, outcome: O) {
        if self.outcomes.contains_key(&id) {
            return;
        }
        if self.order.len() == MAX_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
        self.order.push_back(id);
        self.outcomes.insert(id, outcome);
    }

    /// Returns the number of ids.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Tells whether there are no ids.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the estimated bytes of memory, without what the outcomes point to.
    pub(crate) fn memory(&self) -> usize {
        memory::map::<id::CommandId>(self.order.len())
            + memory::map::<(id::CommandId, O)>(self.outcomes.len())
    }

    /// Checks that the order and the outcomes name the same ids.
    pub fn verify(&self) -> Result<(), String> {
        let same = self.order.len() == self.outcomes.len()
            && self.order.iter().all(|id| self.outcomes.contains_key(id));
        if !same || self.order.len() > MAX_IDS {
            return Err(format!(
                "command ids: {} in order, {} with outcomes, at most {MAX_IDS}",
                self.order.len(),
                self.outcomes.len()
            ));
        }
        Ok(())
    }
}
