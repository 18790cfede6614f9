//! Local copy of the entries of one origin.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_model::id;

use crate::{
    key::{Key, Value},
    message::{self, Delta},
};

/// Time for which tombstones of removed entries are retained. A VM that was unreachable for longer receives the
/// complete state of the origin again.
pub(crate) const TOMBSTONE_RETENTION: Duration = Duration::from_mins(1);
/// Maximum number of entries of one origin, including tombstones.
pub(crate) const MAX_ENTRIES: usize = 16_384;

#[derive(Debug, Clone)]
pub(crate) struct Slot {
    pub(crate) version: u64,
    /// `None` is the tombstone of a removed entry.
    pub(crate) value: Option<Value>,
    /// Local time at which this version was stored.
    since: Duration,
}

/// Entries of one incarnation of an origin.
#[derive(Debug, Clone)]
pub(crate) struct Origin {
    pub(crate) incarnation: id::Incarnation,
    /// Version up to which the entries are complete.
    pub(crate) known: u64,
    /// Version up to which tombstones were purged here, or are accounted for by a transfer of the complete state.
    pub(crate) floor: u64,
    /// Local time, never overstated, at which `known` was still the origin's latest version.
    pub(crate) freshness: Option<Duration>,
    /// VM from which the freshness was received.
    pub(crate) via: Option<id::VmId>,
    slots: BTreeMap<Key, Slot>,
    versions: BTreeMap<u64, Key>,
}

impl Origin {
    pub(crate) const fn new(incarnation: id::Incarnation) -> Self {
        Self {
            incarnation,
            known: 0,
            floor: 0,
            freshness: None,
            via: None,
            slots: BTreeMap::new(),
            versions: BTreeMap::new(),
        }
    }

    pub(crate) fn get(&self, key: Key) -> Option<&Value> {
        self.slots.get(&key)?.value.as_ref()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Key, &Value)> {
        self.slots
            .iter()
            .filter_map(|(key, slot)| Some((*key, slot.value.as_ref()?)))
    }

    pub(crate) fn range(&self, first: Key, last: Key) -> impl Iterator<Item = (Key, &Value)> {
        self.slots
            .range(first..=last)
            .filter_map(|(key, slot)| Some((*key, slot.value.as_ref()?)))
    }

    pub(crate) fn is_full(&self, key: Key) -> bool {
        self.slots.len() >= MAX_ENTRIES && !self.slots.contains_key(&key)
    }

    /// Publishes a new version of a key.
    pub(crate) fn publish(&mut self, now: Duration, key: Key, value: Option<Value>) {
        self.known += 1;
        self.put(now, self.known, key, value);
    }

    fn put(&mut self, now: Duration, version: u64, key: Key, value: Option<Value>) {
        let slot = Slot {
            version,
            value,
            since: now,
        };
        if let Some(old) = self.slots.insert(key, slot) {
            self.versions.remove(&old.version);
        }
        self.versions.insert(version, key);
    }

    /// Returns the entries after a version that fit into `budget` bytes, or `None` if there are none.
    pub(crate) fn delta(&self, origin: id::VmId, after: u64, budget: &mut usize) -> Option<Delta> {
        if after >= self.known {
            return None;
        }
        let mut entries = Vec::new();
        let mut through = self.known;
        for (version, key) in self.versions.range(after + 1..) {
            let value = self.slots.get(key).and_then(|slot| slot.value.clone());
            let bytes = value.as_ref().map_or(32, Value::max_encoded_bytes);
            if bytes > *budget {
                through = entries
                    .last()
                    .map_or(after, |(step, _, _): &(u64, Key, Option<Value>)| after + step);
                break;
            }
            *budget -= bytes;
            entries.push((version - after, *key, value));
        }
        (through > after).then_some(Delta {
            origin,
            incarnation: self.incarnation,
            after,
            through,
            floor: self.floor,
            entries,
        })
    }

    /// Merges a delta of the same incarnation and returns the changed keys.
    pub(crate) fn merge(&mut self, now: Duration, delta: Delta) -> Vec<Key> {
        let missed_tombstones = self.known < delta.floor && self.floor < delta.floor;
        if delta.after == 0 && (missed_tombstones || self.known == 0) {
            self.reset(delta.floor);
        } else if missed_tombstones {
            return Vec::new();
        }
        if delta.after > self.known || delta.through <= self.known {
            return Vec::new();
        }
        let held = self.known;
        let mut changed = Vec::new();
        for (step, key, value) in delta.entries {
            let version = delta.after.saturating_add(step);
            if version <= held || version > delta.through || self.is_full(key) {
                continue;
            }
            self.put(now, version, key, value);
            changed.push(key);
        }
        self.known = delta.through;
        changed
    }

    fn reset(&mut self, floor: u64) {
        self.known = 0;
        self.floor = floor;
        self.slots.clear();
        self.versions.clear();
    }

    /// Purges tombstones after their retention period.
    pub(crate) fn purge(&mut self, now: Duration) {
        let due: Vec<(Key, u64)> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.value.is_none() && now >= slot.since + TOMBSTONE_RETENTION)
            .map(|(key, slot)| (*key, slot.version))
            .collect();
        for (key, version) in due {
            self.slots.remove(&key);
            self.versions.remove(&version);
            self.floor = self.floor.max(version);
        }
    }

    pub(crate) fn verify(&self) -> Result<(), String> {
        if self.slots.len() != self.versions.len() || self.slots.len() > MAX_ENTRIES {
            return Err(format!(
                "{} entries but {} versions",
                self.slots.len(),
                self.versions.len()
            ));
        }
        for (version, key) in &self.versions {
            let same = self.slots.get(key).is_some_and(|slot| slot.version == *version);
            if !same || *version > self.known {
                return Err(format!("version {version} does not match its entry"));
            }
        }
        Ok(())
    }
}

const _: () = assert!(message::MAX_ENTRIES_BYTES >= 1024);
