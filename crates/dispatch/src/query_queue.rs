//! Queue of queries to the eligibility service.
//!
//! The service handles one query at a time from each VM, and a query about a wide job takes half a second. Queries are
//! therefore spread over all VMs, which act as proxies with one query each at a time, and some VMs are reserved for
//! short queries, so that these do not wait behind long ones. A query about many workers is split into parts that are
//! sent through several VMs at the same time.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_model::id;
use bronzespoke_workload::{catalog, directive, eligibility};
use bytes::Bytes;

/// Cost above which a query counts as long.
const LONG_QUERY: Duration = Duration::from_millis(100);
/// One VM in this many, and at least one, is not used for long queries.
const SHORT_ONLY_RATIO: usize = 4;
/// Maximum number of workers in one query; the additional time of a larger one exceeds the cost of splitting it.
const MAX_WORKERS_PER_QUERY: usize = 60;
/// Delay beyond the expected duration after which an answer is given up; covers the round trip to another region and a
/// busy VM.
const ANSWER_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);
/// Minimum remaining validity of a usable ticket: the maximum time until a start directive reaches its worker, which
/// is a commit across regions and the call.
const MIN_TICKET_VALIDITY: Duration = Duration::from_millis(250);
/// Pause after the service was busy or gave no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Whether a worker may run a step. Eligibility does not change, but tickets expire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Permit {
    /// The worker may not run the step.
    Denied,
    /// The worker may run the step with this ticket, which is valid until the given time.
    Ticket(Bytes, Duration),
    /// The worker may run the step, but a new ticket is needed.
    Expired,
}

/// Known eligibility of workers for a step.
#[derive(Debug, Default)]
pub struct Eligibility {
    /// Answer about each worker.
    permits: BTreeMap<cell::WorkerIndex, Permit>,
    /// Number of queries that are waiting or in flight.
    outstanding: usize,
    /// Time before which no query is sent.
    pub retry_at: Duration,
}

impl Eligibility {
    /// Returns the ticket of a worker if it is still valid for long enough.
    pub fn ticket(&self, worker: cell::WorkerIndex, now: Duration) -> Option<&Bytes> {
        match self.permits.get(&worker) {
            Some(Permit::Ticket(ticket, until)) if now + MIN_TICKET_VALIDITY < *until => Some(ticket),
            _ => None,
        }
    }

    /// Returns whether a worker may run the step and has a ticket that is still valid for long enough.
    pub fn is_permitted(&self, worker: cell::WorkerIndex, now: Duration) -> bool {
        self.ticket(worker, now).is_some()
    }

    /// Returns whether a worker is known to be ineligible.
    pub fn is_denied(&self, worker: cell::WorkerIndex) -> bool {
        matches!(self.permits.get(&worker), Some(Permit::Denied))
    }

    /// Returns whether a worker is known to be eligible, with or without a valid ticket.
    pub fn is_eligible(&self, worker: cell::WorkerIndex) -> bool {
        matches!(
            self.permits.get(&worker),
            Some(Permit::Ticket(..) | Permit::Expired)
        )
    }

    /// Returns the workers whose ticket is still valid for long enough.
    pub fn permitted(&self, now: Duration) -> impl Iterator<Item = cell::WorkerIndex> + '_ {
        let workers = self.permits.keys().copied();
        workers.filter(move |worker| self.is_permitted(*worker, now))
    }

    /// Returns the workers that are known to be eligible, with or without a valid ticket.
    pub fn eligible(&self) -> impl Iterator<Item = cell::WorkerIndex> + '_ {
        let workers = self.permits.keys().copied();
        workers.filter(|worker| self.is_eligible(*worker))
    }

    /// Returns whether a query is waiting or in flight.
    pub const fn is_outstanding(&self) -> bool {
        self.outstanding > 0
    }

    /// Returns the number of workers about which an answer has arrived.
    pub fn known_workers(&self) -> usize {
        self.permits.len()
    }

    /// Returns whether the eligibility of any worker is known.
    pub fn is_known(&self) -> bool {
        !self.permits.is_empty()
    }
}

#[derive(Debug)]
struct Waiting {
    workers: Vec<(cell::WorkerIndex, String)>,
    cost: Duration,
    valid: Duration,
}

#[derive(Debug)]
struct Sent {
    proxy: id::VmId,
    step: eligibility::Step,
    workers: Vec<(cell::WorkerIndex, String)>,
    at: Duration,
    give_up_at: Duration,
    valid: Duration,
}

/// A query that is assigned to a proxy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// VM through which the query is sent.
    pub proxy: id::VmId,
    /// Number of the query, repeated in its answer.
    pub number: u64,
    /// Query to send.
    pub query: eligibility::Query,
}

/// Queries that are waiting or in flight, and the answers so far.
#[derive(Debug, Default)]
pub struct Queue {
    proxies: BTreeMap<id::VmId, Option<u64>>,
    /// Parts of queries that are waiting.
    waiting: HashMap<eligibility::Step, Vec<Waiting>>,
    sent: BTreeMap<u64, Sent>,
    next_number: u64,
    steps: HashMap<eligibility::Step, Eligibility>,
}

/// Bits by which the term of the leader is shifted to get the first number of its queries.
const NUMBER_BITS: u32 = 32;

impl Queue {
    /// Returns an empty queue of a leader. Each term has its own numbers, so that a late answer to a query of an earlier
    /// term matches none.
    pub fn new(token: directive::Token) -> Self {
        Self {
            next_number: token << NUMBER_BITS,
            ..Self::default()
        }
    }

    /// Replaces the VMs that act as proxies.
    pub fn set_proxies(&mut self, proxies: &[id::VmId]) {
        self.proxies.retain(|proxy, _| proxies.contains(proxy));
        for proxy in proxies {
            self.proxies.entry(*proxy).or_default();
        }
    }

