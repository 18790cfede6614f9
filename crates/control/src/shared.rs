//! An ordered map that is cheap to clone.
//!
//! A snapshot is encoded on another thread from a clone of the state, and commands wait while the clone is made.
//! Entries are therefore stored in reference-counted leaves with copy-on-write: a clone takes a reference to each leaf,
//! and a change copies the affected leaf if another clone shares it.

use std::{
    fmt,
    marker::PhantomData,
    ops::{Bound, RangeBounds},
    sync::Arc,
};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de, ser::SerializeMap};

/// Maximum number of entries in a leaf. Small enough that copying a leaf takes microseconds, and large enough that a
/// clone of the largest table (65,536 entries) takes about a thousand references.
const LEAF_ENTRIES: usize = 128;

/// An ordered map whose clones share the leaves that none of them has changed.
///
/// Invariant: no leaf is empty or has more than `LEAF_ENTRIES` entries, and keys are strictly ascending within and
/// across leaves.
#[derive(Clone)]
pub struct Map<K, V> {
    leaves: Vec<Arc<Vec<(K, V)>>>,
    len: usize,
}

impl<K, V> Default for Map<K, V> {
    fn default() -> Self {
        Self {
            leaves: Vec::new(),
            len: 0,
        }
    }
}

impl<K: fmt::Debug, V: fmt::Debug> fmt::Debug for Map<K, V> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entries = self.leaves.iter().flat_map(|leaf| leaf.iter());
        f.debug_map()
            .entries(entries.map(|(key, value)| (key, value)))
            .finish()
    }
}

/// Position at which a key is found, or at which it would be inserted.
#[derive(Clone, Copy)]
struct Position {
    leaf: usize,
    slot: usize,
    found: bool,
}

impl<K: Ord, V> Map<K, V> {
    fn find(&self, key: &K) -> Position {
        let leaf = self.leaves.partition_point(|leaf| leaf[0].0 <= *key);
        let Some(leaf) = leaf.checked_sub(1) else {
            return Position {
                leaf: 0,
                slot: 0,
                found: false,
            };
        };
        let slot = self.leaves[leaf].binary_search_by(|(other, _)| other.cmp(key));
        Position {
            leaf,
            slot: slot.unwrap_or_else(|slot| slot),
            found: slot.is_ok(),
        }
    }

    /// Returns the number of entries.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there are no entries.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the value of a key, if present.
    pub fn get(&self, key: &K) -> Option<&V> {
        let position = self.find(key);
        position
            .found
            .then(|| &self.leaves[position.leaf][position.slot].1)
    }

    /// Returns whether the map has an entry with a key.
    pub fn contains_key(&self, key: &K) -> bool {
        self.find(key).found
    }

    /// Returns the entry with the smallest key.
    pub fn first_key_value(&self) -> Option<(&K, &V)> {
        let (key, value) = self.leaves.first()?.first()?;
        Some((key, value))
    }

    /// Returns the entries in ascending order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        let entries = self.leaves.iter().flat_map(|leaf| leaf.iter());
        entries.map(|(key, value)| (key, value))
    }

    /// Returns the values in ascending order of their keys.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.iter().map(|(_, value)| value)
    }

    /// Returns the entries with keys in a range, in ascending order.
    pub fn range(&self, range: impl RangeBounds<K>) -> impl Iterator<Item = (&K, &V)> {
        let (leaf, slot) = match range.start_bound() {
            Bound::Unbounded => (0, 0),
            Bound::Included(key) => {
                let position = self.find(key);
                (position.leaf, position.slot)
            }
            Bound::Excluded(key) => {
                let position = self.find(key);
                (position.leaf, position.slot + usize::from(position.found))
            }
        };
        let rest = self.leaves[leaf.min(self.leaves.len())..].iter().enumerate();
        let entries =
            rest.flat_map(move |(number, leaf)| leaf.iter().skip(if number == 0 { slot } else { 0 }));
        entries
            .map(|(key, value)| (key, value))
            .take_while(move |(key, _)| match range.end_bound() {
                Bound::Unbounded => true,
                Bound::Included(end) => *key <= end,
                Bound::Excluded(end) => *key < end,
            })
    }

    /// Returns the memory of the leaves in bytes, without heap data of the entries.
    pub fn memory(&self) -> usize {
        let leaves: usize = self.leaves.iter().map(|leaf| leaf.capacity()).sum();
        leaves * size_of::<(K, V)>() + self.leaves.len() * (size_of::<Vec<(K, V)>>() + 4 * size_of::<usize>())
    }

    /// Checks the invariant of the leaves.
    pub fn verify(&self) -> Result<(), String> {
        let sized = |leaf: &Arc<Vec<(K, V)>>| (1..=LEAF_ENTRIES).contains(&leaf.len());
        let count: usize = self.leaves.iter().map(|leaf| leaf.len()).sum();
        let sorted = self
            .iter()
            .map(|(key, _)| key)
            .is_sorted_by(|left, right| left < right);
        if !self.leaves.iter().all(sized) || count != self.len || !sorted {
            return Err(String::from(
                "the leaves of a map are empty, too large, unsorted or miscounted",
            ));
        }
        Ok(())
    }
}

