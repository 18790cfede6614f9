//! Announcements between daemons, and this VM's entry in the directory.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use bronzespoke_consensus::{membership, replica};
use bronzespoke_control::root;
use bronzespoke_model::id;

use crate::{
    control::{Controller, Listing, context, member, requests},
    peer::wire,
};

/// Interval between announcements.
pub const HELLO_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between attempts to be listed in the directory.
const LISTING_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of peer addresses to which announcements are sent.
const MAX_KNOWN: usize = 256;
/// Time after which a daemon that sends no announcements is evicted, unless the directory lists it.
const EVICT_AFTER: Duration = Duration::from_mins(1);

impl Controller {
    /// Sends this daemon's announcement to all known addresses.
    pub(super) fn announce(&mut self) {
        let now = self.context.now();
        let leads: Vec<_> = self
            .replicas()
            .filter(|(_, member)| member.leads(now))
            .map(|(group, member)| (group, member.replica().status().term))
            .collect();
        let replicas = self.replicas().map(|(group, _)| group).collect();
        let cell_known = self.root.cell_known();
        let addresses = self.addresses();
        let hello = wire::Hello {
            vm: self.context.me.clone(),
            incarnation: self.context.incarnation,
            leads,
            replicas,
            cell_known,
            applied: self.root.view().applied,
            known: if cell_known {
                Vec::new()
            } else {
                addresses.iter().copied().collect()
            },
        };
        for address in addresses {
            self.context.send_to(address, wire::Body::Hello(hello.clone()));
        }
        self.hello_at = now + HELLO_INTERVAL;
    }

    /// Returns the replicas of this process, with their groups.
    pub(super) fn replicas(&self) -> impl Iterator<Item = (id::GroupId, &member::Member)> {
        let zones = self
            .zones
            .iter()
            .map(|(zone, group)| (id::GroupId::Zone(*zone), group.member()));
        self.root
            .member()
            .map(|member| (id::GroupId::Root, member))
            .into_iter()
            .chain(zones)
    }

    /// Announces immediately when the groups that this VM leads changed, so that requests reach their new leader.
    pub(super) fn check_leadership(&mut self, now: Duration) {
        let led: Vec<_> = self
            .replicas()
            .filter(|(_, member)| member.leads(now))
            .map(|(group, _)| group)
            .collect();
        if led != self.led {
            self.led = led;
            self.hello_at = now;
            self.maintenance_at = now;
        }
    }

    /// Returns the peer addresses of all known daemons.
    fn addresses(&self) -> BTreeSet<SocketAddr> {
        let listed = self.root.view().vms.values().map(|vm| vm.peer);
        let seen = self.context.peers.values().map(|peer| peer.vm.peer);
        let seeds = self.settings.seeds.iter().copied();
        let all = listed.chain(seen).chain(seeds).chain(self.known.iter().copied());
        all.filter(|address| *address != self.context.me.peer)
            .take(MAX_KNOWN)
            .collect()
    }

    /// Handles the announcement of another daemon.
    pub(super) fn hello(&mut self, from: id::VmId, hello: wire::Hello) {
        let now = self.context.now();
        let known = self.context.peers.get(&from).map(|peer| peer.incarnation);
        if known.is_some_and(|known| known > hello.incarnation) {
            // A late frame of an earlier incarnation says nothing about the current one.
            return;
        }
        if known.is_some_and(|known| known != hello.incarnation) {
            self.end_claims_of(from);
        }
        if self.root.view().vms.is_empty() {
            let free = MAX_KNOWN.saturating_sub(self.known.len());
            self.known.extend(hello.known.into_iter().take(free));
        }
        let peer = context::Peer {
            vm: hello.vm,
            incarnation: hello.incarnation,
            leads: hello.leads,
            replicas: hello.replicas,
            cell_known: hello.cell_known,
            applied: hello.applied,
            last_seen: now,
        };
        self.context.peers.insert(from, peer);
        if known.is_none() {
            // Announce immediately, so that the new daemon need not wait for the next interval to discover this one.
            self.hello_at = now;
        }
    }

