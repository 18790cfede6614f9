//! Consensus group in simulated time that counts the bytes of its messages.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use bronzespoke_consensus::replica::{Config, Input, Output, Replica, Restored};
use bronzespoke_consensus::{membership, message, write};
use bronzespoke_model::id;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{FRAME_BYTES, SYNC_TIME};

enum Event {
    Deliver {
        from: id::VmId,
        to: id::VmId,
        data: Vec<u8>,
    },
    Wake(id::VmId),
    Synced {
        node: id::VmId,
        through: u64,
    },
}

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

/// Consensus group in simulated time.
pub(super) struct World {
    pub(super) now: Duration,
    pub(super) replicas: BTreeMap<id::VmId, Replica>,
    /// Crashed members: they neither receive messages nor take steps.
    pub(super) down: Vec<id::VmId>,
    /// One-way delay between two VMs.
    delay: fn(id::VmId, id::VmId) -> Duration,
    queue: BinaryHeap<Reverse<Timed>>,
    sequence: u64,
    /// Bytes and messages by sender and receiver.
    pub(super) traffic: BTreeMap<(id::VmId, id::VmId), (u64, u64)>,
    /// Id and commit time of each proposal.
    pub(super) committed: Vec<(u64, Duration)>,
}

impl World {
    pub(super) fn new(
        seed: u64,
        voters: u64,
        batch: Option<Duration>,
        delay: fn(id::VmId, id::VmId) -> Duration,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let members = membership::Membership::from_voters(1..=voters);
        let mut world = Self {
            now: Duration::ZERO,
            replicas: BTreeMap::new(),
            down: Vec::new(),
            delay,
            queue: BinaryHeap::new(),
            sequence: 0,
            traffic: BTreeMap::new(),
            committed: Vec::new(),
        };
        for vm in 1..=voters {
            let mut config = Config::new(vm, id::GroupId::Root, rng.random());
            config.batch_delay = batch.unwrap_or(config.batch_delay);
            let replica = Replica::new(config, Restored::bootstrap(members.clone()), Duration::ZERO);
            world.schedule(replica.next_wake(), Event::Wake(vm));
            world.replicas.insert(vm, replica);
        }
        world
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse(Timed(at, self.sequence, event)));
    }

    fn leader(&self) -> Option<id::VmId> {
        let mut live = self.replicas.iter().filter(|(vm, _)| !self.down.contains(vm));
        live.find(|(_, replica)| replica.holds_lease(self.now))
            .map(|(vm, _)| *vm)
    }

    pub(super) fn wait_for_leader(&mut self) -> id::VmId {
        loop {
            match self.leader() {
                Some(leader) => return leader,
                None => self.run_for(Duration::from_millis(1)),
            }
        }
    }

    pub(super) fn run_for(&mut self, length: Duration) {
        let end = self.now + length;
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.0 > end {
                break;
            }
            let Some(Reverse(Timed(at, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, data } => {
                let message = postcard::from_bytes(&data).expect("the message was encoded here");
                self.input(to, Input::Receive { from, message });
            }
            Event::Wake(vm) => {
                let due = self
                    .replicas
                    .get(&vm)
                    .is_some_and(|replica| replica.next_wake() <= self.now);
                if due {
                    self.input(vm, Input::Tick);
                }
            }
            Event::Synced { node, through } => self.input(node, Input::Persisted { through }),
        }
    }

    pub(super) fn input(&mut self, vm: id::VmId, input: Input) {
        if self.down.contains(&vm) {
            return;
        }
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let Some(replica) = self.replicas.get_mut(&vm) else {
                return;
            };
            let mut out = Vec::new();
            replica.step(self.now, input, &mut out);
            for output in out {
                match output {
                    Output::Persist(write::Write { sequence, .. }) => {
                        self.schedule(
                            self.now + SYNC_TIME,
                            Event::Synced {
                                node: vm,
                                through: sequence,
                            },
                        );
                    }
                    Output::Send { to, message } => self.send(vm, to, &message),
                    Output::Apply(entry) => inputs.push(Input::Applied {
                        index: entry.position.index,
                    }),
                    Output::Install(snapshot) => inputs.push(Input::Applied {
                        index: snapshot.position.index,
                    }),
                    Output::Committed { id, .. } => self.committed.push((id, self.now)),
                    Output::Rejected { .. } | Output::Role(_) => {}
                }
            }
        }
        let wake = self.replicas[&vm]
            .next_wake()
            .max(self.now + Duration::from_micros(10));
        self.schedule(wake, Event::Wake(vm));
    }

    fn send(&mut self, from: id::VmId, to: id::VmId, message: &message::Message) {
        let data = postcard::to_stdvec(message).expect("plain data is encoded");
        let sum = self.traffic.entry((from, to)).or_default();
        sum.0 += data.len() as u64 + FRAME_BYTES;
        sum.1 += 1;
        let at = self.now + (self.delay)(from, to);
        self.schedule(at, Event::Deliver { from, to, data });
    }

    /// Returns the bytes and messages in both directions between two members since `traffic` was last cleared.
    pub(super) fn between(&self, left: id::VmId, right: id::VmId) -> (u64, u64) {
        let sent = self.traffic.get(&(left, right)).copied().unwrap_or_default();
        let received = self.traffic.get(&(right, left)).copied().unwrap_or_default();
        (sent.0 + received.0, sent.1 + received.1)
    }
}
