//! Durable files of a replica: checksummed log segments, snapshots and votes.
//!
//! Layout below the data folder, one folder for each group:
//! - `lock`: held while a process uses the folder.
//! - `vote`: newest term and vote, replaced by rename.
//! - `snapshot-<index>`: newest snapshot, written under a temporary name and renamed.
//! - `segment-<number>`: log records, appended and never rewritten; old segments are removed after a snapshot.
//!
//! One `Store::write` call becomes one log record with one checksum. A damaged record that is followed by a valid
//! one was therefore durable once, so it is reported as corruption; a damaged last record is a torn write and cut.

mod error;
mod file;
mod record;
mod segment;
mod store;

pub use error::Error;
pub use store::Store;