    /// Evicts daemons that are unlisted and silent for longer than [`EVICT_AFTER`], and closes their links.
    pub(super) fn evict_peers(&mut self) {
        let now = self.context.now();
        let listed = &self.root.view().vms;
        if !listed.is_empty() {
            // From now on the directory lists every daemon.
            self.known.clear();
        }
        self.context
            .peers
            .retain(|vm, peer| listed.contains_key(vm) || now.saturating_sub(peer.last_seen) < EVICT_AFTER);
        let addresses = self.addresses();
        self.context
            .network
            .retain(&|address| addresses.contains(&address));
    }

    /// Takes the next step of joining: bootstraps the cell, lists this VM, or bootstraps its zone group.
    pub(super) fn enlist(&mut self) {
        let now = self.context.now();
        if now < self.enlist_at {
            return;
        }
        self.enlist_at = now + LISTING_INTERVAL;
        if !self.root.cell_known() {
            self.bootstrap_cell();
            return;
        }
        let me = self.context.me.clone();
        let view = std::sync::Arc::clone(self.root.view());
        if view.vms.get(&me.id) == Some(&me) {
            self.listing = Listing::Listed;
            self.bootstrap_zone();
            return;
        }
        if self.listing != Listing::Unlisted && !view.vms.contains_key(&me.id) {
            if self.listing == Listing::Listed {
                log::error!("directory: This VM was replaced or removed; it accepts no more requests.");
            }
            self.listing = Listing::Dropped;
            return;
        }
        if !view.zones.contains_key(&me.place.zone) {
            self.command_root(root::Command::AddZone { place: me.place });
        }
        for replaced in view
            .vms
            .values()
            .filter(|vm| vm.name == me.name && vm.id != me.id)
        {
            self.command_root(root::Command::RemoveVm(replaced.id));
        }
        self.command_root(root::Command::AddVm(me));
    }

    /// Founds the root group if the settings allow it and every seed has announced that it belongs to no cell.
    fn bootstrap_cell(&mut self) {
        if !self.settings.found || self.root.member().is_some() {
            return;
        }
        let all_seeds_seen = self
            .settings
            .seeds
            .iter()
            .filter(|seed| **seed != self.context.me.peer)
            .all(|seed| {
                let peer = self.context.peers.values().find(|peer| peer.vm.peer == *seed);
                peer.is_some_and(|peer| !peer.cell_known)
            });
        if !all_seeds_seen {
            log::info!("directory: Waiting for announcements of all seeds before founding the cell.");
            return;
        }
        let members = membership::Membership::from_voters([self.context.me.id]);
        if let Some(member) = self.open(id::GroupId::Root, Some(members)) {
            log::info!("directory: Founding the cell.");
            self.root.promote(self.context.now(), member);
            self.root.step(&self.context, replica::Input::Tick);
        }
    }

    /// Founds the group of this VM's zone unless another VM did.
    fn bootstrap_zone(&mut self) {
        let zone = self.context.me.place.zone;
        let me = self.context.me.id;
        if !self.context.me.durable || self.zones.contains_key(&zone) {
            return;
        }
        match self.root.state().founder(zone) {
            None => self.command_root(root::Command::FoundZone { zone, founder: me }),
            Some(founder) if founder == me => {
                let members = membership::Membership::from_voters([me]);
                if let Some(member) = self.open(id::GroupId::Zone(zone), Some(members)) {
                    self.add_zone(zone, member);
                }
            }
            Some(_) => {}
        }
    }

    /// Sends a root command to be committed and ignores the reply.
    pub(super) fn command_root(&mut self, command: root::Command) {
        let mut envelope = root::Envelope::new(context::Context::wall_ms(), command);
        envelope.id = Some(rand::random());
        let then = Box::new(|_reply| {});
        self.dispatch(
            id::GroupId::Root,
            crate::peer::wire::Request::Root(envelope),
            requests::DEADLINE,
            then,
        );
    }
}
