//! Simulated network of gossip states, with loss, duplication, reordering, cut links and stopped VMs.
//!
//! The policy benchmarks include this file as well.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bronzespoke_gossip::{Config, Gossip, Message};
use bronzespoke_model::{id, vm};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Fault rates of all links.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Fraction of messages that is lost.
    pub loss: f64,
    /// Fraction of messages that is delivered twice.
    pub duplicate: f64,
    /// Maximum additional delay, which reorders messages.
    pub jitter: Duration,
}

/// A VM with its own clock offset.
#[derive(Debug)]
pub struct Node {
    pub gossip: Gossip,
    pub place: vm::Place,
    pub up: bool,
    offset: Duration,
}

#[derive(Debug)]
pub struct Network {
    pub now: Duration,
    pub nodes: BTreeMap<id::VmId, Node>,
    pub faults: Faults,
    pub cuts: BTreeSet<(id::VmId, id::VmId)>,
    /// Number of messages and bytes, by sender and receiver.
    pub sent: BTreeMap<(id::VmId, id::VmId), (u64, u64)>,
    pub message_size: fn(&Message) -> usize,
    /// Size of the largest message in bytes.
    pub largest: u64,
    queue: BTreeMap<(Duration, u64), (id::VmId, id::VmId, Message)>,
    number: u64,
    random: SmallRng,
}

impl Network {
    /// Builds a network with two VMs per zone. `regions` lists the region of each zone. VM ids are random 64-bit
    /// numbers.
    pub fn new(seed: u64, regions: &[id::RegionId]) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut nodes = BTreeMap::new();
        for (zone, region) in regions.iter().enumerate() {
            for _ in 0..2 {
                let id = random.random::<u64>();
                let place = vm::Place {
                    region: *region,
                    zone: zone as id::AvailabilityZoneId,
                };
                let offset = Duration::from_millis(random.random_range(0..10_000_000));
                let node = Node {
                    gossip: Gossip::new(Self::config(id, place, 1), offset),
                    place,
                    up: true,
                    offset,
                };
                nodes.insert(id, node);
            }
        }
        let mut network = Self {
            now: Duration::ZERO,
            nodes,
            faults: Faults::default(),
            cuts: BTreeSet::new(),
            sent: BTreeMap::new(),
            message_size: |_| 0,
            largest: 0,
            queue: BTreeMap::new(),
            number: 0,
            random,
        };
        network.set_members();
        network
    }

    fn config(id: id::VmId, place: vm::Place, incarnation: id::Incarnation) -> Config {
        Config {
            id,
            place,
            incarnation,
            seed: 5,
        }
    }

    /// Restarts a VM as a new incarnation with an empty state.
    pub fn restart(&mut self, id: id::VmId) {
        let place = self.nodes[&id].place;
        self.with_node(id, |gossip, now| {
            *gossip = Gossip::new(Self::config(id, place, 2), now);
        });
        self.set_members();
    }

    fn set_members(&mut self) {
        let members: Vec<_> = self.nodes.iter().map(|(id, node)| (*id, node.place)).collect();
        for node in self.nodes.values_mut() {
            node.gossip.set_members(self.now + node.offset, &members);
        }
    }

    pub fn ids(&self) -> Vec<id::VmId> {
        self.nodes.keys().copied().collect()
    }

    /// Calls a function with the state of a VM and its local time.
    pub fn with_node<T>(&mut self, id: id::VmId, step: impl FnOnce(&mut Gossip, Duration) -> T) -> T {
        let node = self.nodes.get_mut(&id).unwrap();
        step(&mut node.gossip, self.now + node.offset)
    }

    /// Cuts or restores all links between the VMs of `side` and the others.
    pub fn set_cut(&mut self, side: &[id::VmId], cut: bool) {
        for left in side {
            for right in self.ids().into_iter().filter(|id| !side.contains(id)) {
                for pair in [(*left, right), (right, *left)] {
                    if cut {
                        self.cuts.insert(pair);
                    } else {
                        self.cuts.remove(&pair);
                    }
                }
            }
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let wake = self
                .nodes
                .values()
                .filter(|node| node.up)
                .map(|node| node.gossip.next_wake().saturating_sub(node.offset))
                .min();
            let arrival = self.queue.first_key_value().map(|((at, _), _)| *at);
            let next = wake.into_iter().chain(arrival).min();
            let Some(next) = next.filter(|next| *next <= end) else {
                break;
            };
            self.now = self.now.max(next);
            if arrival.is_some_and(|arrival| arrival <= self.now) {
                self.deliver();
            } else {
                self.tick();
            }
        }
        self.now = end;
    }

    fn deliver(&mut self) {
        let Some((_, (from, to, message))) = self.queue.pop_first() else {
            return;
        };
        let mut out = Vec::new();
        if self.nodes[&to].up && !self.cuts.contains(&(from, to)) {
            self.with_node(to, |gossip, now| gossip.receive(now, from, message, &mut out));
        }
        self.send(to, out);
    }

    fn tick(&mut self) {
        for id in self.ids() {
            let mut out = Vec::new();
            if self.nodes[&id].up {
                self.with_node(id, |gossip, now| {
                    if gossip.next_wake() <= now {
                        gossip.tick(now, &mut out);
                    }
                });
            }
            self.send(id, out);
        }
    }

    fn send(&mut self, from: id::VmId, out: Vec<(id::VmId, Message)>) {
        for (to, message) in out {
            let bytes = (self.message_size)(&message) as u64;
            self.largest = self.largest.max(bytes);
            let count = self.sent.entry((from, to)).or_default();
            *count = (count.0 + 1, count.1 + bytes);
            let copies = 1 + u32::from(self.random.random::<f64>() < self.faults.duplicate);
            for _ in 0..copies {
                if self.random.random::<f64>() < self.faults.loss {
                    continue;
                }
                let delay = match self.nodes[&from].place.distance(&self.nodes[&to].place) {
                    vm::Distance::Zone | vm::Distance::Region => Duration::from_millis(1),
                    vm::Distance::Remote => Duration::from_millis(12),
                };
                let jitter = self.faults.jitter.mul_f64(self.random.random::<f64>());
                self.number += 1;
                let at = (self.now + delay + jitter, self.number);
                self.queue.insert(at, (from, to, message.clone()));
            }
        }
    }
}
