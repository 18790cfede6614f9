//! Deterministic simulation of replicas, their disks and a network, with invariant checks after every step.

#![allow(dead_code, reason = "each test file uses only part of the driver")]

pub mod check;
pub mod node;
pub mod plan;
pub mod scenarios;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use bronzespoke_consensus::message::Message;
use bronzespoke_consensus::replica::{Config, Input, Output, Rejection, Restored};
use bronzespoke_consensus::rules::Rules;
use bronzespoke_consensus::{membership, write};
use bronzespoke_model::id::{GroupId, VmId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use check::Violation;
use node::Node;

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[derive(Debug, Clone)]
pub enum Event {
    Deliver { from: VmId, to: VmId, message: Message },
    Wake { node: VmId },
    Sync { node: VmId, incarnation: u32 },
}

#[derive(Debug)]
struct Timed(Duration, u64, Event);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Step limit of a run. A run needs a few thousand steps; many more indicate that messages or timers multiply.
const STEPS: u64 = 100_000;

/// Probabilities of network and disk faults.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    pub loss: f64,
    pub duplicate: f64,
    pub late: f64,
    pub slow_sync: f64,
    pub failed_sync: f64,
}

pub const NO_FAULTS: Conditions = Conditions {
    loss: 0.0,
    duplicate: 0.0,
    late: 0.0,
    slow_sync: 0.0,
    failed_sync: 0.0,
};

pub struct Cluster {
    pub now: Duration,
    pub rng: SmallRng,
    pub nodes: BTreeMap<VmId, Node>,
    pub conditions: Conditions,
    pub rules: Rules,
    /// Whether the commit index is stored before entries are applied, as in the root group.
    pub store_commit: bool,
    /// Directed links that drop all messages.
    pub cuts: BTreeSet<(VmId, VmId)>,
    pub check: check::Check,
    pub violation: Option<Violation>,
    /// Indices of committed proposals by proposal id.
    pub committed: BTreeMap<u64, u64>,
    pub rejected: BTreeMap<u64, Rejection>,
    pub next_id: u64,
    queue: BinaryHeap<Reverse<Timed>>,
    sequence: u64,
    pub steps: u64,
}

impl Cluster {
    /// Starts a group of founding voters with disks, numbered from 1.
    pub fn new(seed: u64, voters: u64, rules: Rules) -> Self {
        let mut cluster = Self {
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            nodes: BTreeMap::new(),
            conditions: NO_FAULTS,
            rules,
            store_commit: seed % 4 != 1,
            cuts: BTreeSet::new(),
            check: check::Check::default(),
            violation: None,
            committed: BTreeMap::new(),
            rejected: BTreeMap::new(),
            next_id: 1,
            queue: BinaryHeap::new(),
            sequence: 0,
            steps: 0,
        };
        let members = membership::Membership::from_voters(1..=voters);
        for id in 1..=voters {
            cluster.add(id, Restored::bootstrap(members.clone()), true);
        }
        cluster
    }

    /// Adds and starts a VM. A VM without a disk never restarts under its id.
    pub fn add(&mut self, id: VmId, disk: Restored, durable: bool) {
        self.nodes.insert(id, Node::new(id, disk, durable));
        self.start(id);
    }

    pub fn start(&mut self, id: VmId) {
        let seed = self.rng.random();
        let rate = self.rng.random_range(0.9905..1.0095);
        let mut config = Config::new(id, GroupId::Root, seed);
        config.rules = self.rules;
        config.store_commit = self.store_commit;
        config.retained_entries = 20;
        config.snapshot_chunk_bytes = 64;
        config.max_in_flight_messages = 8;
        config.max_batch_bytes = if self.rng.random_bool(0.5) { 1 } else { 4_096 };
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node.replica.is_some() || node.lost {
            return;
        }
        node.start(config, now, rate);
        self.schedule(now, Event::Wake { node: id });
    }

    /// Crashes a process. Of the writes that were not synced, a random prefix survives.
    pub fn crash(&mut self, id: VmId) {
        let keep = self.rng.random_range(0..4);
        if let Some(node) = self.nodes.get_mut(&id) {
            node.crash(keep);
        }
    }

    pub fn pause(&mut self, id: VmId, length: Duration) {
        let until = self.now + length;
        if let Some(node) = self.nodes.get_mut(&id) {
            node.paused_until = node.paused_until.max(until);
        }
    }

    pub fn cut(&mut self, left: VmId, right: VmId) {
        self.cuts.insert((left, right));
        self.cuts.insert((right, left));
    }

    pub fn isolate(&mut self, id: VmId) {
        let others: Vec<_> = self.nodes.keys().copied().filter(|other| *other != id).collect();
        for other in others {
            self.cut(id, other);
        }
    }

    pub fn leader(&self) -> Option<VmId> {
        let leaders = self.nodes.values().filter(|node| node.is_leader());
        leaders
            .max_by_key(|node| node.replica.as_ref().map(|replica| replica.status().term))
            .map(|node| node.id)
    }

