//! One VM's soft state: publication, reads and the regular messages.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bronzespoke_model::{id, target, vm};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    key::{Key, Value},
    links::Links,
    message::Message,
    origin::Origin,
};

/// Time between messages to the other VMs of the zone.
pub const LOCAL_INTERVAL: Duration = Duration::from_millis(250);
/// Time between messages to another zone. With two local intervals it leaves room for one lost message below
/// [`USABLE_AGE`].
pub const REMOTE_INTERVAL: Duration = Duration::from_millis(800);
/// Age from which an entry of another VM is not usable for routing; with 0.5 s for the readers of the views, silence
/// takes a departing target out of use within 3 s.
pub const USABLE_AGE: Duration = Duration::from_millis(2500);
/// Time for which departing marks are remembered.
pub const DEPARTURE_RETENTION: Duration = Duration::from_mins(10);
/// Most departing marks; the oldest is forgotten first.
pub const MAX_DEPARTURES: usize = 16_384;

const FIRST_KEY: Key = Key::Target(0);
const LAST_KEY: Key = Key::Capacity(id::AvailabilityZoneId::MAX);

/// Settings.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// This VM.
    pub id: id::VmId,
    /// Where it stands.
    pub place: vm::Place,
    /// Life of the process; larger than every earlier one of the VM.
    pub incarnation: id::Incarnation,
    /// Seed of the phase of regular messages.
    pub seed: u64,
}

/// A VM of the directory.
pub type Member = (id::VmId, vm::Place);

/// Why nothing was published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// This life of the target has departed, or a later one was seen.
    Departed,
    /// The VM publishes too many entries.
    Full,
}

/// Safety rules that tests switch off to show that the checks catch their absence.
#[doc(hidden)]
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// Departing marks beat announcements.
    pub departures: bool,
    /// Ages count from the echoed message; otherwise from the arrival.
    pub echo: bool,
    /// Entries whose removal may have been missed are dropped.
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

/// An entry as readers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry<'a> {
    /// Name.
    pub key: Key,
    /// Content.
    pub value: &'a Value,
    /// VM that published it.
    pub origin: id::VmId,
    /// Time since the origin last vouched for it.
    pub age: Duration,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Mark {
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
    pub(crate) links: Links,
    pub(crate) mine: Origin,
    pub(crate) origins: BTreeMap<id::VmId, Origin>,
    pub(crate) marks: BTreeMap<id::TargetId, Mark>,
    pub(crate) peers: BTreeMap<id::VmId, Peer>,
    /// Versions sent to each peer for each origin.
    pub(crate) sent: BTreeMap<(id::VmId, id::VmId), (id::Incarnation, u64)>,
    /// Time of the last request for each origin.
    pub(crate) asked: BTreeMap<id::VmId, Duration>,
    pub(crate) urgent: bool,
    next_local: Duration,
    next_remote: Duration,
}

impl Gossip {
    /// Returns a VM's soft state, with nothing published and no members.
    pub fn new(config: Config, now: Duration) -> Self {
        let mut random = SmallRng::seed_from_u64(config.seed ^ config.id);
        let mut phase = |interval: Duration| now + interval.mul_f64(random.random::<f64>());
        Self {
            config,
            rules: Rules::default(),
            links: Links::new(config.id, config.place, now),
            mine: Origin::new(config.incarnation),
            origins: BTreeMap::new(),
            marks: BTreeMap::new(),
            peers: BTreeMap::new(),
            sent: BTreeMap::new(),
            asked: BTreeMap::new(),
            urgent: false,
            next_local: phase(LOCAL_INTERVAL),
            next_remote: phase(REMOTE_INTERVAL),
        }
    }

    /// Switches safety rules off.
    #[doc(hidden)]
    pub fn set_rules(&mut self, rules: Rules) {
        self.rules = rules;
    }

    /// Takes over the directory. Entries of VMs that are no longer in it are dropped.
    pub fn set_members(&mut self, now: Duration, members: &[Member]) {
        self.links.set_members(now, members);
        let links = &self.links;
        self.origins.retain(|vm, _| links.is_member(*vm));
        self.peers.retain(|vm, _| links.is_member(*vm));
        self.asked.retain(|vm, _| links.is_member(*vm));
        self.sent
            .retain(|(peer, origin), _| links.is_member(*peer) && links.is_member(*origin));
    }

