//! What every controller needs: time, the timeline, the network and the other daemons.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bronzespoke_model::{event, id, vm};

use crate::{
    peer::{self, wire},
    timeline,
};

/// A daemon that was not heard of for this long counts as silent.
pub const SILENCE: Duration = Duration::from_secs(3);

/// Another daemon, as its announcements tell.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its VM.
    pub vm: vm::Vm,
    /// Life of its process.
    pub incarnation: id::Incarnation,
    /// Groups that it leads, with the term.
    pub leads: Vec<(id::GroupId, u64)>,
    /// Groups in which it holds a replica.
    pub replicas: Vec<id::GroupId>,
    /// Whether it knows a cell.
    pub cell_known: bool,
    /// Root index that it applied.
    pub applied: u64,
    /// When it was last heard.
    pub last_seen: Duration,
}

/// Shared by all controllers of one daemon.
#[derive(Debug)]
pub struct Context {
    /// Start of the process.
    pub origin: Instant,
    /// This VM.
    pub me: vm::Vm,
    /// Life of this process: wall time of its start in milliseconds.
    pub incarnation: id::Incarnation,
    /// Timeline.
    pub ring: timeline::Ring,
    /// Outgoing links.
    pub network: peer::Network,
    /// Other daemons by id.
    pub peers: HashMap<id::VmId, Peer>,
}

impl Context {
    /// Time since the start of the process, on the monotonic clock.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Wall time in milliseconds since the Unix epoch; for records only.
    pub fn wall_ms() -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis() as u64)
    }

    /// Sends a frame to another daemon; a daemon that was never heard of is not reached.
    pub fn send(&self, to: id::VmId, body: wire::Body) {
        if let Some(peer) = self.peers.get(&to) {
            self.send_frame(peer.vm.peer, Some(to), body);
        }
    }

    /// Sends a frame to whichever daemon listens at a peer address.
    pub fn send_to(&self, to: SocketAddr, body: wire::Body) {
        self.send_frame(to, None, body);
    }

    fn send_frame(&self, address: SocketAddr, to: Option<id::VmId>, body: wire::Body) {
        let frame = wire::Frame {
            from: self.me.id,
            to,
            from_peer: self.me.peer,
            stamp: self.ring.send_stamp(),
            body,
        };
        self.network.send(address, &frame);
    }

    /// Records an event.
    pub fn record(&self, kind: event::Kind) {
        self.ring.record(kind);
    }

    /// Tells whether another daemon, or this one, was heard of lately.
    pub fn is_alive(&self, vm: id::VmId) -> bool {
        let now = self.now();
        vm == self.me.id
            || self
                .peers
                .get(&vm)
                .is_some_and(|peer| now.saturating_sub(peer.last_seen) < SILENCE)
    }

    /// Returns the leader of a group, as far as this VM knows; `own` is the term and the leader that its replica knows.
    ///
    /// The higher term decides: a learner, or a member that missed its removal, keeps the last leader that it heard.
    pub fn leader(&self, group: id::GroupId, own: Option<(u64, id::VmId)>) -> Option<id::VmId> {
        let newest = own.max(self.announced_leader(group));
        newest.map(|(_, leader)| leader)
    }

    /// Returns the daemon that claims to lead a group in the highest term among those heard of lately, and that term.
    fn announced_leader(&self, group: id::GroupId) -> Option<(u64, id::VmId)> {
        let now = self.now();
        self.peers
            .values()
            .filter(|peer| now.saturating_sub(peer.last_seen) < SILENCE)
            .filter_map(|peer| {
                let (_, term) = peer.leads.iter().find(|(led, _)| *led == group)?;
                Some((*term, peer.vm.id))
            })
            .max()
    }
}
