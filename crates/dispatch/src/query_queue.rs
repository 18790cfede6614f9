//! Questions to the eligibility service.
//!
//! Answers the load that the service itself limits: it takes one question at a time from each VM, and a question about
//! a wide job takes half a second. The questions are spread over all VMs, each VM carries one at a time, and some VMs
//! are kept free of long questions, so that short ones do not wait behind them. A question about many workers is split, and
//! its parts are asked through several VMs at the same time.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_model::id;
use bronzespoke_workload::{advice, catalog};
use bytes::Bytes;

/// A question that takes longer counts as long.
const LONG_QUESTION: Duration = Duration::from_millis(100);
/// One VM in this many, and one at least, takes no long questions.
const SHORT_ONLY_SHARE: usize = 4;
/// Workers that one question names at most; a larger one takes longer than the splitting costs.
const WORKERS_PER_QUESTION: usize = 60;
/// An answer that is later than expected by this much is given up; covers the way to another region and a busy VM.
const ANSWER_SLACK: Duration = Duration::from_millis(800);
/// Time that a start order may take to its worker while its ticket must stay valid: a commit over regions and the call.
const TICKET_RESERVE: Duration = Duration::from_millis(250);
/// Pause after the service was busy or gave no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Whether a worker may run a step. Eligibility does not change; tickets run out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Permit {
    /// It may not.
    Denied,
    /// It may, with this ticket until a time.
    Ticket(Bytes, Duration),
    /// It may, but a ticket has to be asked for.
    Expired,
}

/// What is known about who may run a step.
#[derive(Debug, Default)]
pub struct Eligibility {
    /// What was answered about each worker.
    known: HashMap<cell::WorkerIndex, Permit>,
    /// Questions that wait or are under way.
    outstanding: usize,
    /// No question before this time.
    pub retry_at: Duration,
}

impl Eligibility {
    /// Returns the ticket of a worker, if it may still be used.
    pub fn ticket(&self, worker: cell::WorkerIndex, now: Duration) -> Option<&Bytes> {
        match self.known.get(&worker) {
            Some(Permit::Ticket(ticket, until)) if now + TICKET_RESERVE < *until => Some(ticket),
            _ => None,
        }
    }

    /// Whether a worker may run the step and has a ticket that may still be used.
    pub fn is_permitted(&self, worker: cell::WorkerIndex, now: Duration) -> bool {
        self.ticket(worker, now).is_some()
    }

    /// Whether a worker was asked about and may not run the step.
    pub fn is_denied(&self, worker: cell::WorkerIndex) -> bool {
        matches!(self.known.get(&worker), Some(Permit::Denied))
    }

    /// Whether a worker was asked about and may run the step, with or without a ticket that may still be used.
    pub fn is_eligible(&self, worker: cell::WorkerIndex) -> bool {
        matches!(
            self.known.get(&worker),
            Some(Permit::Ticket(..) | Permit::Expired)
        )
    }

    /// Whether a question waits or is under way.
    pub const fn is_outstanding(&self) -> bool {
        self.outstanding > 0
    }

    /// Whether any worker was asked about.
    pub fn is_known(&self) -> bool {
        !self.known.is_empty()
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
    step: advice::Step,
    workers: Vec<(cell::WorkerIndex, String)>,
    at: Duration,
    give_up_at: Duration,
    valid: Duration,
}

/// A question to send through a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// VM that asks.
    pub proxy: id::VmId,
    /// Number that its answer carries.
    pub number: u64,
    /// Question.
    pub query: advice::Query,
}

/// Questions that wait or are under way, and what was answered.
#[derive(Debug, Default)]
pub struct Queue {
    proxies: BTreeMap<id::VmId, Option<u64>>,
    /// Parts of questions that wait.
    waiting: HashMap<advice::Step, Vec<Waiting>>,
    sent: BTreeMap<u64, Sent>,
    next_number: u64,
    steps: HashMap<advice::Step, Eligibility>,
}

impl Queue {
    /// Replaces the VMs that may ask.
    pub fn set_proxies(&mut self, proxies: &[id::VmId]) {
        self.proxies.retain(|proxy, _| proxies.contains(proxy));
        for proxy in proxies {
            self.proxies.entry(*proxy).or_default();
        }
    }

    /// What is known about a step.
    pub fn eligibility(&self, step: advice::Step) -> Option<&Eligibility> {
        self.steps.get(&step)
    }

    /// Forgets a step.
    pub fn remove(&mut self, step: advice::Step) {
        self.steps.remove(&step);
        self.waiting.remove(&step);
    }

