//! Due times of the next occurrences of scheduled jobs.
//!
//! Each job has one entry, however often it is repeated.

use std::collections::{BTreeSet, HashMap};

use bronzespoke_workload::job;

/// Position of a job in its schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Position {
    /// Index of the next occurrence.
    next: u32,
    /// Its due time, if the job has an entry in the order of due times.
    due_ms: Option<u64>,
}

/// Next occurrences of scheduled jobs, by due time.
#[derive(Debug, Default)]
pub struct Calendar {
    positions: HashMap<job::Key, Position>,
    due: BTreeSet<(u64, job::Key)>,
}

impl Calendar {
    /// Returns the index of the next occurrence of a job; 0 if the job is not known.
    pub fn next(&self, key: job::Key) -> u32 {
        self.positions.get(&key).map_or(0, |position| position.next)
    }

    /// Returns whether a job waits for a due time.
    pub fn is_waiting(&self, key: job::Key) -> bool {
        let position = self.positions.get(&key);
        position.is_some_and(|position| position.due_ms.is_some())
    }

    /// Sets the next occurrence of a job. Without a due time, the job waits until it is set again.
    pub fn set(&mut self, key: job::Key, next: u32, due_ms: Option<u64>) {
        self.remove(key);
        self.positions.insert(key, Position { next, due_ms });
        self.due.extend(due_ms.map(|due_ms| (due_ms, key)));
    }

    /// Removes a job.
    pub fn remove(&mut self, key: job::Key) {
        let removed = self.positions.remove(&key);
        if let Some(due_ms) = removed.and_then(|position| position.due_ms) {
            self.due.remove(&(due_ms, key));
        }
    }

    /// Returns the job whose next occurrence is due first, if it is due at a wall-clock time.
    pub fn first_due(&self, wall_ms: u64) -> Option<job::Key> {
        let (due_ms, key) = self.due.first()?;
        (*due_ms <= wall_ms).then_some(*key)
    }
}
