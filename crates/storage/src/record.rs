//! Framing of records: magic number, length, checksum, content.

use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// Magic number at the start of each record. Its last byte is the version of the format.
const MAGIC: [u8; 4] = [0xb5, 0x0c, 0xe4, 0x01];
/// Size of the magic number, the length and the checksum.
pub(crate) const HEADER_BYTES: usize = 12;
/// Maximum size of the content of a record. It exceeds the largest snapshot, so no valid record is longer.
pub(crate) const MAX_RECORD_BYTES: usize = 128 * 1024 * 1024;

/// Result of reading a record at an offset.
#[derive(Debug)]
pub(crate) enum Read<'a> {
    /// Content of a valid record, and the offset after the record.
    Record(&'a [u8], usize),
    /// The offset is the end of the file.
    End,
    /// The bytes at the offset are not a valid record.
    Invalid,
}

/// Encodes a value as a record and appends it to a buffer.
pub(crate) fn append<T: Serialize>(value: &T, buffer: &mut Vec<u8>) -> Result<(), Error> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    let filled = postcard::to_extend(value, std::mem::take(buffer));
    *buffer = filled.expect("serializing plain data does not fail");
    let length = buffer.len() - start - HEADER_BYTES;
    if length > MAX_RECORD_BYTES {
        return Err(Error::TooLarge { bytes: length as u64 });
    }
    let length = (length as u32).to_le_bytes();
    let checksum = checksum(length, &buffer[start + HEADER_BYTES..]).to_le_bytes();
    buffer[start..start + 4].copy_from_slice(&MAGIC);
    buffer[start + 4..start + 8].copy_from_slice(&length);
    buffer[start + 8..start + HEADER_BYTES].copy_from_slice(&checksum);
    Ok(())
}

/// Reads the record at an offset.
pub(crate) fn read_at(data: &[u8], offset: usize) -> Read<'_> {
    let rest = &data[offset..];
    if rest.is_empty() {
        return Read::End;
    }
    if rest.len() < HEADER_BYTES || rest[..4] != MAGIC {
        return Read::Invalid;
    }
    let length = [rest[4], rest[5], rest[6], rest[7]];
    let expected = u32::from_le_bytes([rest[8], rest[9], rest[10], rest[11]]);
    let end = HEADER_BYTES + u32::from_le_bytes(length) as usize;
    match rest.get(HEADER_BYTES..end) {
        Some(content) if checksum(length, content) == expected => Read::Record(content, offset + end),
        _ => Read::Invalid,
    }
}

/// Returns whether a valid record starts anywhere after an offset.
pub(crate) fn has_valid_record_after(data: &[u8], offset: usize) -> bool {
    let starts = data.windows(MAGIC.len()).enumerate().skip(offset + 1);
    starts
        .filter(|(_, window)| **window == MAGIC)
        .any(|(start, _)| matches!(read_at(data, start), Read::Record(..)))
}

/// Decodes a file that consists of one record.
pub(crate) fn decode_single<T: DeserializeOwned>(path: &Path, data: &[u8]) -> Result<T, Error> {
    match read_at(data, 0) {
        Read::Record(content, end) if end == data.len() => decode(path, 0, content),
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