    pub fn propose(&mut self, to: VmId) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let data = id.to_le_bytes().to_vec().into();
        self.input(to, Input::Propose { id, data });
        id
    }

    pub fn change(&mut self, to: VmId, change: membership::Change) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.input(to, Input::ChangeMembership { id, change });
        id
    }

    pub fn compact(&mut self, id: VmId) {
        let Some(node) = self.nodes.get(&id) else { return };
        let Some(snapshot) = node.make_snapshot() else {
            return;
        };
        self.input(id, Input::Compact { snapshot });
    }

    /// Runs until a time or until the first violation.
    pub fn run_until(&mut self, end: Duration) {
        while self.violation.is_none() {
            match self.queue.peek() {
                Some(Reverse(next)) if next.0 <= end => {}
                _ => break,
            }
            let Some(Reverse(Timed(at, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = self.now.max(end);
    }

    /// Runs until a condition holds, and returns whether it did within the limit.
    pub fn run_until_condition(&mut self, limit: Duration, mut condition: impl FnMut(&Self) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end && self.violation.is_none() {
            if condition(self) {
                return true;
            }
            self.run_until(self.now + ms(5));
        }
        condition(self)
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse(Timed(at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        let id = match &event {
            Event::Deliver { to, .. } => *to,
            Event::Wake { node } | Event::Sync { node, .. } => *node,
        };
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node.paused_until > self.now {
            let at = node.paused_until;
            self.schedule(at, event);
            return;
        }
        match event {
            Event::Deliver { from, to, message } => self.input(to, Input::Receive { from, message }),
            Event::Wake { node: id } => {
                if node.wake_at.is_none_or(|at| at <= self.now) {
                    node.wake_at = None;
                    self.input(id, Input::Tick);
                }
            }
            Event::Sync {
                node: id,
                incarnation,
            } => {
                if node.incarnation != incarnation || node.unsynced.is_empty() {
                    return;
                }
                let failed = self.rng.random_bool(self.conditions.failed_sync);
                let input = if failed {
                    node.fail_sync(self.rng.random_range(0..4))
                } else {
                    node.sync()
                };
                self.input(id, input);
            }
        }
    }

    /// Steps a replica with an input, performs the outputs and checks the invariants.
    pub fn input(&mut self, id: VmId, input: Input) {
        let now = self.now;
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let Some(node) = self.nodes.get_mut(&id) else {
                return;
            };
            let local = node.local(now);
            let Some(replica) = node.replica.as_mut() else {
                return;
            };
            let mut out = Vec::new();
            replica.step(local, input, &mut out);
            self.steps += 1;
            if self.steps > STEPS {
                self.violation.get_or_insert(Violation::TooManySteps);
                return;
            }
            let outcome = self.perform(id, out, &mut inputs);
            let outcome = outcome.and_then(|()| self.check.after_step(now, id, &self.nodes));
            if let Err(violation) = outcome {
                self.violation.get_or_insert(violation);
                return;
            }
        }
        let applied = self
            .nodes
            .get(&id)
            .map(|node| (node.applied, node.applied_before));
        if self.store_commit && applied.is_some_and(|(now, before)| now < before) {
            // The first step of an incarnation applies everything that is committed according to the disk.
            self.violation.get_or_insert(Violation::AppliedWentBack);
        }
        self.rearm(id);
    }

    fn rearm(&mut self, id: VmId) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let Some(at) = node.next_wake() else { return };
        let at = at.max(self.now + Duration::from_micros(100));
        if node.wake_at.is_none_or(|held| at < held) {
            node.wake_at = Some(at);
            self.schedule(at, Event::Wake { node: id });
        }
    }

    fn perform(&mut self, id: VmId, out: Vec<Output>, inputs: &mut Vec<Input>) -> Result<(), Violation> {
        for output in out {
            match output {
                Output::Persist(write) => self.store(id, write),
                Output::Send { to, message } => self.send(id, to, &message),
                Output::Apply(entry) => {
                    self.check.applied(id, &entry)?;
                    let node = self.nodes.get_mut(&id).expect("the node runs");
                    node.apply(&entry)?;
                    inputs.push(Input::Applied {
                        index: entry.position.index,
                    });
                }
                Output::Install(snapshot) => {
                    let node = self.nodes.get_mut(&id).expect("the node runs");
                    node.install(&snapshot)?;
                    inputs.push(Input::Applied {
                        index: snapshot.position.index,
                    });
                }
                Output::Committed { id: proposal, index } => {
                    self.check.acknowledged(self.now, index);
                    self.committed.insert(proposal, index);
                }
                Output::Rejected { id: proposal, reason } => {
                    self.rejected.insert(proposal, reason);
                }
                Output::Role(_) => {}
            }
        }
        Ok(())
    }

    fn store(&mut self, id: VmId, write: write::Write) {
        let slow = self.rng.random_bool(self.conditions.slow_sync);
        let micros = if slow {
            self.rng.random_range(0..300_000)
        } else {
            self.rng.random_range(0..3_000)
        };
        let at = self.now + Duration::from_micros(micros);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.unsynced.push(write);
        let incarnation = node.incarnation;
        self.schedule(
            at,
            Event::Sync {
                node: id,
                incarnation,
            },
        );
    }

    fn send(&mut self, from: VmId, to: VmId, message: &Message) {
        if self.cuts.contains(&(from, to)) || self.rng.random_bool(self.conditions.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.conditions.duplicate) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let late = self.rng.random_bool(self.conditions.late);
            let micros = if late {
                self.rng.random_range(0..1_500_000)
            } else {
                self.rng.random_range(500..14_000)
            };
            let message = message.clone();
            self.schedule(
                self.now + Duration::from_micros(micros),
                Event::Deliver { from, to, message },
            );
        }
    }
}
