//! Gangs that do not fit yet: their reserved workers, and the tickets that they need at their start.

use std::{collections::hash_map, time::Duration};

use bronzespoke_control::cell;

use super::{
    Dispatch, Event, Output,
    candidate::{is_unknown, query_size},
    event,
    schedule::{Reserved, Subject},
};
use crate::{place::Candidate, reserve, share};

/// A gang whose room is expected later than this queries further workers.
const LATE_GANG_DELAY: Duration = Duration::from_secs(1);
/// The tickets of the workers that are reserved for a gang are renewed this long before its room is expected; a query
/// takes about as long.
const TICKET_RENEWAL_LEAD: Duration = Duration::from_millis(900);

impl Dispatch {
    /// Reserves workers for a gang that does not fit yet: those on which room is expected first.
    pub(super) fn reserve(
        &mut self,
        now: Duration,
        subject: &Subject<'_>,
        requested: u32,
        reserved: &mut Reserved,
    ) {
        let is_open = subject.queue.advice.is_some() && is_unknown(self.queries.eligibility(subject.id));
        if reserved.workers.len() >= reserved.max || is_open {
            return;
        }
        if self.reservations.recent(subject.id, now).is_none() {
            self.choose_reserved(now, subject, requested, reserved);
        }
        if let Some(choice) = self.reservations.recent(subject.id, now) {
            for (worker, members) in &choice.workers {
                let Some(record) = self.workers.get(worker) else {
                    continue;
                };
                if reserved.workers.len() >= reserved.max {
                    break;
                }
                // On a full fleet, the next gangs need what is free beside this one.
                let hold = || {
                    if choice.is_sparse {
                        reserve::Hold::beside(record, &subject.size, *members, choice.due, now)
                    } else {
                        reserve::Hold::complete(choice.due)
                    }
                };
                match reserved.workers.entry(*worker) {
                    hash_map::Entry::Vacant(entry) => {
                        entry.insert(hold());
                    }
                    // The members fit beside those of another gang.
                    hash_map::Entry::Occupied(mut entry) => {
                        for _ in 0..*members {
                            entry.get_mut().take(&subject.size, None);
                        }
                    }
                }
            }
        }
        self.renew_tickets(now, subject);
    }

    /// Returns whether less than half of each resource of a pool is in use: a gang then waits for room on certain workers, and
    /// not for capacity.
    fn is_sparse(&mut self, pool: &str) -> bool {
        self.work.workers += self.workers.len() as u64;
        let mut free = share::Sum::default();
        let mut room = share::Sum::default();
        for record in self.workers.values() {
            if record.announced.pool == pool {
                share::add(&mut free, &share::times(record.free(), 1));
                share::add(&mut room, &share::times(record.announced.room, 1));
            }
        }
        free.iter()
            .zip(room)
            .all(|(free, room)| free * 2 > room || room == 0)
    }

    fn choose_reserved(&mut self, now: Duration, subject: &Subject<'_>, requested: u32, reserved: &Reserved) {
        let known = self.queries.eligibility(subject.id);
        let eligible: Vec<cell::WorkerIndex> = match (subject.queue.advice, known) {
            (None, _) => self.rooms.most_free(&subject.queue.pool, 0).collect(),
            (Some(_), Some(known)) => known.eligible().collect(),
            (Some(_), None) => Vec::new(),
        };
        self.work.workers += eligible.len() as u64;
        let openings = eligible
            .into_iter()
            .filter_map(|worker| {
                let candidate = self.unreserved(now, subject, reserved, worker)?;
                let record = self.workers.get(&worker)?;
                let most = candidate.slots;
                let times = reserve::openings(record, candidate.free, &subject.size, most, now);
                Some((worker, times))
            })
            .collect();
        let is_sparse = self.is_sparse(&subject.queue.pool);
        let choice = reserve::choose(openings, requested, is_sparse, now);
        let is_late = choice
            .as_ref()
            .is_none_or(|choice| choice.due > now + LATE_GANG_DELAY);
        match choice {
            Some(choice) => {
                let event = event::GangReserved {
                    step: subject.id,
                    workers: choice.workers.len(),
                    members: requested,
                    due: choice.due.saturating_sub(now),
                };
                if self.reservations.insert(subject.id, choice) {
                    self.outputs.push(Output::Event(Event::GangReserved(event)));
                }
            }
            None => self.reservations.remove(subject.id),
        }
        if let Some(cost) = subject.queue.advice.filter(|_| is_late) {
            let unknown = self.unknown(now, subject, reserved);
            self.enqueue_query(now, subject, &cost, unknown);
        }
    }

    /// Returns a worker as a candidate, whether or not it has room, unless it is reserved for another gang.
    fn unreserved(
        &self,
        now: Duration,
        subject: &Subject<'_>,
        reserved: &Reserved,
        worker: cell::WorkerIndex,
    ) -> Option<Candidate> {
        let candidate = self.candidate(now, subject, reserved, worker, false)?;
        (!candidate.reserved).then_some(candidate)
    }

    /// Returns workers whose eligibility is unknown, as many as a query names and those with the most room.
    fn unknown(&mut self, now: Duration, subject: &Subject<'_>, reserved: &Reserved) -> Vec<Candidate> {
        let known = self.queries.eligibility(subject.id);
        if known.is_some_and(crate::query_queue::Eligibility::is_outstanding) {
            return Vec::new();
        }
        let is_known =
            |worker| known.is_some_and(|known| known.is_denied(worker) || known.is_eligible(worker));
        let mut looked_at = 0;
        let mut unknown = Vec::new();
        for worker in self.rooms.most_free(&subject.queue.pool, 0) {
            if unknown.len() == query_size(subject.spec) {
                break;
            }
            looked_at += 1;
            if !is_known(worker) {
                unknown.extend(self.unreserved(now, subject, reserved, worker));
            }
        }
        self.work.workers += looked_at;
        unknown
    }

    /// Renews the tickets of the workers that are reserved for a gang shortly before it starts.
    fn renew_tickets(&mut self, now: Duration, subject: &Subject<'_>) {
        let Some(cost) = subject.queue.advice else { return };
        let (Some(choice), Some(known)) = (
            self.reservations.recent(subject.id, now),
            self.queries.eligibility(subject.id),
        ) else {
            return;
        };
        if now + TICKET_RENEWAL_LEAD < choice.due || known.is_outstanding() {
            return;
        }
        let until = choice.due.max(now) + TICKET_RENEWAL_LEAD;
        let lacks = |worker: &&cell::WorkerIndex| !known.is_permitted(**worker, until);
        let lacking = choice.workers.iter().map(|(worker, _)| worker).filter(lacks);
        let workers = lacking.filter_map(|worker| self.named_worker(*worker)).collect();
        self.queries.enqueue(now, subject.id, &cost, workers);
    }
}
