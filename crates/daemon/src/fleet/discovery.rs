//! Which daemons are reachable, and which one leads; without I/O.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use bronzespoke_model::id;

use crate::fleet::wire::Endpoint;

/// Time between two announcements to a daemon that is reachable.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// The same while no leader is known.
const SEARCH_INTERVAL: Duration = Duration::from_millis(150);
/// A daemon that was not heard for this long is not reachable: two announcements in a row were lost.
const REACHABLE_TIMEOUT: Duration = Duration::from_millis(1_300);
/// A daemon with a disk that was not heard for this long carries no orders; members of the group are heard several times in
/// this time, and each order that goes to a lost daemon delays its task.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);
/// A connection without word for this long is made anew; it may be silent for good.
const RECONNECT_AFTER: Duration = Duration::from_millis(1_600);
/// A leader that has not said so for this long is not believed to lead any more.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Addresses without a sign of life for this long are forgotten, unless they are seeds.
const FORGET_AFTER: Duration = Duration::from_mins(1);

#[derive(Debug, Clone, Default)]
struct Peer {
    vm: Option<id::VmId>,
    durable: bool,
    zone: Option<String>,
    heard: Option<Duration>,
    hello_sent: Option<Duration>,
    reset: Duration,
}

/// What has to be sent.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Actions {
    /// Addresses that get an announcement.
    pub hello: Vec<SocketAddr>,
    /// Addresses whose connection is to be made anew first.
    pub reset: Vec<SocketAddr>,
}

/// Daemons of the cell as this one sees them.
#[derive(Debug)]
pub struct Discovery {
    me: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    leader: Option<(u64, Endpoint, Duration)>,
}

impl Discovery {
    /// Knows the seeds only.
    pub fn new(me: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let mut discovery = Self {
            me,
            seeds: BTreeSet::new(),
            peers: BTreeMap::new(),
            leader: None,
        };
        discovery.set_seeds(seeds);
        discovery
    }

    /// Replaces the seeds; daemons that are known stay known.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().filter(|seed| *seed != self.me).collect();
        for seed in &self.seeds {
            self.peers.entry(*seed).or_default();
        }
    }

    /// Notes a frame from a daemon. `durable` is told by announcements only.
    pub fn record_contact(&mut self, now: Duration, endpoint: Endpoint, durable: Option<bool>) {
        if endpoint.peer == self.me {
            return;
        }
        let peer = self.peers.entry(endpoint.peer).or_default();
        peer.vm = Some(endpoint.vm);
        peer.heard = Some(now);
        if let Some(durable) = durable {
            peer.durable = durable;
        }
    }

    /// Notes the availability zone that a daemon announced.
    pub fn record_zone(&mut self, endpoint: Endpoint, zone: String) {
        if let Some(peer) = self.peers.get_mut(&endpoint.peer) {
            peer.zone = Some(zone);
        }
    }

    /// Daemons with a disk that were heard just now, and the availability zone of each.
    pub fn relays(&self, now: Duration) -> Vec<(Endpoint, String)> {
        let fresh = |peer: &&Peer| {
            let heard = peer.heard;
            peer.durable && heard.is_some_and(|heard| now.saturating_sub(heard) <= RELAY_TIMEOUT)
        };
        let peers = self.peers.iter().filter(|(_, peer)| fresh(peer));
        peers
            .filter_map(|(address, peer)| {
                let endpoint = Endpoint {
                    vm: peer.vm?,
                    peer: *address,
                };
                Some((endpoint, peer.zone.clone()?))
            })
            .collect()
    }

    /// Learns addresses of daemons with a disk.
    pub fn learn(&mut self, endpoints: &[Endpoint]) {
        for endpoint in endpoints.iter().filter(|endpoint| endpoint.peer != self.me) {
            let peer = self.peers.entry(endpoint.peer).or_default();
            peer.durable = true;
            peer.vm = peer.vm.or(Some(endpoint.vm));
        }
    }

    /// Notes who leads. An older term never replaces a newer one while that one is fresh.
    pub fn record_leader(&mut self, now: Duration, term: u64, leader: Endpoint) {
        let newer = self
            .leader
            .is_none_or(|(known, _, at)| term >= known || now.saturating_sub(at) > LEADER_TIMEOUT);
        if newer {
            self.leader = Some((term, leader, now));
        }
    }

    /// Forgets a leader that said that it does not lead.
    pub fn clear_leader(&mut self, vm: id::VmId) {
        if self.leader.is_some_and(|(_, endpoint, _)| endpoint.vm == vm) {
            self.leader = None;
        }
    }

    /// The leader, while it is fresh.
    pub fn leader(&self, now: Duration) -> Option<Endpoint> {
        let (_, endpoint, at) = self.leader?;
        (now.saturating_sub(at) <= LEADER_TIMEOUT).then_some(endpoint)
    }

    /// Daemons that were heard lately.
    pub fn reachable(&self, now: Duration) -> impl Iterator<Item = (Endpoint, bool)> + '_ {
        self.peers.iter().filter_map(move |(address, peer)| {
            let heard = peer.heard?;
            let endpoint = Endpoint {
                vm: peer.vm?,
                peer: *address,
            };
            (now.saturating_sub(heard) <= REACHABLE_TIMEOUT).then_some((endpoint, peer.durable))
        })
    }

    /// Known daemons with a disk.
    pub fn durable(&self) -> Vec<Endpoint> {
        let endpoints = self.peers.iter().filter(|(_, peer)| peer.durable);
        endpoints
            .filter_map(|(address, peer)| {
                Some(Endpoint {
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
    pub fn last_contact(&self, vm: id::VmId) -> Option<Duration> {
        let mut peers = self.peers.values();
        peers.find(|peer| peer.vm == Some(vm)).and_then(|peer| peer.heard)
    }

    /// Returns the announcements that are due: to seeds and daemons with a disk.
    pub fn due(&mut self, now: Duration) -> Actions {
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
        let mut actions = Actions::default();
        for (address, peer) in &mut self.peers {
            let wanted = peer.durable || seeds.contains(address);
            let due = peer.hello_sent.is_none_or(|said| now >= said + interval);
            if !wanted || !due {
                continue;
            }
            let silent = now.saturating_sub(peer.heard.unwrap_or_default().max(peer.reset));
            if silent > RECONNECT_AFTER {
                peer.reset = now;
                actions.reset.push(*address);
            }
            peer.hello_sent = Some(now);
            actions.hello.push(*address);
        }
        actions
    }
}
