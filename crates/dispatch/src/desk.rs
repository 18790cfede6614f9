//! Questions to the eligibility service.
//!
//! Answers the load that the service itself limits: it takes one question at a time from each VM, and a question about
//! a wide job takes half a second. The questions are spread over all VMs, each VM carries one at a time, and some VMs
//! are kept free of long questions, so that short ones do not wait behind them.

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
/// One VM in this many takes no long questions.
const SHORT_ONLY_SHARE: usize = 3;
/// An answer that is later than expected by this much is given up; covers the way to another region and a busy VM.
const ANSWER_SLACK: Duration = Duration::from_millis(800);
/// Time that a start order may take to its worker while its ticket must stay valid: a commit over regions and the call.
const TICKET_RESERVE: Duration = Duration::from_millis(250);
/// Pause after the service was busy or gave no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Whether a worker may run a step. Eligibility does not change; tickets run out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Permit {
    /// It was not asked about.
    Unknown,
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
    /// Whether a question waits or is under way.
    pub outstanding: bool,
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
    helper: id::VmId,
    step: advice::Step,
    workers: Vec<(cell::WorkerIndex, String)>,
    at: Duration,
    give_up_at: Duration,
    valid: Duration,
}

/// A question to send through a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// VM that asks.
    pub helper: id::VmId,
    /// Number that its answer carries.
    pub number: u64,
    /// Question.
    pub question: advice::Question,
}

/// Questions that wait or are under way, and what was answered.
#[derive(Debug, Default)]
pub struct Desk {
    helpers: BTreeMap<id::VmId, Option<u64>>,
    waiting: HashMap<advice::Step, Waiting>,
    sent: BTreeMap<u64, Sent>,
    next_number: u64,
    steps: HashMap<advice::Step, Eligibility>,
}

impl Desk {
    /// Replaces the VMs that may ask.
    pub fn set_helpers(&mut self, helpers: &[id::VmId]) {
        self.helpers.retain(|helper, _| helpers.contains(helper));
        for helper in helpers {
            self.helpers.entry(*helper).or_default();
        }
    }

    /// What is known about a step.
    pub fn eligibility(&self, step: advice::Step) -> Option<&Eligibility> {
        self.steps.get(&step)
    }

    /// Forgets a step.
    pub fn forget(&mut self, step: advice::Step) {
        self.steps.remove(&step);
        self.waiting.remove(&step);
    }

    /// Forgets the ticket of a worker, which has refused it.
    pub fn void(&mut self, step: advice::Step, worker: cell::WorkerIndex) {
        if let Some(known) = self.steps.get_mut(&step) {
            known.known.insert(worker, Permit::Expired);
        }
    }

    /// Wants a question about a step unless one waits or is under way. Returns whether it was added.
    pub fn want(
        &mut self,
        now: Duration,
        step: advice::Step,
        cost: &catalog::Advice,
        workers: Vec<(cell::WorkerIndex, String)>,
    ) -> bool {
        let known = self.steps.entry(step).or_default();
        if known.outstanding || now < known.retry_at || workers.is_empty() {
            return false;
        }
        known.outstanding = true;
        let cost_of_workers = cost.per_worker * workers.len() as u32;
        let waiting = Waiting {
            workers,
            cost: cost.decision + cost_of_workers,
            valid: cost.valid,
        };
        self.waiting.insert(step, waiting);
        true
    }

    /// Gives up late answers and hands waiting questions to free VMs, in the order of `ranked`.
    pub fn dispatch(&mut self, now: Duration, ranked: &[advice::Step], out: &mut Vec<Ask>) {
        self.give_up_late(now);
        if self.waiting.is_empty() {
            return;
        }
        let most_long = self.helpers.len() - self.helpers.len() / SHORT_ONLY_SHARE;
        let mut long = self
            .sent
            .values()
            .filter(|sent| sent.give_up_at.saturating_sub(sent.at + ANSWER_SLACK) > LONG_QUESTION)
            .count();
        for step in ranked {
            let Some(waiting) = self.waiting.get(step) else {
                continue;
            };
            let is_long = waiting.cost > LONG_QUESTION;
            if is_long && long >= most_long.max(1) {
                continue;
            }
            let free = self.helpers.iter_mut().find(|(_, busy)| busy.is_none());
            let Some((helper, busy)) = free else { return };
            let Some(waiting) = self.waiting.remove(step) else {
                continue;
            };
            long += usize::from(is_long);
            self.next_number += 1;
            *busy = Some(self.next_number);
            let workers = waiting.workers.iter().map(|(_, name)| name.clone()).collect();
            out.push(Ask {
                helper: *helper,
                number: self.next_number,
                question: advice::Question { step: *step, workers },
            });
            let sent = Sent {
                helper: *helper,
                step: *step,
                workers: waiting.workers,
                at: now,
                give_up_at: now + waiting.cost + ANSWER_SLACK,
                valid: waiting.valid,
            };
            self.sent.insert(self.next_number, sent);
        }
    }

    fn give_up_late(&mut self, now: Duration) {
        let late: Vec<u64> = self
            .sent
            .iter()
            .filter(|(_, sent)| now >= sent.give_up_at || !self.helpers.contains_key(&sent.helper))
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            self.answered(now, number, &advice::Answer::Failed);
        }
    }

    /// Takes an answer; returns the step that it is about.
    pub fn answered(&mut self, now: Duration, number: u64, answer: &advice::Answer) -> Option<advice::Step> {
        let sent = self.sent.remove(&number)?;
        if let Some(busy) = self.helpers.get_mut(&sent.helper)
            && *busy == Some(number)
        {
            *busy = None;
        }
        let known = self.steps.get_mut(&sent.step)?;
        known.outstanding = false;
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
    pub fn under_way(&self) -> usize {
        self.sent.len()
    }
}
