//! An ordered map whose copy is cheap.
//!
//! A snapshot is encoded on another thread from a copy of the state, so that the copy is made while commands wait.
//! Entries are kept in leaves that copies share: a copy takes a reference to each leaf, and a change copies the leaf
//! that it changes, when another copy has it.

use std::{
    fmt,
    marker::PhantomData,
    ops::{Bound, RangeBounds},
    sync::Arc,
};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de, ser::SerializeMap};

/// Entries of a leaf: few enough that the copy of one takes microseconds, many enough that a copy of the largest table
/// (65,536 entries) takes about a thousand references.
const LEAF_ENTRIES: usize = 128;

/// An ordered map; copies share what neither of them has changed.
///
/// Invariant: no leaf is empty or has more than [`LEAF_ENTRIES`] entries, and keys grow within and across leaves.
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

/// Where a key is, or belongs.
#[derive(Clone, Copy)]
struct Place {
    leaf: usize,
    slot: usize,
    found: bool,
}

impl<K: Ord, V> Map<K, V> {
    fn place(&self, key: &K) -> Place {
        let leaf = self.leaves.partition_point(|leaf| leaf[0].0 <= *key);
        let Some(leaf) = leaf.checked_sub(1) else {
            return Place {
                leaf: 0,
                slot: 0,
                found: false,
            };
        };
        let slot = self.leaves[leaf].binary_search_by(|(other, _)| other.cmp(key));
        Place {
            leaf,
            slot: slot.unwrap_or_else(|slot| slot),
            found: slot.is_ok(),
        }
    }

    /// Returns the number of entries.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Tells whether there are no entries.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        let place = self.place(key);
        place.found.then(|| &self.leaves[place.leaf][place.slot].1)
    }

    /// Tells whether a key has a value.
    pub fn contains_key(&self, key: &K) -> bool {
        self.place(key).found
    }

    /// Returns the entry with the smallest key.
    pub fn first_key_value(&self) -> Option<(&K, &V)> {
        let (key, value) = self.leaves.first()?.first()?;
        Some((key, value))
    }

    /// Returns the entries in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        let entries = self.leaves.iter().flat_map(|leaf| leaf.iter());
        entries.map(|(key, value)| (key, value))
    }

    /// Returns the values in the order of their keys.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.iter().map(|(_, value)| value)
    }

    /// Returns the entries with keys in a range.
    pub fn range(&self, range: impl RangeBounds<K>) -> impl Iterator<Item = (&K, &V)> {
        let (leaf, slot) = match range.start_bound() {
            Bound::Unbounded => (0, 0),
            Bound::Included(key) => {
                let place = self.place(key);
                (place.leaf, place.slot)
            }
            Bound::Excluded(key) => {
                let place = self.place(key);
                (place.leaf, place.slot + usize::from(place.found))
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

    /// Returns the bytes of the leaves, without what the entries point to.
    pub fn memory(&self) -> usize {
        let leaves: usize = self.leaves.iter().map(|leaf| leaf.capacity()).sum();
        leaves * size_of::<(K, V)>() + self.leaves.len() * (size_of::<Vec<(K, V)>>() + 4 * size_of::<usize>())
    }

    /// Checks the invariant.
    pub fn verify(&self) -> Result<(), String> {
        let sized = |leaf: &Arc<Vec<(K, V)>>| (1..=LEAF_ENTRIES).contains(&leaf.len());
        let count: usize = self.leaves.iter().map(|leaf| leaf.len()).sum();
        let sorted = self
            .iter()
            .map(|(key, _)| key)
            .is_sorted_by(|left, right| left < right);
        if !self.leaves.iter().all(sized) || count != self.len || !sorted {
            return Err(String::from("the leaves of a map are not in order"));
        }
        Ok(())
    }
}

impl<K: Ord + Clone, V: Clone> Map<K, V> {
    /// Returns the value of a key for a change.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        let place = self.place(key);
        place
            .found
            .then(|| &mut Arc::make_mut(&mut self.leaves[place.leaf])[place.slot].1)
    }

    /// Sets the value of a key; returns the one that it had.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        let place = self.place(&key);
        if place.found {
            let entry = &mut Arc::make_mut(&mut self.leaves[place.leaf])[place.slot];
            return Some(std::mem::replace(&mut entry.1, value));
        }
        self.len += 1;
        let Some(leaf) = self.leaves.get_mut(place.leaf) else {
            self.leaves.push(Arc::new(vec![(key, value)]));
            return None;
        };
        if leaf.len() < LEAF_ENTRIES {
            let leaf = Arc::make_mut(leaf);
            if leaf.len() == leaf.capacity() {
                // A vector that grows by itself may get twice the room of a full leaf.
                leaf.reserve_exact(leaf.len().max(4).min(LEAF_ENTRIES - leaf.len()));
            }
            leaf.insert(place.slot, (key, value));
            return None;
        }
        if place.slot == LEAF_ENTRIES {
            // Keys that only grow fill their leaves.
            self.leaves.insert(place.leaf + 1, Arc::new(vec![(key, value)]));
            return None;
        }
        let leaf = Arc::make_mut(leaf);
        let mut upper = leaf.split_off(LEAF_ENTRIES / 2);
        match place.slot.checked_sub(leaf.len()) {
            Some(slot) => upper.insert(slot, (key, value)),
            None => leaf.insert(place.slot, (key, value)),
        }
        self.leaves.insert(place.leaf + 1, Arc::new(upper));
        None
    }

    /// Removes a key; returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let place = self.place(key);
        place.found.then(|| self.remove_at(place.leaf, place.slot).1)
    }

    /// Removes the entry with the smallest key.
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
        self.join(number);
        if let Some(previous) = number.checked_sub(1) {
            self.join(previous);
        }
        entry
    }

    /// Joins a leaf with the next one when they fill at most half a leaf, so that removals do not leave many small
    /// ones.
    fn join(&mut self, number: usize) {
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
