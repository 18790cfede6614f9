//! Framing of records: mark, length, checksum, content.

use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// Begins each record. Its last byte is the version of the format.
const MARK: [u8; 4] = [0xb5, 0x0c, 0xe4, 0x01];
/// Mark, length and checksum.
pub(crate) const HEADER_BYTES: usize = 12;
/// Largest content; larger than the largest snapshot, so a greater length is damage.
pub(crate) const MAX_RECORD_BYTES: usize = 128 * 1024 * 1024;

/// What stands at a place of a file.
#[derive(Debug)]
pub(crate) enum Found<'a> {
    /// A record and the place after it.
    Record(&'a [u8], usize),
    /// The end of the file.
    End,
    /// Bytes that are no record.
    Damage,
}

/// Appends a record to a buffer.
pub(crate) fn put<T: Serialize>(value: &T, buffer: &mut Vec<u8>) -> Result<(), Error> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    let filled = postcard::to_extend(value, std::mem::take(buffer));
    *buffer = filled.expect("plain data is always encoded");
    let length = buffer.len() - start - HEADER_BYTES;
    if length > MAX_RECORD_BYTES {
        return Err(Error::TooLarge { bytes: length as u64 });
    }
    let length = (length as u32).to_le_bytes();
    let checksum = checksum(length, &buffer[start + HEADER_BYTES..]).to_le_bytes();
    buffer[start..start + 4].copy_from_slice(&MARK);
    buffer[start + 4..start + 8].copy_from_slice(&length);
    buffer[start + 8..start + HEADER_BYTES].copy_from_slice(&checksum);
    Ok(())
}

/// Tells what stands at a place.
pub(crate) fn at(data: &[u8], offset: usize) -> Found<'_> {
    let rest = &data[offset..];
    if rest.is_empty() {
        return Found::End;
    }
    if rest.len() < HEADER_BYTES || rest[..4] != MARK {
        return Found::Damage;
    }
    let length = [rest[4], rest[5], rest[6], rest[7]];
    let expected = u32::from_le_bytes([rest[8], rest[9], rest[10], rest[11]]);
    let end = HEADER_BYTES + u32::from_le_bytes(length) as usize;
    match rest.get(HEADER_BYTES..end) {
        Some(content) if checksum(length, content) == expected => Found::Record(content, offset + end),
        _ => Found::Damage,
    }
}

/// Tells whether a valid record begins after a place.
pub(crate) fn follows(data: &[u8], offset: usize) -> bool {
    let starts = data.windows(MARK.len()).enumerate().skip(offset + 1);
    starts
        .filter(|(_, window)| **window == MARK)
        .any(|(start, _)| matches!(at(data, start), Found::Record(..)))
}

/// Decodes the only record of a file.
pub(crate) fn single<T: DeserializeOwned>(path: &Path, data: &[u8]) -> Result<T, Error> {
    match at(data, 0) {
        Found::Record(content, end) if end == data.len() => decode(path, 0, content),
        _ => Err(Error::corrupt(path, 0, "the checksum does not match")),
    }
}

/// Decodes the content of a record.
pub(crate) fn decode<T: DeserializeOwned>(path: &Path, offset: usize, content: &[u8]) -> Result<T, Error> {
    postcard::from_bytes(content)
        .map_err(|_invalid| Error::corrupt(path, offset, "a record has an unknown format"))
}

fn checksum(length: [u8; 4], content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(content);
    hasher.finalize()
}