impl<K: Ord + Clone, V: Clone> Map<K, V> {
    /// Returns a mutable reference to the value of a key, if present.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let position = self.find(key);
        position
            .found
            .then(|| &mut Arc::make_mut(&mut self.leaves[position.leaf])[position.slot].1)
    }

    /// Sets the value of a key and returns the previous one.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        let position = self.find(&key);
        if position.found {
            let entry = &mut Arc::make_mut(&mut self.leaves[position.leaf])[position.slot];
            return Some(std::mem::replace(&mut entry.1, value));
        }
        self.len += 1;
        let Some(leaf) = self.leaves.get_mut(position.leaf) else {
            self.leaves.push(Arc::new(vec![(key, value)]));
            return None;
        };
        if leaf.len() < LEAF_ENTRIES {
            let leaf = Arc::make_mut(leaf);
            if leaf.len() == leaf.capacity() {
                // Amortized growth could reserve twice the size of a full leaf.
                leaf.reserve_exact(leaf.len().max(4).min(LEAF_ENTRIES - leaf.len()));
            }
            leaf.insert(position.slot, (key, value));
            return None;
        }
        if position.slot == LEAF_ENTRIES {
            // Append without a split, so that ascending insertions fill their leaves.
            self.leaves
                .insert(position.leaf + 1, Arc::new(vec![(key, value)]));
            return None;
        }
        let leaf = Arc::make_mut(leaf);
        let mut upper = leaf.split_off(LEAF_ENTRIES / 2);
        match position.slot.checked_sub(leaf.len()) {
            Some(slot) => upper.insert(slot, (key, value)),
            None => leaf.insert(position.slot, (key, value)),
        }
        self.leaves.insert(position.leaf + 1, Arc::new(upper));
        None
    }

    /// Removes a key and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let position = self.find(key);
        position
            .found
            .then(|| self.remove_at(position.leaf, position.slot).1)
    }

    /// Removes and returns the entry with the smallest key.
    pub fn pop_first(&mut self) -> Option<(K, V)> {
        (!self.is_empty()).then(|| self.remove_at(0, 0))
    }

    fn remove_at(&mut self, number: usize, slot: usize) -> (K, V) {
        self.len -= 1;
        let leaf = Arc::make_mut(&mut self.leaves[number]);
        let entry = leaf.remove(slot);
        if leaf.is_empty() {
            self.leaves.remove(number);
            return entry;
        }
        self.merge_with_next(number);
        if let Some(previous) = number.checked_sub(1) {
            self.merge_with_next(previous);
        }
        entry
    }

    /// Merges a leaf with the next one if together they fill at most half a leaf, so that removals do not leave many
    /// small leaves.
    fn merge_with_next(&mut self, number: usize) {
        let Some(next) = self.leaves.get(number + 1) else {
            return;
        };
        if self.leaves[number].len() + next.len() <= LEAF_ENTRIES / 2 {
            let next = self.leaves.remove(number + 1);
            Arc::make_mut(&mut self.leaves[number]).extend(next.iter().cloned());
        }
    }
}

impl<K: Serialize + Ord, V: Serialize> Serialize for Map<K, V> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut entries = serializer.serialize_map(Some(self.len))?;
        for (key, value) in self.iter() {
            entries.serialize_entry(key, value)?;
        }
        entries.end()
    }
}

impl<'de, K, V> Deserialize<'de> for Map<K, V>
where
    K: Deserialize<'de> + Ord + Clone,
    V: Deserialize<'de> + Clone,
{
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Visitor<K, V>(PhantomData<(K, V)>);

        impl<'de, K, V> de::Visitor<'de> for Visitor<K, V>
        where
            K: Deserialize<'de> + Ord + Clone,
            V: Deserialize<'de> + Clone,
        {
            type Value = Map<K, V>;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("a map")
            }

            fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
                let mut entries = Map::default();
                while let Some((key, value)) = map.next_entry()? {
                    entries.insert(key, value);
                }
                Ok(entries)
            }
        }

        deserializer.deserialize_map(Visitor(PhantomData))
    }
}