    /// Publishes an entry of this VM. An equal value is not published again.
    pub fn set(&mut self, now: Duration, key: Key, value: Value) -> Result<(), Error> {
        if self.mine.get(key) == Some(&value) {
            return Ok(());
        }
        if let (Key::Target(target), Value::Target { announcement, .. }) = (key, &value)
            && self.is_departed(target, announcement.incarnation)
        {
            return Err(Error::Departed);
        }
        if self.mine.is_full(key) {
            return Err(Error::Full);
        }
        if let (Key::Target(target), Value::Departing { incarnation }) = (key, &value) {
            self.mark(now, target, *incarnation);
            if self.mine.get(key) == Some(&value) {
                return Ok(());
            }
        }
        self.urgent |= value.is_urgent();
        self.mine.publish(now, key, Some(value));
        Ok(())
    }

    /// Publishes that a life of a target takes no new work. The target need not have announced itself here.
    pub fn set_departing(
        &mut self,
        now: Duration,
        target: id::TargetId,
        incarnation: id::Incarnation,
    ) -> Result<(), Error> {
        if self
            .mine
            .get(Key::Target(target))
            .is_some_and(|value| value.rank().0 > incarnation)
        {
            return Err(Error::Departed);
        }
        self.set(now, Key::Target(target), Value::Departing { incarnation })
    }

    /// Removes an entry of this VM.
    pub fn remove(&mut self, now: Duration, key: Key) {
        if let Some(value) = self.mine.get(key) {
            self.urgent |= value.is_urgent();
            self.mine.publish(now, key, None);
        }
    }

    /// Returns when [`Gossip::tick`] has something to do next.
    pub fn next_wake(&self) -> Duration {
        if self.urgent {
            Duration::ZERO
        } else {
            self.next_local.min(self.next_remote)
        }
    }

