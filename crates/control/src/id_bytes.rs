//! Serde encoding of 16-byte ids.
//!
//! Serde encodes an array element by element. Encoded as a byte string, which takes one more byte for the length, large
//! tables encode and decode in a fraction of the time.

use std::fmt;

use serde::{Deserializer, Serializer, de};

pub(crate) const BYTES: usize = 16;

pub(crate) fn serialize<S: Serializer>(id: &[u8; BYTES], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(id)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<[u8; BYTES], D::Error> {
    deserializer.deserialize_bytes(Visitor)
}

struct Visitor;

impl de::Visitor<'_> for Visitor {
    type Value = [u8; BYTES];

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{BYTES} bytes")
    }

    fn visit_bytes<E: de::Error>(self, v: &[u8]) -> Result<Self::Value, E> {
        v.try_into().map_err(|_length| E::invalid_length(v.len(), &self))
    }
}
