//! Deduplication of resent commands: the most recent command ids with their first outcomes.

use std::marker::PhantomData;

use bronzespoke_model::id;
use bytes::Bytes;
use serde::{Deserialize, Serialize, Serializer, de::DeserializeOwned, ser::SerializeSeq};

use crate::{envelope, id_bytes, memory, shared};

/// Maximum number of command ids that are retained; the oldest is evicted first.
pub const MAX_IDS: usize = 65_536;

/// Size up to which an encoded outcome is stored without an allocation.
const INLINE_BYTES: usize = 22;

/// Bytes of a command id. A `u128` would align the entries to 16 bytes.
type Id = [u8; id_bytes::BYTES];

/// Serialized form of one id with its encoded outcome.
#[derive(Deserialize)]
struct Entry(#[serde(with = "id_bytes")] Id, Bytes);

/// An encoded outcome. Nearly all outcomes fit inline, which saves an allocation per id.
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

/// The most recent command ids and their first outcomes, serialized oldest first.
#[derive(Debug, Clone, Deserialize)]
#[serde(from = "Vec<Entry>", bound = "")]
pub struct Table<O> {
    /// Ids by sequence number of their insertion.
    order: shared::Map<u64, Id>,
    outcomes: shared::Map<Id, Stored>,
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
        for Entry(id, bytes) in entries {
            table.put(id, Stored::new(&bytes));
        }
        table
    }
}

impl<O> Serialize for Table<O> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut entries = serializer.serialize_seq(Some(self.order.len()))?;
        for id in self.order.values() {
            let bytes = self.outcomes.get(id).map_or(&[][..], Stored::bytes);
            entries.serialize_element(&(Encoded(id), Encoded(bytes)))?;
        }
        entries.end()
    }
}

/// Borrowed bytes that serialize like [`Bytes`], without a copy.
struct Encoded<'a>(&'a [u8]);

impl Serialize for Encoded<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(self.0)
    }
}

impl<O> Table<O> {
    fn put(&mut self, id: Id, outcome: Stored) {
        if self.outcomes.contains_key(&id) {
            return;
        }
        if self.order.len() == MAX_IDS
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.outcomes.remove(&oldest);
        }
        self.order.insert(self.next, id);
        self.next += 1;
        self.outcomes.insert(id, outcome);
    }

    /// Returns the number of retained ids.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether no ids are retained.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the estimated memory in bytes.
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
    /// Returns the first outcome of a command id that is still retained.
    pub fn get(&self, id: id::CommandId) -> Option<O> {
        let stored = self.outcomes.get(&id.to_le_bytes())?;
        envelope::from_bytes(stored.bytes()).ok()
    }

    /// Records the first outcome of a command id; a later outcome of the same id has no effect.
    pub fn insert(&mut self, id: id::CommandId, outcome: &O) {
        self.put(id.to_le_bytes(), Stored::new(&envelope::to_bytes(outcome)));
    }

    /// Checks that the order and the outcomes contain the same ids, and that all outcomes decode.
    pub fn verify(&self) -> Result<(), String> {
        let known = |id: &Id| self.get(id::CommandId::from_le_bytes(*id)).is_some();
        self.order.verify()?;
        self.outcomes.verify()?;
        let consistent = self.order.len() == self.outcomes.len() && self.order.values().all(known);
        if !consistent || self.order.len() > MAX_IDS {
            return Err(format!(
                "command ids: {} in order, {} with outcomes, at most {MAX_IDS}",
                self.order.len(),
                self.outcomes.len()
            ));
        }
        Ok(())
    }
}
