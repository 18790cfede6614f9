//! Orders that other daemons carry to workers for the leader; without I/O.
//!
//! Answers a large fleet on small VMs: one call for each start, and a report of each worker every second, take more
//! processor time than the VM of the leader has. The daemon with a disk in a worker's availability zone carries the calls
//! there, and many orders and answers share a frame between the two. Decisions, fencing tokens and records stay with the
//! leader. An order may be carried twice, or late, as any order may: the number of its run, its lease and its token tell the
//! worker what to make of it.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_model::id;
use bronzespoke_workload::directive;

use crate::fleet::{orders, wire};

/// Workers that the leader calls by itself. A call takes about 0.15 ms, and this many workers take some 300 calls a second.
const OWN_WORKERS: usize = 96;
/// How much longer than the call itself a carried order may take: two ways between regions, and the batches at both ends.
const CARRY_SLACK: Duration = Duration::from_millis(300);
/// Orders that one frame holds. Their descriptions take up to 4,000 bytes each, and a frame may have 1 MiB.
const ORDERS_PER_FRAME: usize = 128;
/// Runs and ends that the answers of one frame list; each takes some 60 bytes.
const ENTRIES_PER_FRAME: usize = 4_096;
/// How long an answer waits for others to share its frame.
const ANSWER_DELAY: Duration = Duration::from_millis(2);

/// Who gave an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// This daemon.
    Own(Decision),
    /// Another daemon, which leads.
    Leader {
        /// That daemon.
        place: wire::Place,
        /// Its term.
        token: directive::Token,
        /// Its number of the order.
        number: u64,
    },
}

/// A leader's decision to give an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// Term.
    pub token: directive::Token,
    /// Worker.
    pub worker: cell::WorkerIndex,
    /// When it was decided.
    pub at: Duration,
}

#[derive(Debug)]
struct Sent {
    carrier: id::VmId,
    decision: Decision,
    order: directive::Directive,
    give_up_at: Duration,
}

/// The leader's side: which daemon carries, and what is under way.
#[derive(Debug, Default)]
pub struct Relays {
    /// Carrier of each availability zone that has one.
    carriers: HashMap<String, wire::Place>,
    next: u64,
    queued: BTreeMap<wire::Place, Vec<wire::Order>>,
    sent: HashMap<u64, Sent>,
}

impl Relays {
    /// Replaces the daemons that may carry orders, with the availability zone of each. A small fleet needs none.
    pub fn set_carriers(&mut self, workers: usize, mut reached: Vec<(wire::Place, String)>) {
        self.carriers.clear();
        if workers <= OWN_WORKERS {
            return;
        }
        reached.sort_unstable();
        for (place, zone) in reached {
            self.carriers.entry(zone).or_insert(place);
        }
    }

    /// Daemon that carries orders into an availability zone; `None` if the leader does.
    pub fn carrier(&self, zone: &str) -> Option<wire::Place> {
        self.carriers.get(zone).copied()
    }

    /// Adds an order to the next frame for a carrier.
    pub fn queue(
        &mut self,
        now: Duration,
        carrier: wire::Place,
        decision: Decision,
        recipient: wire::Recipient,
        order: directive::Directive,
    ) {
        self.next += 1;
        let sent = Sent {
            carrier: carrier.vm,
            decision,
            order: order.clone(),
            give_up_at: now + orders::timeout(&order) + CARRY_SLACK,
        };
        self.sent.insert(self.next, sent);
        self.queued.entry(carrier).or_default().push(wire::Order {
            number: self.next,
            recipient,
            order,
        });
    }

    /// Takes out the frames to send.
    pub fn take_frames(&mut self) -> Vec<(wire::Place, Vec<wire::Order>)> {
        let mut frames = Vec::new();
        for (place, mut orders) in std::mem::take(&mut self.queued) {
            while orders.len() > ORDERS_PER_FRAME {
                let rest = orders.split_off(ORDERS_PER_FRAME);
                frames.push((place, std::mem::replace(&mut orders, rest)));
            }
            frames.push((place, orders));
        }
        frames
    }

    /// Takes the answer to an order; `None` if it was given up.
    pub fn answered(&mut self, number: u64) -> Option<(Decision, directive::Directive)> {
        let sent = self.sent.remove(&number)?;
        Some((sent.decision, sent.order))
    }

    /// Gives up orders that take too long or whose carrier is not reached any more. They may have been carried out.
    pub fn give_up(&mut self, now: Duration) -> Vec<(Decision, directive::Directive)> {
        let reached: Vec<id::VmId> = self.carriers.values().map(|place| place.vm).collect();
        let lost = |sent: &Sent| now >= sent.give_up_at || !reached.contains(&sent.carrier);
        let numbers: Vec<u64> = self
            .sent
            .iter()
            .filter(|(_, sent)| lost(sent))
            .map(|(number, _)| *number)
            .collect();
        let given_up = numbers.iter().filter_map(|number| self.answered(*number));
        given_up.collect()
    }
}

/// The carrier's side: answers that wait for a frame to their leader.
#[derive(Debug, Default)]
pub struct Carried {
    since: Option<Duration>,
    answers: BTreeMap<(wire::Place, directive::Token), Vec<wire::Answered>>,
}

impl Carried {
    /// Adds an answer.
    pub fn add(
        &mut self,
        now: Duration,
        leader: wire::Place,
        token: directive::Token,
        number: u64,
        answer: Option<directive::Answer>,
    ) {
        self.since.get_or_insert(now);
        let answers = self.answers.entry((leader, token)).or_default();
        answers.push((number, answer));
    }

    /// When the next frame is due.
    pub fn due(&self) -> Option<Duration> {
        Some(self.since? + ANSWER_DELAY)
    }

    /// Takes out the frames that are due, each for a leader and its term.
    pub fn take_frames(&mut self, now: Duration) -> Vec<(wire::Place, wire::Message)> {
        if self.due().is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.since = None;
        let mut frames = Vec::new();
        for ((place, token), answers) in std::mem::take(&mut self.answers) {
            let mut entries = 0;
            let mut frame = Vec::new();
            for (number, answer) in answers {
                let listed = match &answer {
                    Some(directive::Answer::Report(report)) => report.running.len() + report.ended.len(),
                    _ => 0,
                };
                if entries + listed > ENTRIES_PER_FRAME && !frame.is_empty() {
                    let answers = std::mem::take(&mut frame);
                    frames.push((place, wire::Message::Answers { token, answers }));
                    entries = 0;
                }
                entries += listed + 1;
                frame.push((number, answer));
            }
            let answers = frame;
            frames.push((place, wire::Message::Answers { token, answers }));
        }
        frames
    }
}
