//! Directives that other daemons relay to workers for the leader; without I/O.
//!
//! Handles a large fleet on small VMs: one call for each start and one report of each worker every second take more
//! processor time than the VM of the leader has. A daemon with a disk in the worker's availability zone therefore makes
//! these calls, and many directives and answers share a frame between leader and relay. Decisions, fencing tokens and
//! records stay with the leader. As any directive, a relayed one may arrive twice or late; the worker handles it by its
//! run number, lease and token.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_model::id;
use bronzespoke_workload::directive;

use crate::fleet::{sender, wire};

/// Largest number of workers that the leader calls itself. A call takes about 0.15 ms, and this many workers take some
/// 300 calls per second.
const DIRECT_WORKERS: usize = 96;
/// Time that a relayed directive may take beyond the call itself: two one-way trips between regions, and batching at
/// both ends.
const RELAY_SLACK: Duration = Duration::from_millis(300);
/// Directives per frame. Their specs take up to 4,000 bytes each, and a frame may have 1 MiB.
const DIRECTIVES_PER_FRAME: usize = 128;
/// Runs and ends that the answers of one frame list; each takes some 60 bytes.
const ENTRIES_PER_FRAME: usize = 4_096;
/// How long an answer waits for others to share its frame.
const ANSWER_DELAY: Duration = Duration::from_millis(2);

/// Daemon that issued a directive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// This daemon.
    Local(Decision),
    /// Another daemon, which leads.
    Leader {
        /// Endpoint of the leader.
        endpoint: wire::Endpoint,
        /// Term of the leader.
        token: directive::Token,
        /// Number of the directive at the leader.
        number: u64,
    },
}

/// A decision of the leader to issue a directive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// Term in which the decision was made.
    pub token: directive::Token,
    /// Worker that gets the directive.
    pub worker: cell::WorkerIndex,
    /// When the decision was made.
    pub at: Duration,
}

#[derive(Debug)]
struct Sent {
    relay: id::VmId,
    decision: Decision,
    directive: directive::Directive,
    expires_at: Duration,
}

/// State of the leader: relay of each availability zone, and directives in flight.
#[derive(Debug, Default)]
pub struct Relays {
    /// Relays by availability zone; empty in a small fleet.
    by_zone: HashMap<String, wire::Endpoint>,
    next: u64,
    queued: BTreeMap<wire::Endpoint, Vec<wire::Directive>>,
    sent: HashMap<u64, Sent>,
}

impl Relays {
    /// Replaces the relays by one daemon for each availability zone of `reachable`. A small fleet has none.
    pub fn set_relays(&mut self, workers: usize, mut reachable: Vec<(wire::Endpoint, String)>) {
        self.by_zone.clear();
        if workers <= DIRECT_WORKERS {
            return;
        }
        reachable.sort_unstable();
        for (endpoint, zone) in reachable {
            self.by_zone.entry(zone).or_insert(endpoint);
        }
    }

    /// Returns the relay of an availability zone; `None` if the leader calls its workers itself.
    pub fn relay(&self, zone: &str) -> Option<wire::Endpoint> {
        self.by_zone.get(zone).copied()
    }

    /// Adds a directive to the next frame for a relay.
    pub fn queue(
        &mut self,
        now: Duration,
        relay: wire::Endpoint,
        decision: Decision,
        recipient: wire::Recipient,
        directive: directive::Directive,
    ) {
        self.next += 1;
        let sent = Sent {
            relay: relay.vm,
            decision,
            directive: directive.clone(),
            expires_at: now + sender::timeout(&directive) + RELAY_SLACK,
        };
        self.sent.insert(self.next, sent);
        self.queued.entry(relay).or_default().push(wire::Directive {
            number: self.next,
            recipient,
            directive,
        });
    }

    /// Removes and returns the frames to send.
    pub fn take_frames(&mut self) -> Vec<(wire::Endpoint, Vec<wire::Directive>)> {
        let mut frames = Vec::new();
        for (endpoint, mut directives) in std::mem::take(&mut self.queued) {
            while directives.len() > DIRECTIVES_PER_FRAME {
                let rest = directives.split_off(DIRECTIVES_PER_FRAME);
                frames.push((endpoint, std::mem::replace(&mut directives, rest)));
            }
            frames.push((endpoint, directives));
        }
        frames
    }

    /// Removes an answered directive; `None` if it has expired.
    pub fn answered(&mut self, number: u64) -> Option<(Decision, directive::Directive)> {
        let sent = self.sent.remove(&number)?;
        Some((sent.decision, sent.directive))
    }

    /// Removes directives that timed out or whose relay is not reachable any more. They may have been executed.
    pub fn expire(&mut self, now: Duration) -> Vec<(Decision, directive::Directive)> {
        let reachable: Vec<id::VmId> = self.by_zone.values().map(|endpoint| endpoint.vm).collect();
        let is_expired = |sent: &Sent| now >= sent.expires_at || !reachable.contains(&sent.relay);
        let numbers: Vec<u64> = self
            .sent
            .iter()
            .filter(|(_, sent)| is_expired(sent))
            .map(|(number, _)| *number)
            .collect();
        let expired = numbers.iter().filter_map(|number| self.answered(*number));
        expired.collect()
    }
}

/// State of a relay: answers that wait for a frame to the leader of their term.
#[derive(Debug, Default)]
pub struct Answers {
    since: Option<Duration>,
    by_leader: BTreeMap<(wire::Endpoint, directive::Token), Vec<wire::Answered>>,
}

impl Answers {
    /// Adds an answer of a worker to the next frame.
    pub fn add(
        &mut self,
        now: Duration,
        leader: wire::Endpoint,
        token: directive::Token,
        number: u64,
        answer: Option<directive::Answer>,
    ) {
        self.since.get_or_insert(now);
        let answers = self.by_leader.entry((leader, token)).or_default();
        answers.push((number, answer));
    }

    /// Returns when the next frame is due.
    pub fn due(&self) -> Option<Duration> {
        Some(self.since? + ANSWER_DELAY)
    }

    /// Removes and returns the frames that are due, each for one leader and term.
    pub fn take_frames(&mut self, now: Duration) -> Vec<(wire::Endpoint, wire::Message)> {
        if self.due().is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.since = None;
        let mut frames = Vec::new();
        for ((endpoint, token), answers) in std::mem::take(&mut self.by_leader) {
            let mut entries = 0;
            let mut frame = Vec::new();
            for (number, answer) in answers {
                let listed = match &answer {
                    Some(directive::Answer::Report(report)) => report.running.len() + report.ended.len(),
                    _ => 0,
                };
                if entries + listed > ENTRIES_PER_FRAME && !frame.is_empty() {
                    let answers = std::mem::take(&mut frame);
                    frames.push((endpoint, wire::Message::Answers { token, answers }));
                    entries = 0;
                }
                entries += listed + 1;
                frame.push((number, answer));
            }
            let answers = frame;
            frames.push((endpoint, wire::Message::Answers { token, answers }));
        }
        frames
    }
}