    /// Forgets the ticket of a worker, which has refused it.
    pub fn invalidate_ticket(&mut self, step: advice::Step, worker: cell::WorkerIndex) {
        if let Some(known) = self.steps.get_mut(&step) {
            known.known.insert(worker, Permit::Expired);
        }
    }

    /// Wants a question about a step unless one waits or is under way. Returns whether it was added.
    pub fn enqueue(
        &mut self,
        now: Duration,
        step: advice::Step,
        cost: &catalog::Advice,
        workers: Vec<(cell::WorkerIndex, String)>,
    ) -> bool {
        let known = self.steps.entry(step).or_default();
        if known.is_outstanding() || now < known.retry_at || workers.is_empty() {
            return false;
        }
        let mut parts = Vec::new();
        let mut rest = workers;
        while !rest.is_empty() {
            let later = rest.split_off(rest.len().min(WORKERS_PER_QUESTION));
            parts.push(Waiting {
                cost: cost.decision + cost.per_worker * rest.len() as u32,
                workers: std::mem::replace(&mut rest, later),
                valid: cost.valid,
            });
        }
        // Parts are taken from the end, and the first one names the workers with the most room.
        parts.reverse();
        known.outstanding = parts.len();
        self.waiting.insert(step, parts);
        true
    }

    /// Gives up late answers and hands waiting questions to free VMs, in the order of `ranked`.
    pub fn assign(&mut self, now: Duration, ranked: &[advice::Step], out: &mut Vec<Assignment>) {
        self.expire_overdue(now);
        if self.waiting.is_empty() {
            return;
        }
        let short_only = (self.proxies.len() / SHORT_ONLY_SHARE).max(1);
        let most_long = self.proxies.len().saturating_sub(short_only);
        let mut long = self
            .sent
            .values()
            .filter(|sent| sent.give_up_at.saturating_sub(sent.at + ANSWER_SLACK) > LONG_QUESTION)
            .count();
        for step in ranked {
            while let Some(waiting) = self.waiting.get(step).and_then(|parts| parts.last()) {
                let is_long = waiting.cost > LONG_QUESTION;
                if is_long && long >= most_long.max(1) {
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

    fn send(&mut self, now: Duration, proxy: id::VmId, step: advice::Step, part: Waiting) -> Assignment {
        self.next_number += 1;
        let number = self.next_number;
        self.proxies.insert(proxy, Some(number));
        let workers = part.workers.iter().map(|(_, name)| name.clone()).collect();
        let sent = Sent {
            proxy,
            step,
            workers: part.workers,
            at: now,
            give_up_at: now + part.cost + ANSWER_SLACK,
            valid: part.valid,
        };
        self.sent.insert(number, sent);
        Assignment {
            proxy,
            number,
            query: advice::Query { step, workers },
        }
    }

    fn next_part(&mut self, step: advice::Step) -> Option<Waiting> {
        let parts = self.waiting.get_mut(&step)?;
        let part = parts.pop();
        if parts.is_empty() {
            self.waiting.remove(&step);
        }
        part
    }

    fn expire_overdue(&mut self, now: Duration) {
        let late: Vec<u64> = self
            .sent
            .iter()
            .filter(|(_, sent)| now >= sent.give_up_at || !self.proxies.contains_key(&sent.proxy))
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            self.record_answer(now, number, &advice::Answer::Failed);
        }
    }

    /// Takes an answer; returns the step that it is about.
    pub fn record_answer(
        &mut self,
        now: Duration,
        number: u64,
        answer: &advice::Answer,
    ) -> Option<advice::Step> {
        let sent = self.sent.remove(&number)?;
        if let Some(busy) = self.proxies.get_mut(&sent.proxy)
            && *busy == Some(number)
        {
            *busy = None;
        }
        let known = self.steps.get_mut(&sent.step)?;
        known.outstanding = known.outstanding.saturating_sub(1);
        match answer {
            advice::Answer::Eligible { workers, valid } => {
                // A ticket may have been issued at any time since the question was sent off; the decision itself
                // comes before it.
                let issued = sent.at.max(now.saturating_sub(ANSWER_SLACK / 4));
                let until = issued + valid.unwrap_or(sent.valid);
                for (index, name) in &sent.workers {
                    let ticket = workers.iter().find(|(other, _)| other == name);
                    let permit = match ticket {
                        Some((_, ticket)) => Permit::Ticket(ticket.clone(), until),
                        None => Permit::Denied,
                    };
                    known.known.insert(*index, permit);
                }
            }
            advice::Answer::Busy | advice::Answer::Failed => known.retry_at = now + RETRY_PAUSE,
        }
        Some(sent.step)
    }

    /// Questions under way.
    pub fn in_flight(&self) -> usize {
        self.sent.len()
    }
}