    /// Sends regular messages that are due, and urgent changes.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<(id::VmId, Message)>) {
        if now >= self.next_local {
            self.next_local = now + LOCAL_INTERVAL;
            self.purge(now);
            for link in self.links.list(now, false) {
                self.send_regular(now, link, out);
            }
        }
        if now >= self.next_remote {
            self.next_remote = now + REMOTE_INTERVAL;
            for link in self.links.list(now, true).into_iter().filter(|link| !link.local) {
                self.send_regular(now, link, out);
            }
        }
        if self.urgent {
            self.send_urgent(now, out);
        }
    }

    fn purge(&mut self, now: Duration) {
        self.mine.purge(now);
        for origin in self.origins.values_mut() {
            origin.purge(now);
        }
        self.marks
            .retain(|_, mark| now < mark.since + DEPARTURE_RETENTION);
        let marks = &self.marks;
        let forgotten: Vec<Key> = self
            .mine
            .range(FIRST_KEY, Key::Target(id::TargetId::MAX))
            .filter(|(key, value)| {
                let marked = matches!(key, Key::Target(target) if marks.contains_key(target));
                matches!(value, Value::Departing { .. }) && !marked
            })
            .map(|(key, _)| key)
            .collect();
        for key in forgotten {
            self.mine.publish(now, key, None);
        }
    }

    /// Remembers that a life of a target departed, and withdraws its announcement by this VM.
    pub(crate) fn mark(&mut self, now: Duration, target: id::TargetId, incarnation: id::Incarnation) {
        if !self.marks.contains_key(&target) && self.marks.len() >= MAX_DEPARTURES {
            let oldest = self
                .marks
                .iter()
                .min_by_key(|(_, mark)| mark.since)
                .map(|(id, _)| *id);
            oldest.and_then(|oldest| self.marks.remove(&oldest));
        }
        let mark = self.marks.entry(target).or_insert(Mark {
            incarnation,
            since: now,
        });
        if incarnation > mark.incarnation {
            *mark = Mark {
                incarnation,
                since: now,
            };
        }
        let announced = matches!(
            self.mine.get(Key::Target(target)),
            Some(Value::Target { announcement, .. }) if announcement.incarnation <= incarnation
        );
        if announced && self.rules.departures {
            self.mine
                .publish(now, Key::Target(target), Some(Value::Departing { incarnation }));
            self.urgent = true;
        }
    }

    /// Tells whether a life of a target is known to take no new work.
    pub fn is_departed(&self, target: id::TargetId, incarnation: id::Incarnation) -> bool {
        self.rules.departures
            && self
                .marks
                .get(&target)
                .is_some_and(|mark| incarnation <= mark.incarnation)
    }

    fn age_of(&self, origin: id::VmId, now: Duration) -> Option<Duration> {
        if origin == self.config.id {
            return Some(Duration::ZERO);
        }
        let freshness = self.origins.get(&origin)?.freshness?;
        Some(now.saturating_sub(freshness))
    }

    /// Returns the entry of a key with the highest rank, the youngest among equals, whatever its age.
    pub fn get(&self, key: Key, now: Duration) -> Option<Entry<'_>> {
        let mut best: Option<Entry<'_>> = None;
        for (origin, entries) in self.all() {
            let Some(value) = entries.get(key) else {
                continue;
            };
            let entry = Entry {
                key,
                value,
                origin,
                age: self.age_of(origin, now).unwrap_or(Duration::MAX),
            };
            if best.is_none_or(|best| is_better(&entry, &best)) {
                best = Some(entry);
            }
        }
        best
    }

    /// Returns the age of the entry that [`Gossip::get`] returns; `None` when there is none or its age is not known.
    pub fn age(&self, key: Key, now: Duration) -> Option<Duration> {
        self.get(key, now)
            .map(|entry| entry.age)
            .filter(|age| *age != Duration::MAX)
    }

    /// Returns the time since a VM last vouched for its entries; `None` when it is not known.
    pub fn vm_age(&self, vm: id::VmId, now: Duration) -> Option<Duration> {
        self.age_of(vm, now)
    }

    fn all(&self) -> impl Iterator<Item = (id::VmId, &Origin)> {
        std::iter::once((self.config.id, &self.mine))
            .chain(self.origins.iter().map(|(vm, origin)| (*vm, origin)))
    }

    /// Returns one entry per key among those that are young enough for routing. Targets of which a later life or a
    /// departure is known, from an entry of any age, are left out.
    pub fn usable(&self, now: Duration) -> impl Iterator<Item = Entry<'_>> {
        self.usable_between(now, FIRST_KEY, LAST_KEY)
    }

    fn usable_between(&self, now: Duration, first: Key, last: Key) -> impl Iterator<Item = Entry<'_>> {
        let mut best: BTreeMap<Key, Entry<'_>> = BTreeMap::new();
        let mut lives: BTreeMap<id::TargetId, id::Incarnation> = BTreeMap::new();
        for (origin, entries) in self.all() {
            let age = self.age_of(origin, now).filter(|age| *age < USABLE_AGE);
            for (key, value) in entries.range(first, last) {
                if !self.rules.departures && matches!(value, Value::Departing { .. }) {
                    continue;
                }
                if let Key::Target(target) = key {
                    let life = lives.entry(target).or_default();
                    *life = value.rank().0.max(*life);
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
                if is_better(&entry, held) {
                    *held = entry;
                }
            }
        }
        best.into_values()
            .filter(move |entry| match (entry.key, entry.value) {
                (Key::Target(target), Value::Target { announcement, .. }) => {
                    let latest = lives.get(&target) == Some(&announcement.incarnation);
                    latest && !self.is_departed(target, announcement.incarnation)
                }
                (_, Value::Departing { .. }) => false,
                _ => true,
            })
    }

    /// Returns the targets that may get work.
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

    /// Returns the smallest applied root index over the members; `None` while one of them is too old or unknown.
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

    /// Returns the number of entries held, own ones included.
    pub fn len(&self) -> usize {
        self.all().map(|(_, origin)| origin.iter().count()).sum()
    }

    /// Tells whether no entries are held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Checks every invariant of the tables.
    pub fn verify(&self) -> Result<(), String> {
        for (vm, origin) in self.all() {
            origin.verify().map_err(|fault| format!("origin {vm}: {fault}"))?;
        }
        let members: BTreeSet<id::VmId> = self.origins.keys().copied().collect();
        if members.iter().any(|vm| !self.links.is_member(*vm)) || members.contains(&self.config.id) {
            return Err(String::from("entries of a VM that is not a member"));
        }
        for (target, mark) in &self.marks {
            let key = Key::Target(*target);
            if let Some(Value::Target { announcement, .. }) = self.mine.get(key)
                && announcement.incarnation <= mark.incarnation
                && self.rules.departures
            {
                return Err(format!("target {target} is announced after its departure"));
            }
        }
        Ok(())
    }
}

fn is_better(entry: &Entry<'_>, old: &Entry<'_>) -> bool {
    let rank = |entry: &Entry<'_>| (entry.value.rank(), std::cmp::Reverse(entry.age));
    rank(entry) > rank(old)
}
