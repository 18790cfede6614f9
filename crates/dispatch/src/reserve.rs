//! Reservation of workers for gangs.
//!
//! On a fleet that is nearly full of small tasks, every gap is immediately filled by another small task, so the room
//! for a wide gang never comes together. A gang that does not fit therefore reserves the workers on which enough room
//! is expected first. Until then they accept only work that is expected to end before or, while less than half of the
//! pool is in use, that fits beside the gang.
//!
//! Tasks that last never make room. A gang that fits only without them reserves nothing, so that it keeps no other work
//! from free capacity.

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
    /// Reserved workers with the number of members that each is to run, in the order in which room is expected.
    pub workers: Vec<(cell::WorkerIndex, u32)>,
    /// Time at which enough room is expected.
    pub due: Duration,
    /// Whether so much of the pool is free that other work may run beside the gang.
    pub is_sparse: bool,
    /// Time at which the choice was made.
    chosen: Duration,
}

/// Room of a reserved worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// Time at which the gang is expected to start.
    pub due: Duration,
    /// Resources that are free at that time beside the members of the gang.
    pub spare: resource::Amount,
}

impl Hold {
    /// Returns the hold of a worker that takes only work that ends before the gang starts.
    pub const fn complete(due: Duration) -> Self {
        Self {
            due,
            spare: resource::Amount::ZERO,
        }
    }

    /// Returns the hold of a worker that also takes what fits beside the members of the gang.
    pub fn beside(
        record: &worker::Worker,
        size: &resource::Amount,
        members: u32,
        due: Duration,
        now: Duration,
    ) -> Self {
        let ended = record.runs.values();
        let ended = ended.filter(|run| run.projected_end(now).is_some_and(|end| end <= due));
        let free = ended.fold(record.free(), |free, run| worker::add(free, run.size));
        let spare = (0..members).fold(free, |free, _| free.saturating_sub(size));
        Self { due, spare }
    }

    /// Returns how many tasks of a size may start without delaying the gang. `end` is their expected end; `None` if they
    /// last.
    pub fn allowed(&self, size: &resource::Amount, end: Option<Duration>) -> u32 {
        if end.is_some_and(|end| end <= self.due) {
            u32::MAX
        } else {
            crate::place::count(&self.spare, size)
        }
    }

    /// Subtracts a task that has started.
    pub fn take(&mut self, size: &resource::Amount, end: Option<Duration>) {
        if end.is_none_or(|end| end > self.due) {
            self.spare = self.spare.saturating_sub(size);
        }
    }
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

    /// Records the choice of a gang; returns whether the gang had none.
    pub fn insert(&mut self, step: eligibility::Step, choice: Choice) -> bool {
        self.gangs.insert(step, choice).is_none()
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
        .filter_map(|run| Some((run.projected_end(now)?, run.size)))
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
    is_sparse: bool,
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
    let mut workers: Vec<(cell::WorkerIndex, u32)> = Vec::new();
    let mut positions = HashMap::new();
    for (_, worker) in &all[..requested] {
        let position = *positions.entry(*worker).or_insert(workers.len());
        if position == workers.len() {
            workers.push((*worker, 0));
        }
        workers[position].1 += 1;
    }
    Some(Choice {
        workers,
        due,
        is_sparse,
        chosen: now,
    })
}
