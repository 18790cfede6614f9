//! Soft state of one VM: publishing and reading entries, and sending periodic messages.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bronzespoke_model::{id, target, vm};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    key::{Key, Value},
    message::Message,
    origin::Origin,
    topology::Topology,
};

/// Interval of messages to the other VMs of the zone.
pub const LOCAL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of messages to other zones. Together with two local intervals it stays below [`USABLE_AGE`] even if one
/// message is lost.
pub const REMOTE_INTERVAL: Duration = Duration::from_millis(800);
/// Age from which an entry of another VM is not usable for routing. Readers may use a view that is 0.5 s old, so a
/// departing target whose VM is unreachable receives no new requests after 3 s.
pub const USABLE_AGE: Duration = Duration::from_millis(2500);
/// Time for which departures of targets are retained.
pub const DEPARTURE_RETENTION: Duration = Duration::from_mins(10);
/// Maximum number of retained departures; the oldest is dropped first.
pub const MAX_DEPARTURES: usize = 16_384;

const FIRST_KEY: Key = Key::Target(0);
const LAST_KEY: Key = Key::Capacity(id::AvailabilityZoneId::MAX);

/// Configuration of the gossip state of a VM.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// Id of this VM.
    pub id: id::VmId,
    /// Region and zone of this VM.
    pub place: vm::Place,
    /// Incarnation of the process; must be larger than each earlier one of this VM.
    pub incarnation: id::Incarnation,
    /// Seed of the phases of periodic messages.
    pub seed: u64,
}

/// A member of the gossip network: id, and region and zone.
pub type Member = (id::VmId, vm::Place);

/// Reason for which an entry was not published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// This incarnation of the target has departed, or a later one is known.
    Departed,
    /// The VM already publishes the maximum number of entries.
    Full,
}

/// Safety rules, all enabled by default. Tests disable one to verify that their checks detect its absence.
#[doc(hidden)]
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// A departure takes precedence over announcements of the same or an earlier incarnation.
    pub departures: bool,
    /// Ages are bounded by the echoed message; otherwise they count from the arrival.
    pub echo: bool,
    /// Entries whose tombstones may have been missed are dropped.
    pub floor: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            departures: true,
            echo: true,
            floor: true,
        }
    }
}