    /// Returns the known eligibility for a step.
    pub fn eligibility(&self, step: eligibility::Step) -> Option<&Eligibility> {
        self.steps.get(&step)
    }

    /// Removes a step and its waiting queries.
    pub fn remove(&mut self, step: eligibility::Step) {
        self.steps.remove(&step);
        self.waiting.remove(&step);
    }

    /// Invalidates the ticket of a worker that has refused it.
    pub fn invalidate_ticket(&mut self, step: eligibility::Step, worker: cell::WorkerIndex) {
        if let Some(known) = self.steps.get_mut(&step) {
            known.permits.insert(worker, Permit::Expired);
        }
    }

    /// Adds a query about a step unless one is waiting or in flight. Returns whether it was added.
    pub fn enqueue(
        &mut self,
        now: Duration,
        step: eligibility::Step,
        cost: &catalog::QueryCost,
        workers: Vec<(cell::WorkerIndex, String)>,
    ) -> bool {
        let known = self.steps.entry(step).or_default();
        if known.is_outstanding() || now < known.retry_at || workers.is_empty() {
            return false;
        }
        let mut parts = Vec::new();
        let mut remaining = workers;
        while !remaining.is_empty() {
            let later = remaining.split_off(remaining.len().min(MAX_WORKERS_PER_QUERY));
            parts.push(Waiting {
                cost: cost.decision + cost.per_worker * remaining.len() as u32,
                workers: std::mem::replace(&mut remaining, later),
                valid: cost.valid,
            });
        }
        // Parts are taken from the end, and the first part names the workers with the most room.
        parts.reverse();
        known.outstanding = parts.len();
        self.waiting.insert(step, parts);
        true
    }

    /// Times out overdue answers and assigns waiting queries to free VMs, in the order of `ranked`.
    pub fn assign(&mut self, now: Duration, ranked: &[eligibility::Step], out: &mut Vec<Assignment>) {
        self.expire_overdue(now);
        if self.waiting.is_empty() {
            return;
        }
        let short_only = (self.proxies.len() / SHORT_ONLY_RATIO).max(1);
        let max_long = self.proxies.len().saturating_sub(short_only);
        let mut long = self
            .sent
            .values()
            .filter(|sent| sent.give_up_at.saturating_sub(sent.at + ANSWER_TIMEOUT_MARGIN) > LONG_QUERY)
            .count();
        for step in ranked {
            while let Some(waiting) = self.waiting.get(step).and_then(|parts| parts.last()) {
                let is_long = waiting.cost > LONG_QUERY;
                if is_long && long >= max_long.max(1) {
                    break;
                }
                let free = self.proxies.iter().find(|(_, busy)| busy.is_none());
                let Some(proxy) = free.map(|(proxy, _)| *proxy) else {
                    return;
                };
                let Some(part) = self.next_part(*step) else { break };
                long += usize::from(is_long);
                out.push(self.send(now, proxy, *step, part));
            }
        }
    }

    fn send(&mut self, now: Duration, proxy: id::VmId, step: eligibility::Step, part: Waiting) -> Assignment {
        self.next_number += 1;
        let number = self.next_number;
        self.proxies.insert(proxy, Some(number));
        let workers = part.workers.iter().map(|(_, name)| name.clone()).collect();
        let sent = Sent {
            proxy,
            step,
            workers: part.workers,
            at: now,
            give_up_at: now + part.cost + ANSWER_TIMEOUT_MARGIN,
            valid: part.valid,
        };
        self.sent.insert(number, sent);
        Assignment {
            proxy,
            number,
            query: eligibility::Query { step, workers },
        }
    }

    fn next_part(&mut self, step: eligibility::Step) -> Option<Waiting> {
        let parts = self.waiting.get_mut(&step)?;
        let part = parts.pop();
        if parts.is_empty() {
            self.waiting.remove(&step);
        }
        part
    }

    fn expire_overdue(&mut self, now: Duration) {
        let overdue: Vec<u64> = self
            .sent
            .iter()
            .filter(|(_, sent)| now >= sent.give_up_at || !self.proxies.contains_key(&sent.proxy))
            .map(|(number, _)| *number)
            .collect();
        for number in overdue {
            self.record_answer(now, number, &eligibility::Answer::Failed);
        }
    }

    /// Records an answer; returns the step that it is about.
    pub fn record_answer(
        &mut self,
        now: Duration,
        number: u64,
        answer: &eligibility::Answer,
    ) -> Option<eligibility::Step> {
        let sent = self.sent.remove(&number)?;
        if let Some(busy) = self.proxies.get_mut(&sent.proxy)
            && *busy == Some(number)
        {
            *busy = None;
        }
        let known = self.steps.get_mut(&sent.step)?;
        known.outstanding = known.outstanding.saturating_sub(1);
        match answer {
            eligibility::Answer::Eligible { workers, valid } => {
                // A ticket may have been issued at any time after the query was sent, but only after the service made
                // its decision.
                let issued = sent.at.max(now.saturating_sub(ANSWER_TIMEOUT_MARGIN / 4));
                let until = issued + valid.unwrap_or(sent.valid);
                for (index, name) in &sent.workers {
                    let ticket = workers.iter().find(|(other, _)| other == name);
                    let permit = match ticket {
                        Some((_, ticket)) => Permit::Ticket(ticket.clone(), until),
                        None => Permit::Denied,
                    };
                    known.permits.insert(*index, permit);
                }
            }
            eligibility::Answer::Busy | eligibility::Answer::Failed => known.retry_at = now + RETRY_PAUSE,
        }
        Some(sent.step)
    }

    /// Returns the number of queries in flight.
    pub fn in_flight(&self) -> usize {
        self.sent.len()
    }
}
