//! Announcements between daemons, and this VM's place in the directory.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use bronzespoke_consensus::{membership, replica};
use bronzespoke_control::root;
use bronzespoke_model::id;

use crate::{
    control::{Controller, Listing, context, member, requests},
    peer::wire,
};

/// Time between two announcements.
pub const HELLO_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two tries to be listed in the directory.
const LISTING_INTERVAL: Duration = Duration::from_millis(500);
/// Peer addresses that are remembered.
const MAX_KNOWN: usize = 256;
/// Time after which a silent daemon is forgotten unless the directory lists it.
const FORGET: Duration = Duration::from_mins(1);

impl Controller {
    /// Announces this daemon to all others.
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

    /// Replicas in this process.
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

    /// Announces at once when the groups that this VM leads changed, so that calls find their leader.
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

    /// Peer addresses of all daemons that this one knows.
    fn addresses(&self) -> BTreeSet<SocketAddr> {
        let listed = self.root.view().vms.values().map(|vm| vm.peer);
        let seen = self.context.peers.values().map(|peer| peer.vm.peer);
        let seeds = self.settings.seeds.iter().copied();
        let all = listed.chain(seen).chain(seeds).chain(self.known.iter().copied());
        all.filter(|address| *address != self.context.me.peer)
            .take(MAX_KNOWN)
            .collect()
    }

    /// Takes another daemon's announcement.
    pub(super) fn hello(&mut self, from: id::VmId, hello: wire::Hello) {
        let now = self.context.now();
        let known = self.context.peers.get(&from).map(|peer| peer.incarnation);
        if known.is_some_and(|known| known > hello.incarnation) {
            // A late frame of an earlier life tells nothing about the present one.
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
            // The newcomer learns of this daemon without waiting for the next round.
            self.hello_at = now;
        }
    }

    /// Forgets daemons that are gone for long and closes their links.
    pub(super) fn forget_peers(&mut self) {
        let now = self.context.now();
        let listed = &self.root.view().vms;
        if !listed.is_empty() {
            // The directory names every daemon from now on.
            self.known.clear();
        }
        self.context
            .peers
            .retain(|vm, peer| listed.contains_key(vm) || now.saturating_sub(peer.last_seen) < FORGET);
        let addresses = self.addresses();
        self.context
            .network
            .retain(&|address| addresses.contains(&address));
    }

    /// Founds the cell, lists this VM and founds its zone group, whichever comes next.
    pub(super) fn enlist(&mut self) {
        let now = self.context.now();
        if now < self.enlist_at {
            return;
        }
        self.enlist_at = now + LISTING_INTERVAL;
        if !self.root.cell_known() {
            self.found_cell();
            return;
        }
        let me = self.context.me.clone();
        let view = std::sync::Arc::clone(self.root.view());
        if view.vms.get(&me.id) == Some(&me) {
            self.listing = Listing::Listed;
            self.found_zone();
            return;
        }
        if self.listing != Listing::Unlisted && !view.vms.contains_key(&me.id) {
            if self.listing == Listing::Listed {
                log::error!("directory: This VM was replaced or removed; it takes no more work.");
            }
            self.listing = Listing::Dropped;
            return;
        }
        if !view.zones.contains_key(&me.place.zone) {
            self.command_root(root::Command::AddZone { place: me.place });
        }
        for former in view
            .vms
            .values()
            .filter(|vm| vm.name == me.name && vm.id != me.id)
        {
            self.command_root(root::Command::RemoveVm(former.id));
        }
        self.command_root(root::Command::AddVm(me));
    }

    /// Founds the root group when this VM may, and no other daemon that it should know of knows a cell.
    fn found_cell(&mut self) {
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
            log::info!("directory: Waiting for all seeds before the cell is founded.");
            return;
        }
        let members = membership::Membership::from_voters([self.context.me.id]);
        if let Some(member) = self.open(id::GroupId::Root, Some(members)) {
            log::info!("directory: This VM founds the cell.");
            self.root.promote(self.context.now(), member);
            self.root.step(&self.context, replica::Input::Tick);
        }
    }

    /// Founds the group of this VM's zone when no other VM did.
    fn found_zone(&mut self) {
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

    /// Commits a root command that nobody waits for.
    pub(super) fn command_root(&mut self, command: root::Command) {
        let mut envelope = root::Envelope::new(context::Context::wall_ms(), command);
        envelope.id = Some(rand::random());
        let then = Box::new(|_answer| {});
        self.dispatch(
            id::GroupId::Root,
            crate::peer::wire::Request::Root(envelope),
            requests::DEADLINE,
            then,
        );
    }
}