/// A published entry, as returned to readers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry<'a> {
    /// Key of the entry.
    pub key: Key,
    /// Published value.
    pub value: &'a Value,
    /// VM that published the entry.
    pub origin: id::VmId,
    /// Upper bound on the time since the origin last confirmed the entry.
    pub age: Duration,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Departure {
    pub(crate) incarnation: id::Incarnation,
    since: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Peer {
    pub(crate) incarnation: id::Incarnation,
    pub(crate) stamp_ms: u64,
    pub(crate) received: Duration,
}

/// Soft state of one VM.
#[derive(Debug, Clone)]
pub struct Gossip {
    pub(crate) config: Config,
    pub(crate) rules: Rules,
    pub(crate) topology: Topology,
    pub(crate) local: Origin,
    pub(crate) origins: BTreeMap<id::VmId, Origin>,
    pub(crate) departures: BTreeMap<id::TargetId, Departure>,
    pub(crate) peers: BTreeMap<id::VmId, Peer>,
    /// Incarnation and version last sent, by peer and origin.
    pub(crate) sent: BTreeMap<(id::VmId, id::VmId), (id::Incarnation, u64)>,
    /// Time of the last request for the entries of each origin.
    pub(crate) requested_at: BTreeMap<id::VmId, Duration>,
    pub(crate) urgent: bool,
    next_local: Duration,
    next_remote: Duration,
}

impl Gossip {
    /// Returns an empty state without members.
    pub fn new(config: Config, now: Duration) -> Self {
        let mut random = SmallRng::seed_from_u64(config.seed ^ config.id);
        let mut phase = |interval: Duration| now + interval.mul_f64(random.random::<f64>());
        Self {
            config,
            rules: Rules::default(),
            topology: Topology::new(config.id, config.place, now),
            local: Origin::new(config.incarnation),
            origins: BTreeMap::new(),
            departures: BTreeMap::new(),
            peers: BTreeMap::new(),
            sent: BTreeMap::new(),
            requested_at: BTreeMap::new(),
            urgent: false,
            next_local: phase(LOCAL_INTERVAL),
            next_remote: phase(REMOTE_INTERVAL),
        }
    }

    /// Replaces the safety rules; for tests.
    #[doc(hidden)]
    pub fn set_rules(&mut self, rules: Rules) {
        self.rules = rules;
    }

    /// Replaces the members. Entries of VMs that are no longer members are dropped.
    pub fn set_members(&mut self, now: Duration, members: &[Member]) {
        self.topology.set_members(now, members);
        let topology = &self.topology;
        self.origins.retain(|vm, _| topology.is_member(*vm));
        self.peers.retain(|vm, _| topology.is_member(*vm));
        self.requested_at.retain(|vm, _| topology.is_member(*vm));
        self.sent
            .retain(|(peer, origin), _| topology.is_member(*peer) && topology.is_member(*origin));
    }

    /// Publishes an entry of this VM, unless its value is unchanged.
    pub fn set(&mut self, now: Duration, key: Key, value: Value) -> Result<(), Error> {
        if self.local.get(key) == Some(&value) {
            return Ok(());
        }
        if let (Key::Target(target), Value::Target { announcement, .. }) = (key, &value)
            && self.is_departed(target, announcement.incarnation)
        {
            return Err(Error::Departed);
        }
        if self.local.is_full(key) {
            return Err(Error::Full);
        }
        if let (Key::Target(target), Value::Departing { incarnation }) = (key, &value) {
            self.record_departure(now, target, *incarnation);
            if self.local.get(key) == Some(&value) {
                return Ok(());
            }
        }
        self.urgent |= value.is_urgent();
        self.local.publish(now, key, Some(value));
        Ok(())
    }

    /// Publishes that an incarnation of a target accepts no new requests. The target may have been announced on another
    /// VM.
    pub fn set_departing(
        &mut self,
        now: Duration,
        target: id::TargetId,
        incarnation: id::Incarnation,
    ) -> Result<(), Error> {
        if self
            .local
            .get(Key::Target(target))
            .is_some_and(|value| value.rank().0 > incarnation)
        {
            return Err(Error::Departed);
        }
        self.set(now, Key::Target(target), Value::Departing { incarnation })
    }

    /// Removes an entry of this VM.
    pub fn remove(&mut self, now: Duration, key: Key) {
        if let Some(value) = self.local.get(key) {
            self.urgent |= value.is_urgent();
            self.local.publish(now, key, None);
        }
    }

    /// Returns the time by which [`Gossip::tick`] must be called.
    pub fn next_wake(&self) -> Duration {
        if self.urgent {
            Duration::ZERO
        } else {
            self.next_local.min(self.next_remote)
        }
    }

    /// Appends periodic messages that are due and urgent changes to `out`.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<(id::VmId, Message)>) {
        if now >= self.next_local {
            self.next_local = now + LOCAL_INTERVAL;
            self.purge(now);
            for link in self.topology.links(now, false) {
                self.send_periodic(now, link, out);
            }
        }
        if now >= self.next_remote {
            self.next_remote = now + REMOTE_INTERVAL;
            for link in self
                .topology
                .links(now, true)
                .into_iter()
                .filter(|link| !link.local)
            {
                self.send_periodic(now, link, out);
            }
        }
        if self.urgent {
            self.send_urgent(now, out);
        }
    }

    fn purge(&mut self, now: Duration) {
        self.local.purge(now);
        for origin in self.origins.values_mut() {
            origin.purge(now);
        }
        self.departures
            .retain(|_, departure| now < departure.since + DEPARTURE_RETENTION);
        let departures = &self.departures;
        let forgotten: Vec<Key> = self
            .local
            .range(FIRST_KEY, Key::Target(id::TargetId::MAX))
            .filter(|(key, value)| {
                let recorded = matches!(key, Key::Target(target) if departures.contains_key(target));
                matches!(value, Value::Departing { .. }) && !recorded
            })
            .map(|(key, _)| key)
            .collect();
        for key in forgotten {
            self.local.publish(now, key, None);
        }
    }

    /// Records that an incarnation of a target departed, and replaces its announcement if this VM published it.
    pub(crate) fn record_departure(
        &mut self,
        now: Duration,
        target: id::TargetId,
        incarnation: id::Incarnation,
    ) {
        if !self.departures.contains_key(&target) && self.departures.len() >= MAX_DEPARTURES {
            let oldest = self
                .departures
                .iter()
                .min_by_key(|(_, departure)| departure.since)
                .map(|(id, _)| *id);
            oldest.and_then(|oldest| self.departures.remove(&oldest));
        }
        let departure = self.departures.entry(target).or_insert(Departure {
            incarnation,
            since: now,
        });
        if incarnation > departure.incarnation {
            *departure = Departure {
                incarnation,
                since: now,
            };
        }
        let announced = matches!(
            self.local.get(Key::Target(target)),
            Some(Value::Target { announcement, .. }) if announcement.incarnation <= incarnation
        );
        if announced && self.rules.departures {
            self.local
                .publish(now, Key::Target(target), Some(Value::Departing { incarnation }));
            self.urgent = true;
        }
    }

    /// Returns whether an incarnation of a target is known to have departed.
    pub fn is_departed(&self, target: id::TargetId, incarnation: id::Incarnation) -> bool {
        self.rules.departures
            && self
                .departures
                .get(&target)
                .is_some_and(|departure| incarnation <= departure.incarnation)
    }

    fn age_of(&self, origin: id::VmId, now: Duration) -> Option<Duration> {
        if origin == self.config.id {
            return Some(Duration::ZERO);
        }
        let freshness = self.origins.get(&origin)?.freshness?;
        Some(now.saturating_sub(freshness))
    }

    /// Returns the entry of a key with the highest rank, regardless of its age; among equal ranks, the freshest one.
    pub fn get(&self, key: Key, now: Duration) -> Option<Entry<'_>> {
        let mut best: Option<Entry<'_>> = None;
        for (origin, entries) in self.all_origins() {
            let Some(value) = entries.get(key) else {
                continue;
            };
            let entry = Entry {
                key,
                value,
                origin,
                age: self.age_of(origin, now).unwrap_or(Duration::MAX),
            };
            if best.is_none_or(|best| supersedes(&entry, &best)) {
                best = Some(entry);
            }
        }
        best
    }

    /// Returns the age of the entry that [`Gossip::get`] returns, or `None` if there is none or its age is unknown.
    pub fn age(&self, key: Key, now: Duration) -> Option<Duration> {
        self.get(key, now)
            .map(|entry| entry.age)
            .filter(|age| *age != Duration::MAX)
    }

    /// Returns the time since a VM last confirmed its entries, or `None` if it is unknown.
    pub fn vm_age(&self, vm: id::VmId, now: Duration) -> Option<Duration> {
        self.age_of(vm, now)
    }

    fn all_origins(&self) -> impl Iterator<Item = (id::VmId, &Origin)> {
        std::iter::once((self.config.id, &self.local))
            .chain(self.origins.iter().map(|(vm, origin)| (*vm, origin)))
    }

    /// Returns one entry per key among those that are fresh enough for routing. Targets of which a later incarnation
    /// or a departure is known, from an entry of any age, are omitted.
    pub fn usable(&self, now: Duration) -> impl Iterator<Item = Entry<'_>> {
        self.usable_between(now, FIRST_KEY, LAST_KEY)
    }

    fn usable_between(&self, now: Duration, first: Key, last: Key) -> impl Iterator<Item = Entry<'_>> {
        let mut best: BTreeMap<Key, Entry<'_>> = BTreeMap::new();
        let mut latest_incarnations: BTreeMap<id::TargetId, id::Incarnation> = BTreeMap::new();
        for (origin, entries) in self.all_origins() {
            let age = self.age_of(origin, now).filter(|age| *age < USABLE_AGE);
            for (key, value) in entries.range(first, last) {
                if !self.rules.departures && matches!(value, Value::Departing { .. }) {
                    continue;
                }
                if let Key::Target(target) = key {
                    let latest = latest_incarnations.entry(target).or_default();
                    *latest = value.rank().0.max(*latest);
                }
                let Some(age) = age else {
                    continue;
                };
                let entry = Entry {
                    key,
                    value,
                    origin,
                    age,
                };
                let held = best.entry(key).or_insert(entry);
                if supersedes(&entry, held) {
                    *held = entry;
                }
            }
        }
        best.into_values()
            .filter(move |entry| match (entry.key, entry.value) {
                (Key::Target(target), Value::Target { announcement, .. }) => {
                    let latest = latest_incarnations.get(&target) == Some(&announcement.incarnation);
                    latest && !self.is_departed(target, announcement.incarnation)
                }
                (_, Value::Departing { .. }) => false,
                _ => true,
            })
    }

    /// Returns the targets that may receive requests.
    pub fn targets(&self, now: Duration) -> Vec<target::Status> {
        let mut loads: BTreeMap<id::TargetId, u32> = BTreeMap::new();
        let mut targets = Vec::new();
        for entry in self.usable_between(now, FIRST_KEY, Key::Load(id::TargetId::MAX)) {
            match (entry.key, entry.value) {
                (Key::Load(target), Value::Load(requests)) => {
                    loads.insert(target, *requests);
                }
                (Key::Target(_), Value::Target { announcement, place }) => targets.push(target::Status {
                    announcement: announcement.clone(),
                    place: *place,
                    departing: false,
                    in_flight: 0,
                }),
                _ => {}
            }
        }
        for status in &mut targets {
            status.in_flight = loads.get(&status.announcement.target).copied().unwrap_or(0);
        }
        targets
    }

    /// Returns the smallest applied root index of the members, or `None` if that of any member is unknown or too old.
    pub fn min_applied_index(&self, members: &[id::VmId], now: Duration) -> Option<u64> {
        members
            .iter()
            .map(|vm| {
                let entry = self.get(Key::Vm(*vm), now)?;
                match entry.value {
                    Value::Vm { applied, .. } if entry.age < USABLE_AGE => Some(*applied),
                    _ => None,
                }
            })
            .min()
            .flatten()
    }

    /// Returns the number of stored entries, including those of this VM.
    pub fn len(&self) -> usize {
        self.all_origins().map(|(_, origin)| origin.iter().count()).sum()
    }

    /// Returns whether no entries are stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Verifies the internal invariants; for tests.
    pub fn verify(&self) -> Result<(), String> {
        for (vm, origin) in self.all_origins() {
            origin.verify().map_err(|error| format!("origin {vm}: {error}"))?;
        }
        let members: BTreeSet<id::VmId> = self.origins.keys().copied().collect();
        if members.iter().any(|vm| !self.topology.is_member(*vm)) || members.contains(&self.config.id) {
            return Err(String::from("found entries of a VM that is not a member"));
        }
        for (target, departure) in &self.departures {
            let key = Key::Target(*target);
            if let Some(Value::Target { announcement, .. }) = self.local.get(key)
                && announcement.incarnation <= departure.incarnation
                && self.rules.departures
            {
                return Err(format!("target {target} is still announced after its departure"));
            }
        }
        Ok(())
    }
}

fn supersedes(entry: &Entry<'_>, old: &Entry<'_>) -> bool {
    let rank = |entry: &Entry<'_>| (entry.value.rank(), std::cmp::Reverse(entry.age));
    rank(entry) > rank(old)
}
