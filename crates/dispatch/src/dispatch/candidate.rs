//! Selection of the workers that a step may use or has to query.
//!
//! A step with known eligibility looks at its permitted workers only. The other workers are read from the index of free
//! resources, those with the most room first, and only as many as a query names.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_model::resource;
use bronzespoke_workload::{catalog, job};

use super::{
    Dispatch, fleet,
    schedule::{Reserved, Subject, is_usable, task_id},
};
use crate::{
    pace::Pace,
    place::{self, Candidate},
    query_queue, worker,
};

/// Minimum number of workers in a query about a step, if there are as many.
const MIN_QUERIED_WORKERS: usize = 60;
/// Number of workers in a query for each member of a gang. On a fleet at 80% utilization, a third of the workers may
/// run a gang, and a third of these have room for a member.
const QUERIED_PER_MEMBER: usize = 8;
/// Minimum number of workers among which a task is placed, if there are as many: those with the least free processors
/// may differ in their other resources.
const MIN_CHOICE: usize = 32;
/// Maximum number of workers that the choice for a step looks at because of their speed.
const MAX_SPEEDS: usize = 512;
/// Pause before a step whose known workers have no room looks for further ones again.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);

impl Dispatch {
    /// Returns the workers that the first query about a step names, those with the most room first. Where workers differ in
    /// speed, those that suit the pace of the step come first.
    pub(super) fn query_candidates(
        &self,
        now: Duration,
        queue: &catalog::Queue,
        spec: &job::Step,
        pace: Option<&Pace>,
    ) -> Vec<(cell::WorkerIndex, String)> {
        let size = fleet::counted_size(spec);
        let count = query_size(spec);
        let label = spec.label.as_ref();
        let mut fitting = Vec::new();
        let mut unsuited = Vec::new();
        let mut full = Vec::new();
        for (number, index) in self.rooms.most_free(&queue.pool, 0).enumerate() {
            let Some(record) = self.workers.get(&index) else {
                continue;
            };
            let free = record.free();
            let named = fitting.len() + unsuited.len() + full.len();
            if fitting.len() == count
                || (free.cpu_milli < size.cpu_milli && named >= count)
                || (pace.is_some() && number >= MAX_SPEEDS)
            {
                break;
            }
            let suits = size.fits(&record.announced.room)
                && label.is_none_or(|label| record.announced.labels.contains(label));
            if !suits || !is_usable(record, now) || self.slow_factor(index, now).is_some() {
                continue;
            }
            let speed = self.speeds.of(index);
            if pace.is_some_and(|pace| pace.excludes(speed)) {
                continue;
            }
            let tasks = place::count(&free, &size);
            if tasks > 0 && pace.is_none_or(|pace| pace.prefers(speed)) {
                fitting.push((tasks, index));
            } else if tasks > 0 {
                unsuited.push((tasks, index));
            } else if full.len() < count {
                full.push((tasks, index));
            }
        }
        fitting.sort_by_key(|(tasks, _)| std::cmp::Reverse(*tasks));
        unsuited.sort_by_key(|(tasks, _)| std::cmp::Reverse(*tasks));
        let named = fitting.into_iter().chain(unsuited).chain(full).take(count);
        named.filter_map(|(_, index)| self.named_worker(index)).collect()
    }

    /// Returns a worker as a candidate if it may run the step as far as is known; with `fitting`, only if it has room
    /// for a task now.
    pub(super) fn candidate(
        &self,
        now: Duration,
        subject: &Subject<'_>,
        reserved: &Reserved,
        worker: cell::WorkerIndex,
        fitting: bool,
    ) -> Option<Candidate> {
        let record = self.workers.get(&worker)?;
        let announced = &record.announced;
        let free = record.free();
        if fitting && !subject.size.fits(&free) {
            return None;
        }
        let label = subject.spec.label.as_ref();
        let suits = announced.pool == subject.queue.pool
            && label.is_none_or(|label| announced.labels.contains(label))
            && is_usable(record, now);
        // Tasks that the worker can take without delaying the gang that it is reserved for.
        let beside_gang = reserved
            .workers
            .get(&worker)
            .map_or(u32::MAX, |hold| hold.allowed(&subject.size, subject.end(now)));
        let delays_gang = beside_gang == 0;
        let speed = self.speeds.of(worker);
        let excluded = subject.pace.is_some_and(|pace| pace.excludes(speed));
        if !suits || excluded || (subject.tier > 0 && delays_gang) {
            return None;
        }
        let near = subject.spec.near_rack.as_ref();
        let slots = slots(record, subject);
        Some(Candidate {
            worker,
            free,
            room: announced.room,
            slots: if subject.tier > 0 {
                slots.min(beside_gang)
            } else {
                slots
            },
            speed,
            remote: near.is_some_and(|rack| !announced.labels.contains(rack)),
            cold: record.is_cold(now),
            reserved: delays_gang,
        })
    }

    /// Returns the workers with room for which the step holds valid tickets.
    ///
    /// A step that waits for long comes to know most of the fleet, while few workers have room; a new step knows few, while
    /// many may have room. The smaller of the two sets is read.
    pub(super) fn permitted(
        &mut self,
        now: Duration,
        subject: &Subject<'_>,
        reserved: &Reserved,
    ) -> Vec<Candidate> {
        let Some(known) = self.queries.eligibility(subject.id) else {
            return Vec::new();
        };
        let with_room = self
            .rooms
            .most_free(&subject.queue.pool, subject.size.cpu_milli)
            .take(known.known_workers() + 1);
        let with_room: Vec<cell::WorkerIndex> = with_room.collect();
        let workers: Vec<cell::WorkerIndex> = if with_room.len() > known.known_workers() {
            known.permitted(now).collect()
        } else {
            with_room
        };
        let looked_at = workers.len() as u64;
        let permitted = workers
            .into_iter()
            .filter(|worker| known.is_permitted(*worker, now));
        let candidates = permitted
            .filter_map(|worker| self.candidate(now, subject, reserved, worker, true))
            .collect();
        self.work.workers += looked_at;
        candidates
    }

