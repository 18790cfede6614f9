//! Durable files of a replica: checksummed log segments, snapshots and votes.
//!
//! Layout of the data folder; each group has a folder of its own:
//! - `lock`: locked while a process uses the folder.
//! - `vote`: latest term and vote, replaced atomically by a rename.
//! - `snapshot-<index>`: latest snapshot, written to a temporary file and renamed.
//! - `segment-<number>`: append-only log records; segments that a snapshot covers are removed.
//!
//! Consecutive log changes of a `Store::write` call become one record with one checksum, synced before the next
//! record. A damaged record that is followed by a valid one was therefore durable before, and is reported as
//! corruption. A damaged last record is a torn write and is truncated.

mod error;
mod file;
mod record;
mod segment;
mod store;

pub use error::Error;
pub use store::Store;
