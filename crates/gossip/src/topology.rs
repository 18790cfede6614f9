//! Gossip topology: selection of the VMs that exchange messages.
//!
//! Within a zone, all VMs exchange messages with each other. Between two zones, one relay of each zone does, so that
//! billed traffic grows with the number of pairs of zones instead of pairs of VMs.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_model::{id, vm};

/// Time without contact after which a VM of the same zone is not considered as a relay.
const LOCAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without contact from another zone after which the next VM of that zone is tried.
const REMOTE_TIMEOUT: Duration = Duration::from_millis(1500);

/// A link from this VM to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Link {
    pub(crate) peer: id::VmId,
    /// Whether the peer is in the same zone.
    pub(crate) local: bool,
    /// Whether this VM selected the link; otherwise the peer did.
    pub(crate) initiated: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Contact {
    /// Last message of any kind.
    any: Option<Duration>,
    /// Last message on a link that the peer selected.
    initiated: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    /// Number of VMs tried before, which selects the next one in relay order.
    number: usize,
    since: Duration,
}

/// Members of the gossip network and the last contact from each.
#[derive(Debug, Clone)]
pub(crate) struct Topology {
    me: id::VmId,
    place: vm::Place,
    start: Duration,
    zones: BTreeMap<id::AvailabilityZoneId, Vec<id::VmId>>,
    members: BTreeMap<id::VmId, vm::Place>,
    contacts: BTreeMap<id::VmId, Contact>,
    attempts: BTreeMap<id::AvailabilityZoneId, Attempt>,
}

impl Topology {
    pub(crate) const fn new(me: id::VmId, place: vm::Place, start: Duration) -> Self {
        Self {
            me,
            place,
            start,
            zones: BTreeMap::new(),
            members: BTreeMap::new(),
            contacts: BTreeMap::new(),
            attempts: BTreeMap::new(),
        }
    }

    pub(crate) fn set_members(&mut self, now: Duration, members: &[(id::VmId, vm::Place)]) {
        self.members = members.iter().copied().collect();
        self.members.insert(self.me, self.place);
        self.zones.clear();
        for (vm, place) in &self.members {
            self.zones.entry(place.zone).or_default().push(*vm);
        }
        let members = &self.members;
        self.contacts.retain(|vm, _| members.contains_key(vm));
        for vm in self.members.keys() {
            // Joining counts as contact, so that a new member has time to send a message before it is replaced as a
            // relay.
            self.contacts.entry(*vm).or_insert(Contact {
                any: Some(now),
                initiated: None,
            });
        }
    }

    pub(crate) fn is_member(&self, vm: id::VmId) -> bool {
        self.members.contains_key(&vm)
    }

    pub(crate) fn is_local(&self, vm: id::VmId) -> bool {
        self.members
            .get(&vm)
            .is_some_and(|place| place.zone == self.place.zone)
    }

    pub(crate) fn record_contact(&mut self, now: Duration, from: id::VmId, initiated: bool) {
        let contact = self.contacts.entry(from).or_default();
        contact.any = Some(now);
        if initiated {
            contact.initiated = Some(now);
        }
    }

    /// Returns the links of this VM, local ones first; remote ones only if `all` is set.
    pub(crate) fn links(&mut self, now: Duration, all: bool) -> Vec<Link> {
        let mut links: Vec<Link> = self
            .zones
            .get(&self.place.zone)
            .into_iter()
            .flatten()
            .filter(|vm| **vm != self.me)
            .map(|vm| Link {
                peer: *vm,
                local: true,
                initiated: true,
            })
            .collect();
        if all {
            self.add_remote(now, &mut links);
        }
        links
    }

    fn add_remote(&mut self, now: Duration, links: &mut Vec<Link>) {
        let local_zone = self.place.zone;
        let others: Vec<id::AvailabilityZoneId> = self
            .zones
            .keys()
            .copied()
            .filter(|zone| *zone != local_zone)
            .collect();
        for zone in others {
            let selected = if self.is_relay(now, zone) {
                self.select_peer(now, zone)
            } else {
                None
            };
            if let Some(peer) = selected {
                links.push(Link {
                    peer,
                    local: false,
                    initiated: true,
                });
            }
            let initiators = self.zones[&zone].iter().filter(|vm| Some(**vm) != selected);
            for peer in initiators {
                let last_contact = self.contacts.get(peer).and_then(|contact| contact.initiated);
                if is_recent(now, last_contact, REMOTE_TIMEOUT) {
                    links.push(Link {
                        peer: *peer,
                        local: false,
                        initiated: false,
                    });
                }
            }
        }
    }

    /// Returns whether this VM is the relay to another zone: the first reachable VM of its zone in the relay order of
    /// the pair of zones.
    fn is_relay(&self, now: Duration, zone: id::AvailabilityZoneId) -> bool {
        let order = self.relay_order(zone, self.place.zone);
        let first = order.into_iter().find(|vm| {
            *vm == self.me
                || is_recent(
                    now,
                    self.contacts.get(vm).and_then(|contact| contact.any),
                    LOCAL_TIMEOUT,
                )
        });
        first == Some(self.me)
    }

    /// Selects the first reachable VM of another zone, or the next one to try if none is reachable.
    fn select_peer(&mut self, now: Duration, zone: id::AvailabilityZoneId) -> Option<id::VmId> {
        let order = self.relay_order(zone, zone);
        let reachable = order.iter().find(|vm| {
            is_recent(
                now,
                self.contacts.get(vm).and_then(|contact| contact.any),
                REMOTE_TIMEOUT,
            )
        });
        if let Some(vm) = reachable {
            self.attempts.remove(&zone);
            return Some(*vm);
        }
        let attempt = self.attempts.entry(zone).or_insert(Attempt {
            number: 0,
            since: now.max(self.start),
        });
        if now >= attempt.since + REMOTE_TIMEOUT {
            attempt.number += 1;
            attempt.since = now;
        }
        order.get(attempt.number % order.len().max(1)).copied()
    }

    /// Returns the VMs of one side of a pair of zones in relay order, which both sides compute identically.
    fn relay_order(&self, other: id::AvailabilityZoneId, side: id::AvailabilityZoneId) -> Vec<id::VmId> {
        let local_zone = self.place.zone;
        let pair = (u64::from(local_zone.min(other)) << 16) | u64::from(local_zone.max(other));
        let mut vms = self.zones.get(&side).cloned().unwrap_or_default();
        vms.sort_by_key(|vm| (mix(pair.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ *vm), *vm));
        vms
    }
}

fn is_recent(now: Duration, last_contact: Option<Duration>, timeout: Duration) -> bool {
    last_contact.is_some_and(|at| now.saturating_sub(at) < timeout)
}

/// Finalizer of splitmix64.
const fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
