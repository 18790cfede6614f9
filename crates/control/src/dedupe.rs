//! Table of the newest command ids with their first outcomes.

use std::marker::PhantomData;

use bronzespoke_model::id;
use bytes::Bytes;
use serde::{Deserialize, Serialize, Serializer, de::DeserializeOwned, ser::SerializeSeq};

use crate::{envelope, memory, name, shared};

/// Command ids that are remembered; the oldest is forgotten first.
pub const MAX_IDS: usize = 65_536;

const INLINE_BYTES: usize = 22;

/// The bytes of a command id; a `u128` would align the entries to 16 bytes.
type Name = [u8; name::BYTES];

/// One id with its outcome, as encoded.
#[derive(Deserialize)]
struct Entry(#[serde(with = "name")] Name, Bytes);

/// An encoded outcome. Nearly all outcomes fit the inline form, which saves an allocation per id.
#[derive(Debug, Clone)]
enum Stored {
    Inline(u8, [u8; INLINE_BYTES]),
    Boxed(Box<[u8]>),
}

impl Stored {
    fn new(bytes: &[u8]) -> Self {
        if bytes.len() > INLINE_BYTES {
            return Self::Boxed(bytes.into());
        }
        let mut inline = [0; INLINE_BYTES];
        inline[..bytes.len()].copy_from_slice(bytes);
        Self::Inline(bytes.len() as u8, inline)
    }

    fn bytes(&self) -> &[u8] {
        match self {
            Self::Inline(len, bytes) => &bytes[..usize::from(*len)],
            Self::Boxed(bytes) => bytes,
        }
    }
}

/// The newest command ids and their first outcomes, oldest first.
#[derive(Debug, Clone, Deserialize)]
#[serde(from = "Vec<Entry>", bound = "")]
pub struct Table<O> {
    /// Ids by the order in which they came.
    order: shared::Map<u64, Name>,
    outcomes: shared::Map<Name, Stored>,
    next: u64,
    kind: PhantomData<O>,
}

impl<O> Default for Table<O> {
    fn default() -> Self {
        Self {
            order: shared::Map::default(),
            outcomes: shared::Map::default(),
            next: 0,
            kind: PhantomData,
        }
    }
}

impl<O> From<Vec<Entry>> for Table<O> {
    fn from(entries: Vec<Entry>) -> Self {
        let mut table = Self::default();
        for Entry(name, bytes) in entries {
            table.put(name, Stored::new(&bytes));
        }
        table
    }
}

impl<O> Serialize for Table<O> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut entries = serializer.serialize_seq(Some(self.order.len()))?;
        for name in self.order.values() {
            let bytes = self.outcomes.get(name).map_or(&[][..], Stored::bytes);
            entries.serialize_element(&(Encoded(name), Encoded(bytes)))?;
        }
        entries.end()
    }
}

/// Bytes in the form of [`Bytes`], without a copy.
struct Encoded<'a>(&'a [u8]);

impl Serialize for Encoded<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(self.0)
    }
}

impl<O> Table<O> {
    fn put(&mut self, name: Name, outcome: Stored) {
        if self.outcomes.contains_key(&name) {
            return;
        }
        if self.order.len() == MAX_IDS
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.outcomes.remove(&oldest);
        }
        self.order.insert(self.next, name);
        self.next += 1;
        self.outcomes.insert(name, outcome);
    }

    /// Returns the number of ids.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Tells whether there are no ids.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the estimated bytes of memory.
    pub(crate) fn memory(&self) -> usize {
        let boxed: usize = self
            .outcomes
            .values()
            .map(|outcome| match outcome {
                Stored::Inline(..) => 0,
                Stored::Boxed(bytes) => bytes.len() + memory::ALLOCATION_BYTES,
            })
            .sum();
        self.order.memory() + self.outcomes.memory() + boxed
    }
}

impl<O: Serialize + DeserializeOwned> Table<O> {
    /// Returns the first outcome of a command id.
    pub fn get(&self, id: id::CommandId) -> Option<O> {
        let stored = self.outcomes.get(&id.to_le_bytes())?;
        envelope::from_bytes(stored.bytes()).ok()
    }

    /// Records the first outcome of a command id; a later outcome of the same id changes nothing.
    pub fn insert(&mut self, id: id::CommandId, outcome: &O) {
        self.put(id.to_le_bytes(), Stored::new(&envelope::to_bytes(outcome)));
    }

    /// Checks that the order and the outcomes name the same ids, and that the outcomes decode.
    pub fn verify(&self) -> Result<(), String> {
        let known = |name: &Name| self.get(id::CommandId::from_le_bytes(*name)).is_some();
        self.order.verify()?;
        self.outcomes.verify()?;
        let same = self.order.len() == self.outcomes.len() && self.order.values().all(known);
        if !same || self.order.len() > MAX_IDS {
            return Err(format!(
                "command ids: {} in order, {} with outcomes, at most {MAX_IDS}",
                self.order.len(),
                self.outcomes.len()
            ));
        }
        Ok(())
    }
}
