//! Reservation of workers for gangs.
//!
//! On a fleet that is nearly full of small tasks, every gap is immediately filled by another small task, so the room
//! for a wide gang never comes together. A gang that does not fit therefore reserves the workers on which enough room
//! is expected first. Until then they accept only work that is expected to end before.

use std::{collections::HashMap, time::Duration};

use bronzespoke_control::cell;
use bronzespoke_model::resource;
use bronzespoke_workload::eligibility;

use crate::worker;

/// Age after which a choice of workers is made again, since runs may end at other times than expected.
const MAX_CHOICE_AGE: Duration = Duration::from_millis(300);

/// Workers reserved for one gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Reserved workers.
    pub workers: Vec<cell::WorkerIndex>,
    /// Time at which enough room is expected.
    pub due: Duration,
    /// Time at which the choice was made.
    chosen: Duration,
}

/// Reservations of gangs, kept between scheduling passes so that the choice of workers is stable.
#[derive(Debug, Default)]
pub struct Reservations {
    gangs: HashMap<eligibility::Step, Choice>,
}

impl Reservations {
    /// Returns the choice of a gang if it is recent.
    pub fn recent(&self, step: eligibility::Step, now: Duration) -> Option<&Choice> {
        self.gangs
            .get(&step)
            .filter(|choice| now < choice.chosen + MAX_CHOICE_AGE)
    }

    /// Records the choice of a gang.
    pub fn insert(&mut self, step: eligibility::Step, choice: Choice) {
        self.gangs.insert(step, choice);
    }

    /// Removes the choice of a gang.
    pub fn remove(&mut self, step: eligibility::Step) {
        self.gangs.remove(&step);
    }
}

/// Returns the times at which a worker has room for one, two and more tasks of a size, at most `most` of them.
pub fn openings(
    record: &worker::Worker,
    free: resource::Amount,
    size: &resource::Amount,
    most: u32,
    now: Duration,
) -> Vec<Duration> {
    let mut ends: Vec<(Duration, resource::Amount)> = record
        .runs
        .values()
        .map(|run| (run.expected_end.max(now), run.size))
        .collect();
    ends.sort_unstable_by_key(|(end, _)| *end);
    let mut free = free;
    let mut openings = Vec::new();
    let mut grow = |free: &resource::Amount, at: Duration| {
        let count = crate::place::count(free, size).min(most) as usize;
        while openings.len() < count {
            openings.push(at);
        }
    };
    grow(&free, now);
    for (end, freed) in ends {
        free = worker::add(free, freed);
        grow(&free, end);
    }
    openings
}

/// Chooses the workers on which `requested` tasks have room first. Returns `None` if they never have.
pub fn choose(
    openings: Vec<(cell::WorkerIndex, Vec<Duration>)>,
    requested: u32,
    now: Duration,
) -> Option<Choice> {
    let mut all: Vec<(Duration, cell::WorkerIndex)> = openings
        .into_iter()
        .flat_map(|(worker, times)| times.into_iter().map(move |time| (time, worker)))
        .collect();
    all.sort_unstable();
    let requested = requested as usize;
    if all.len() < requested || requested == 0 {
        return None;
    }
    let due = all[requested - 1].0;
    let mut workers: Vec<_> = all[..requested].iter().map(|(_, worker)| *worker).collect();
    workers.sort_unstable();
    workers.dedup();
    Some(Choice {
        workers,
        due,
        chosen: now,
    })
}
