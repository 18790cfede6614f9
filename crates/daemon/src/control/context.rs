//! State shared by all controllers: clock, timeline, network and known peers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bronzespoke_clock as clock;
use bronzespoke_model::{event, id, vm};

use crate::{
    peer::{self, wire},
    timeline,
};

/// Time since the last contact after which a daemon counts as unreachable.
pub const SILENCE: Duration = Duration::from_secs(3);

/// Another daemon, as described by its announcements.
#[derive(Debug, Clone)]
pub struct Peer {
    /// VM that the daemon runs on.
    pub vm: vm::Vm,
    /// Incarnation of its process.
    pub incarnation: id::Incarnation,
    /// Groups that it leads, with the term.
    pub leads: Vec<(id::GroupId, u64)>,
    /// Groups in which it holds a replica.
    pub replicas: Vec<id::GroupId>,
    /// Whether it belongs to a cell.
    pub cell_known: bool,
    /// Last root index that it applied.
    pub applied: u64,
    /// Time of its last announcement.
    pub last_seen: Duration,
}

/// Clock, timeline, network and peers of one daemon.
#[derive(Debug)]
pub struct Context {
    /// Start of the process.
    pub origin: clock::Origin,
    /// This VM, as the directory lists it.
    pub me: vm::Vm,
    /// Incarnation of this process: wall time of its start in milliseconds.
    pub incarnation: id::Incarnation,
    /// Timeline of this process.
    pub ring: timeline::Ring,
    /// Outgoing links to other daemons.
    pub network: peer::Network,
    /// Other daemons, by the id of their VM.
    pub peers: HashMap<id::VmId, Peer>,
}

impl Context {
    /// Returns the time since the start of the process, including suspensions of the VM.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Returns the wall time in milliseconds since the Unix epoch; used only in records, never for timers.
    pub fn wall_ms() -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis() as u64)
    }

    /// Sends a frame to a known daemon; does nothing when the daemon has never announced itself.
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

    /// Records an event on the timeline.
    pub fn record(&self, kind: event::Kind) {
        self.ring.record(kind);
    }

    /// Returns whether a VM is this one, or its daemon announced itself within [`SILENCE`].
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
    /// The higher term wins: a learner, or a member that missed its own removal, still names the last leader it knew.
    pub fn leader(&self, group: id::GroupId, own: Option<(u64, id::VmId)>) -> Option<id::VmId> {
        let newest = own.max(self.announced_leader(group));
        newest.map(|(_, leader)| leader)
    }

    /// Returns the highest term in which a reachable daemon announces that it leads the group, and that daemon.
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
