//! Which VMs exchange messages.
//!
//! Within a zone everyone talks to everyone. Between two zones one VM of each side talks, so that billed bytes grow
//! with the pairs of zones and not with the pairs of VMs.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_model::{id, vm};

/// A VM of the same zone that was silent for this long does not count as a relay.
const LOCAL_SILENCE: Duration = Duration::from_secs(1);
/// After this long without a message from another zone, the next VM of that zone is tried.
const REMOTE_SILENCE: Duration = Duration::from_millis(1500);

/// A link of this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Link {
    pub(crate) peer: id::VmId,
    pub(crate) local: bool,
    /// Whether this VM chose the link; otherwise it answers on it.
    pub(crate) initiated: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Heard {
    any: Option<Duration>,
    initiated: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    number: usize,
    since: Duration,
}

/// Members and what was heard of them.
#[derive(Debug, Clone)]
pub(crate) struct Links {
    me: id::VmId,
    place: vm::Place,
    start: Duration,
    zones: BTreeMap<id::AvailabilityZoneId, Vec<id::VmId>>,
    members: BTreeMap<id::VmId, vm::Place>,
    heard: BTreeMap<id::VmId, Heard>,
    attempts: BTreeMap<id::AvailabilityZoneId, Attempt>,
}

impl Links {
    pub(crate) const fn new(me: id::VmId, place: vm::Place, start: Duration) -> Self {
        Self {
            me,
            place,
            start,
            zones: BTreeMap::new(),
            members: BTreeMap::new(),
            heard: BTreeMap::new(),
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
        self.heard.retain(|vm, _| members.contains_key(vm));
        for vm in self.members.keys() {
            // A new member counts as heard, so that it gets the time to speak before another VM stands in for it.
            self.heard.entry(*vm).or_insert(Heard {
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

    pub(crate) fn note(&mut self, now: Duration, from: id::VmId, initiated: bool) {
        let heard = self.heard.entry(from).or_default();
        heard.any = Some(now);
        if initiated {
            heard.initiated = Some(now);
        }
    }

    /// Returns the links of this VM, nearest first.
    pub(crate) fn list(&mut self, now: Duration, all: bool) -> Vec<Link> {
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
        let mine = self.place.zone;
        let others: Vec<id::AvailabilityZoneId> =
            self.zones.keys().copied().filter(|zone| *zone != mine).collect();
        for zone in others {
            let chosen = if self.is_relay(now, zone) {
                self.choose(now, zone)
            } else {
                None
            };
            if let Some(peer) = chosen {
                links.push(Link {
                    peer,
                    local: false,
                    initiated: true,
                });
            }
            let answers = self.zones[&zone].iter().filter(|vm| Some(**vm) != chosen);
            for peer in answers {
                let heard = self.heard.get(peer).and_then(|heard| heard.initiated);
                if within(now, heard, REMOTE_SILENCE) {
                    links.push(Link {
                        peer: *peer,
                        local: false,
                        initiated: false,
                    });
                }
            }
        }
    }

    /// Tells whether this VM is the first one of its zone, in the order of the pair, that is not silent.
    fn is_relay(&self, now: Duration, zone: id::AvailabilityZoneId) -> bool {
        let order = self.order(zone, self.place.zone);
        let first = order.into_iter().find(|vm| {
            *vm == self.me || within(now, self.heard.get(vm).and_then(|heard| heard.any), LOCAL_SILENCE)
        });
        first == Some(self.me)
    }

    /// Returns the first VM of another zone that was heard, or the next one to try.
    fn choose(&mut self, now: Duration, zone: id::AvailabilityZoneId) -> Option<id::VmId> {
        let order = self.order(zone, zone);
        let heard = order.iter().find(|vm| {
            within(
                now,
                self.heard.get(vm).and_then(|heard| heard.any),
                REMOTE_SILENCE,
            )
        });
        if let Some(vm) = heard {
            self.attempts.remove(&zone);
            return Some(*vm);
        }
        let attempt = self.attempts.entry(zone).or_insert(Attempt {
            number: 0,
            since: now.max(self.start),
        });
        if now >= attempt.since + REMOTE_SILENCE {
            attempt.number += 1;
            attempt.since = now;
        }
        order.get(attempt.number % order.len().max(1)).copied()
    }

    /// Returns the VMs of one side of a pair of zones in an order that both sides compute alike.
    fn order(&self, other: id::AvailabilityZoneId, side: id::AvailabilityZoneId) -> Vec<id::VmId> {
        let mine = self.place.zone;
        let pair = (u64::from(mine.min(other)) << 16) | u64::from(mine.max(other));
        let mut vms = self.zones.get(&side).cloned().unwrap_or_default();
        vms.sort_by_key(|vm| (mix(pair.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ *vm), *vm));
        vms
    }
}

fn within(now: Duration, heard: Option<Duration>, silence: Duration) -> bool {
    heard.is_some_and(|heard| now.saturating_sub(heard) < silence)
}

/// The finalizer of splitmix64.
const fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