    /// Returns workers with room that are not known to be ineligible: those with the least room, and more than enough
    /// for `requested` tasks. If the rack matters, returns all of them.
    pub(super) fn possible(
        &mut self,
        now: Duration,
        subject: &Subject<'_>,
        requested: u32,
        reserved: &Reserved,
    ) -> Vec<Candidate> {
        let known = self.queries.eligibility(subject.id);
        let any_rack = subject.spec.near_rack.is_none() && !subject.spec.one_rack;
        let pace = subject.pace.as_ref();
        let mut room = 0_u32;
        let mut looked_at = 0;
        let mut candidates = Vec::new();
        for worker in self.rooms.least_free(&subject.queue.pool, subject.size.cpu_milli) {
            let is_enough = room >= requested && candidates.len() >= MIN_CHOICE;
            if any_rack && (is_enough || (pace.is_some() && candidates.len() >= MAX_SPEEDS)) {
                break;
            }
            looked_at += 1;
            if known.is_some_and(|known| known.is_denied(worker)) {
                continue;
            }
            if let Some(candidate) = self.candidate(now, subject, reserved, worker, true) {
                if pace.is_none_or(|pace| pace.prefers(candidate.speed)) {
                    room = room.saturating_add(candidate.fitting(&subject.size));
                }
                candidates.push(candidate);
            }
        }
        self.work.workers += looked_at;
        candidates
    }

    /// Queries the workers with room about which nothing is known, or whose ticket has expired, if the step fits with
    /// their room. `room` is the number of tasks for which there is room with valid tickets.
    pub(super) fn query_further(
        &mut self,
        now: Duration,
        subject: &Subject<'_>,
        cost: &catalog::QueryCost,
        needed: u32,
        room: u32,
        reserved: &Reserved,
    ) {
        let Some(known) = self.queries.eligibility(subject.id) else {
            return;
        };
        let is_paused = self
            .waiting
            .get(&subject.id)
            .is_some_and(|waiting| now < waiting.search_at);
        if known.is_outstanding() || is_paused {
            return;
        }
        let mut looked_at = 0;
        let mut missing = Vec::new();
        let mut total = room;
        let count = query_size(subject.spec);
        for worker in self.rooms.most_free(&subject.queue.pool, subject.size.cpu_milli) {
            if missing.len() == count {
                break;
            }
            looked_at += 1;
            if known.is_denied(worker) || known.is_permitted(worker, now) {
                continue;
            }
            if let Some(candidate) = self.candidate(now, subject, reserved, worker, true) {
                total = total.saturating_add(candidate.fitting(&subject.size));
                missing.push(candidate);
            }
        }
        self.work.workers += looked_at;
        if let Some(waiting) = self.waiting.get_mut(&subject.id) {
            waiting.search_at = now + SEARCH_PAUSE;
        }
        if total >= needed {
            self.enqueue_query(now, subject, cost, missing);
        }
    }

    /// Enqueues a query about workers, those with the most room first.
    pub(super) fn enqueue_query(
        &mut self,
        now: Duration,
        subject: &Subject<'_>,
        cost: &catalog::QueryCost,
        mut workers: Vec<Candidate>,
    ) {
        workers.sort_by_key(|candidate| {
            let suits = subject.pace.is_none_or(|pace| pace.prefers(candidate.speed));
            let room = (candidate.fitting(&subject.size), candidate.free.cpu_milli);
            std::cmp::Reverse((suits, room))
        });
        let queried = workers.into_iter().take(query_size(subject.spec));
        let workers = queried
            .filter_map(|candidate| self.named_worker(candidate.worker))
            .collect();
        self.queries.enqueue(now, subject.id, cost, workers);
    }

    /// Returns the index and name of a worker, as queries need them.
    pub(super) fn named_worker(&self, worker: cell::WorkerIndex) -> Option<(cell::WorkerIndex, String)> {
        let record = self.workers.get(&worker)?;
        Some((worker, record.incarnation.name.clone()))
    }

    /// Returns the number of tasks of a size that a team may start now.
    pub(super) fn allowed(&self, team: Option<&str>, size: resource::Amount) -> u32 {
        self.limits
            .as_ref()
            .map_or(u32::MAX, |catalog| self.usage.tasks_allowed(catalog, team, size))
    }
}

/// Returns whether no answer about the workers of a step has arrived.
pub(super) fn is_unknown(known: Option<&query_queue::Eligibility>) -> bool {
    known.is_none_or(|known| !known.is_known())
}

/// Returns the maximum number of workers in a query about a step.
pub(super) fn query_size(spec: &job::Step) -> usize {
    if spec.gang {
        MIN_QUERIED_WORKERS.max(spec.tasks as usize * QUERIED_PER_MEMBER)
    } else {
        MIN_QUERIED_WORKERS
    }
}

/// Returns the number of further tasks of the step that a worker may run.
fn slots(record: &worker::Worker, subject: &Subject<'_>) -> u32 {
    if subject.spec.per_worker == 0 {
        return u32::MAX;
    }
    let first = task_id(subject.id, 0);
    let last = task_id(subject.id, u32::MAX);
    let here = record.runs.range(first..=last).count() as u32;
    subject.spec.per_worker.saturating_sub(here)
}
