//! Which daemons are reached, and which one leads; without I/O.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use bronzespoke_model::id;

use crate::fleet::wire::Place;

/// Time between two announcements to a daemon that is reached.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// The same while no leader is known.
const SEARCH_INTERVAL: Duration = Duration::from_millis(150);
/// A daemon that was not heard for this long is not reached: two announcements in a row were lost.
const SILENCE: Duration = Duration::from_millis(1_300);
/// A daemon with a disk that was not heard for this long carries no orders; members of the group are heard several times in
/// this time, and each order that goes to a lost daemon delays its task.
const CARRIER_SILENCE: Duration = Duration::from_millis(700);
/// A connection without word for this long is made anew; it may be silent for good.
const RECONNECT_AFTER: Duration = Duration::from_millis(1_600);
/// A leader that has not said so for this long is not believed to lead any more.
const LEADER_AGE: Duration = Duration::from_millis(1_500);
/// Addresses without a sign of life for this long are forgotten, unless they are seeds.
const FORGET_AFTER: Duration = Duration::from_mins(1);

#[derive(Debug, Clone, Default)]
struct Peer {
    vm: Option<id::VmId>,
    durable: bool,
    zone: Option<String>,
    heard: Option<Duration>,
    said_hello: Option<Duration>,
    reset: Duration,
}

/// What has to be sent.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Duty {
    /// Addresses that get an announcement.
    pub hello: Vec<SocketAddr>,
    /// Addresses whose connection is to be made anew first.
    pub reset: Vec<SocketAddr>,
}

/// Daemons of the cell as this one sees them.
#[derive(Debug)]
pub struct Contact {
    me: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    leader: Option<(u64, Place, Duration)>,
}

impl Contact {
    /// Knows the seeds only.
    pub fn new(me: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let mut contact = Self {
            me,
            seeds: BTreeSet::new(),
            peers: BTreeMap::new(),
            leader: None,
        };
        contact.set_seeds(seeds);
        contact
    }

    /// Replaces the seeds; daemons that are known stay known.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().filter(|seed| *seed != self.me).collect();
        for seed in &self.seeds {
            self.peers.entry(*seed).or_default();
        }
    }

    /// Notes a frame from a daemon. `durable` is told by announcements only.
    pub fn heard(&mut self, now: Duration, place: Place, durable: Option<bool>) {
        if place.peer == self.me {
            return;
        }
        let peer = self.peers.entry(place.peer).or_default();
        peer.vm = Some(place.vm);
        peer.heard = Some(now);
        if let Some(durable) = durable {
            peer.durable = durable;
        }
    }

    /// Notes the availability zone that a daemon announced.
    pub fn note_zone(&mut self, place: Place, zone: String) {
        if let Some(peer) = self.peers.get_mut(&place.peer) {
            peer.zone = Some(zone);
        }
    }

    /// Daemons with a disk that were heard just now, and the availability zone of each.
    pub fn carriers(&self, now: Duration) -> Vec<(Place, String)> {
        let fresh = |peer: &&Peer| {
            let heard = peer.heard;
            peer.durable && heard.is_some_and(|heard| now.saturating_sub(heard) <= CARRIER_SILENCE)
        };
        let peers = self.peers.iter().filter(|(_, peer)| fresh(peer));
        peers
            .filter_map(|(address, peer)| {
                let place = Place {
                    vm: peer.vm?,
                    peer: *address,
                };
                Some((place, peer.zone.clone()?))
            })
            .collect()
    }

    /// Learns addresses of daemons with a disk.
    pub fn learn(&mut self, places: &[Place]) {
        for place in places.iter().filter(|place| place.peer != self.me) {
            let peer = self.peers.entry(place.peer).or_default();
            peer.durable = true;
            peer.vm = peer.vm.or(Some(place.vm));
        }
    }

    /// Notes who leads. An older term never replaces a newer one while that one is fresh.
    pub fn note_leader(&mut self, now: Duration, term: u64, leader: Place) {
        let newer = self
            .leader
            .is_none_or(|(known, _, at)| term >= known || now.saturating_sub(at) > LEADER_AGE);
        if newer {
            self.leader = Some((term, leader, now));
        }
    }

    /// Forgets a leader that said that it does not lead.
    pub fn deny_leader(&mut self, vm: id::VmId) {
        if self.leader.is_some_and(|(_, place, _)| place.vm == vm) {
            self.leader = None;
        }
    }

    /// The leader, while it is fresh.
    pub fn leader(&self, now: Duration) -> Option<Place> {
        let (_, place, at) = self.leader?;
        (now.saturating_sub(at) <= LEADER_AGE).then_some(place)
    }

    /// Daemons that were heard lately.
    pub fn reached(&self, now: Duration) -> impl Iterator<Item = (Place, bool)> + '_ {
        self.peers.iter().filter_map(move |(address, peer)| {
            let heard = peer.heard?;
            let place = Place {
                vm: peer.vm?,
                peer: *address,
            };
            (now.saturating_sub(heard) <= SILENCE).then_some((place, peer.durable))
        })
    }

    /// Known daemons with a disk.
    pub fn durable(&self) -> Vec<Place> {
        let places = self.peers.iter().filter(|(_, peer)| peer.durable);
        places
            .filter_map(|(address, peer)| {
                Some(Place {
                    vm: peer.vm?,
                    peer: *address,
                })
            })
            .collect()
    }

    /// Address of a daemon.
    pub fn address(&self, vm: id::VmId) -> Option<SocketAddr> {
        let found = self.peers.iter().find(|(_, peer)| peer.vm == Some(vm));
        found.map(|(address, _)| *address)
    }

    /// When a daemon was last heard.
    pub fn last_heard(&self, vm: id::VmId) -> Option<Duration> {
        let mut peers = self.peers.values();
        peers.find(|peer| peer.vm == Some(vm)).and_then(|peer| peer.heard)
    }

    /// Returns the announcements that are due: to seeds and daemons with a disk.
    pub fn due(&mut self, now: Duration) -> Duty {
        let seeds = &self.seeds;
        self.peers.retain(|address, peer| {
            let fresh = peer
                .heard
                .is_none_or(|heard| now.saturating_sub(heard) < FORGET_AFTER);
            fresh || seeds.contains(address)
        });
        let interval = match self.leader(now) {
            Some(_) => HELLO_INTERVAL,
            None => SEARCH_INTERVAL,
        };
        let mut duty = Duty::default();
        for (address, peer) in &mut self.peers {
            let wanted = peer.durable || seeds.contains(address);
            let due = peer.said_hello.is_none_or(|said| now >= said + interval);
            if !wanted || !due {
                continue;
            }
            let silent = now.saturating_sub(peer.heard.unwrap_or_default().max(peer.reset));
            if silent > RECONNECT_AFTER {
                peer.reset = now;
                duty.reset.push(*address);
            }
            peer.said_hello = Some(now);
            duty.hello.push(*address);
        }
        duty
    }
}
