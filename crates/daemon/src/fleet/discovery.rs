//! Tracks which daemons are reachable and which one leads; without I/O.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use bronzespoke_model::id;

use crate::fleet::wire::Endpoint;

/// Interval of announcements to a daemon while a leader is known.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of announcements while no leader is known.
const SEARCH_INTERVAL: Duration = Duration::from_millis(150);
/// A daemon without contact for this long counts as unreachable: two consecutive announcements were lost.
const REACHABLE_TIMEOUT: Duration = Duration::from_millis(1_300);
/// A daemon with a disk without contact for this long is not used as a relay. Members of the group are in contact
/// several times within this period, and each directive sent to a failed daemon delays its task.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);
/// A connection without contact for this long is reopened, since it may stay silent permanently.
const RECONNECT_AFTER: Duration = Duration::from_millis(1_600);
/// A leader that has not confirmed its role for this long is not assumed to lead any more.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Addresses without contact for this long are evicted, unless they are seeds.
const EVICT_AFTER: Duration = Duration::from_mins(1);

#[derive(Debug, Clone, Default)]
struct Peer {
    vm: Option<id::VmId>,
    durable: bool,
    zone: Option<String>,
    last_contact: Option<Duration>,
    hello_sent: Option<Duration>,
    reset_at: Duration,
}

/// Announcements that are due.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Announcements {
    /// Addresses that get an announcement.
    pub hello: Vec<SocketAddr>,
    /// Addresses whose connection has to be reopened before that.
    pub reset: Vec<SocketAddr>,
}

/// The daemons of the cell as this one sees them.
#[derive(Debug)]
pub struct Discovery {
    me: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    peers: BTreeMap<SocketAddr, Peer>,
    leader: Option<(u64, Endpoint, Duration)>,
}

impl Discovery {
    /// Returns a table that holds the seeds only.
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

    /// Replaces the seeds; daemons that are already known are kept.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().filter(|seed| *seed != self.me).collect();
        for seed in &self.seeds {
            self.peers.entry(*seed).or_default();
        }
    }

    /// Records a frame from a daemon. `durable` is known from announcements only.
    pub fn record_contact(&mut self, now: Duration, endpoint: Endpoint, durable: Option<bool>) {
        if endpoint.peer == self.me {
            return;
        }
        let peer = self.peers.entry(endpoint.peer).or_default();
        peer.vm = Some(endpoint.vm);
        peer.last_contact = Some(now);
        if let Some(durable) = durable {
            peer.durable = durable;
        }
    }

    /// Records the availability zone that a daemon announced.
    pub fn record_zone(&mut self, endpoint: Endpoint, zone: String) {
        if let Some(peer) = self.peers.get_mut(&endpoint.peer) {
            peer.zone = Some(zone);
        }
    }

    /// Returns the daemons that can act as relays, with the availability zone of each.
    pub fn relays(&self, now: Duration) -> Vec<(Endpoint, String)> {
        let fresh = |peer: &&Peer| {
            let last_contact = peer.last_contact;
            peer.durable
                && last_contact.is_some_and(|last_contact| now.saturating_sub(last_contact) <= RELAY_TIMEOUT)
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

    /// Records daemons with a disk that another daemon named.
    pub fn add_endpoints(&mut self, endpoints: &[Endpoint]) {
        for endpoint in endpoints.iter().filter(|endpoint| endpoint.peer != self.me) {
            let peer = self.peers.entry(endpoint.peer).or_default();
            peer.durable = true;
            peer.vm = peer.vm.or(Some(endpoint.vm));
        }
    }

    /// Records the leader. An older term does not replace a newer one that has not timed out.
    pub fn record_leader(&mut self, now: Duration, term: u64, leader: Endpoint) {
        let newer = self
            .leader
            .is_none_or(|(known, _, at)| term >= known || now.saturating_sub(at) > LEADER_TIMEOUT);
        if newer {
            self.leader = Some((term, leader, now));
        }
    }

    /// Forgets a leader that replied that it does not lead.
    pub fn clear_leader(&mut self, vm: id::VmId) {
        if self.leader.is_some_and(|(_, endpoint, _)| endpoint.vm == vm) {
            self.leader = None;
        }
    }

    /// Returns the leader, unless its last confirmation has timed out.
    pub fn leader(&self, now: Duration) -> Option<Endpoint> {
        let (_, endpoint, at) = self.leader?;
        (now.saturating_sub(at) <= LEADER_TIMEOUT).then_some(endpoint)
    }

    /// Returns the reachable daemons, each with whether it has a disk.
    pub fn reachable(&self, now: Duration) -> impl Iterator<Item = (Endpoint, bool)> + '_ {
        self.peers.iter().filter_map(move |(address, peer)| {
            let last_contact = peer.last_contact?;
            let endpoint = Endpoint {
                vm: peer.vm?,
                peer: *address,
            };
            (now.saturating_sub(last_contact) <= REACHABLE_TIMEOUT).then_some((endpoint, peer.durable))
        })
    }

    /// Returns the known daemons with a disk, reachable or not.
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

    /// Returns the address of a daemon.
    pub fn address(&self, vm: id::VmId) -> Option<SocketAddr> {
        let found = self.peers.iter().find(|(_, peer)| peer.vm == Some(vm));
        found.map(|(address, _)| *address)
    }

    /// Returns when a daemon was last in contact.
    pub fn last_contact(&self, vm: id::VmId) -> Option<Duration> {
        let mut peers = self.peers.values();
        peers
            .find(|peer| peer.vm == Some(vm))
            .and_then(|peer| peer.last_contact)
    }

    /// Returns the announcements that are due: to seeds and daemons with a disk.
    pub fn due(&mut self, now: Duration) -> Announcements {
        let seeds = &self.seeds;
        self.peers.retain(|address, peer| {
            let fresh = peer
                .last_contact
                .is_none_or(|last_contact| now.saturating_sub(last_contact) < EVICT_AFTER);
            fresh || seeds.contains(address)
        });
        let interval = match self.leader(now) {
            Some(_) => HELLO_INTERVAL,
            None => SEARCH_INTERVAL,
        };
        let mut announcements = Announcements::default();
        for (address, peer) in &mut self.peers {
            let is_target = peer.durable || seeds.contains(address);
            let due = peer.hello_sent.is_none_or(|sent| now >= sent + interval);
            if !is_target || !due {
                continue;
            }
            let silent = now.saturating_sub(peer.last_contact.unwrap_or_default().max(peer.reset_at));
            if silent > RECONNECT_AFTER {
                peer.reset_at = now;
                announcements.reset.push(*address);
            }
            peer.hello_sent = Some(now);
            announcements.hello.push(*address);
        }
        announcements
    }
}
