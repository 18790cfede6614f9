//! Durable storage of one replica.

use std::fs::{self, File, TryLockError};
use std::path::{Path, PathBuf};

use bronzespoke_consensus::{log, membership, replica, snapshot, write};
use bronzespoke_model::id;

use crate::error::Error;
use crate::file::{self, Budget};
use crate::record;
use crate::segment::{self, Chain, Item};

const LOCK: &str = "lock";
const VOTE: &str = "vote";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_SUFFIX: &str = ".tmp";

/// The files of one replica. After a failed write, the store rejects further writes until it is reopened.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    chain: Chain,
    budget: Budget,
    failed: bool,
    /// Holds the lock until the store is dropped.
    _lock: File,
}

impl Store {
    /// Opens or creates the files of a group in a data folder and returns the state that they hold.
    pub fn open(folder: &Path, group: id::GroupId) -> Result<(Self, replica::Restored), Error> {
        let data = folder;
        let folder = Self::folder(data, group);
        fs::create_dir_all(&folder).map_err(|source| Error::from_io(&folder, source))?;
        let lock = acquire_lock(&folder)?;
        remove_temporary_files(&folder)?;
        // A process that was killed between a change of a name and the sync of its folder leaves a state that a loss of
        // power takes back. What is read below counts as durable, so the names have to be.
        file::sync_folder(data)?;
        file::sync_folder(&folder)?;
        let vote = read_vote(&folder)?;
        let snapshot = read_snapshot(&folder)?;
        let (mut chain, content) = Chain::open(&folder, group)?;
        let position = snapshot
            .as_ref()
            .map_or_else(log::Position::default, |snapshot| snapshot.position);
        let entries = reconcile_with_snapshot(&folder, position, content.entries, &mut chain)?;
        let newest = entries.last().map_or(position, |entry| entry.position);
        if newest.term > vote.term {
            // A replica stores a term before its first entry, so the vote file was lost or replaced.
            return Err(Error::corrupt(
                &folder.join(VOTE),
                0,
                "the vote is older than the log",
            ));
        }
        let restored = replica::Restored {
            vote,
            membership: snapshot
                .as_ref()
                .map(|snapshot| snapshot.membership.clone())
                .unwrap_or_default(),
            commit: content.commit.max(position.index).min(newest.index),
            snapshot,
            entries,
        };
        let store = Self {
            folder,
            chain,
            budget: Budget::default(),
            failed: false,
            _lock: lock,
        };
        Ok((store, restored))
    }

    /// Returns the folder of a group in a data folder.
    pub fn folder(data: &Path, group: id::GroupId) -> PathBuf {
        data.join(group_folder_name(group))
    }

    /// Stores the initial members of a new group and returns the state from which each initial voter starts.
    pub fn bootstrap(&mut self, members: membership::Membership) -> Result<replica::Restored, Error> {
        let restored = replica::Restored::bootstrap(members);
        let kind = write::Kind::Append {
            entries: restored.entries.clone(),
            commit: 0,
        };
        self.write(&[write::Write { sequence: 0, kind }])?;
        Ok(restored)
    }

    /// Performs writes in order. All of them are durable on success; on an error, any of them may be lost.
    pub fn write(&mut self, writes: &[write::Write]) -> Result<(), Error> {
        if self.failed {
            return Err(Error::Failed);
        }
        let outcome = self.write_all(writes);
        self.failed = outcome.is_err();
        outcome
    }

    /// Returns the number of log segment files.
    pub fn segments(&self) -> usize {
        self.chain.count()
    }

    /// Simulates a disk that is full after `bytes` further bytes. For tests only.
    #[doc(hidden)]
    pub fn limit_bytes(&mut self, bytes: u64) {
        self.budget = Budget::limited(bytes);
    }

    fn write_all(&mut self, writes: &[write::Write]) -> Result<(), Error> {
        let mut items = Vec::new();
        for write in writes {
            match &write.kind {
                write::Kind::Append { entries, commit } => {
                    items.push(Item::Append {
                        entries: entries.clone(),
                        commit: *commit,
                    });
                }
                write::Kind::Commit(commit) => items.push(Item::Commit(*commit)),
                write::Kind::Vote(vote) => {
                    self.flush(&mut items)?;
                    self.replace_file(VOTE, vote)?;
                }
                write::Kind::Compact { snapshot, first } => {
                    self.flush(&mut items)?;
                    self.write_snapshot(snapshot)?;
                    self.chain.remove_before(*first)?;
                }
                write::Kind::Install(snapshot) => {
                    self.flush(&mut items)?;
                    self.write_snapshot(snapshot)?;
                    self.chain
                        .append(&[Item::Reset(snapshot.position)], &mut self.budget)?;
                    self.chain.remove_before(snapshot.position.index + 1)?;
                }
            }
        }
        self.flush(&mut items)
    }

    /// Appends the collected log changes as one record.
    fn flush(&mut self, items: &mut Vec<Item>) -> Result<(), Error> {
        if items.is_empty() {
            return Ok(());
        }
        self.chain.append(items, &mut self.budget)?;
        items.clear();
        Ok(())
    }

    fn replace_file<T: serde::Serialize>(&mut self, name: &str, value: &T) -> Result<(), Error> {
        let mut buffer = Vec::new();
        record::append(value, &mut buffer)?;
        file::replace_atomically(&self.folder, name, &buffer, &mut self.budget)
    }

    /// Writes a snapshot, then removes older ones.
    fn write_snapshot(&mut self, snapshot: &snapshot::Snapshot) -> Result<(), Error> {
        let name = format!("{SNAPSHOT_PREFIX}{:020}", snapshot.position.index);
        self.replace_file(&name, snapshot)?;
        for older in snapshot_names(&self.folder)? {
            if older < name {
                file::remove_if_exists(&self.folder.join(older))?;
            }
        }
        Ok(())
    }
}

fn group_folder_name(group: id::GroupId) -> String {
    match group {
        id::GroupId::Root => String::from("root"),
        id::GroupId::Zone(zone) => format!("zone-{zone}"),
    }
}

fn acquire_lock(folder: &Path) -> Result<File, Error> {
    let path = folder.join(LOCK);
    let file = File::create(&path).map_err(|source| Error::from_io(&path, source))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(Error::Locked { path }),
        Err(TryLockError::Error(source)) => Err(Error::from_io(&path, source)),
    }
}

/// Removes temporary files that an interrupted write left behind.
fn remove_temporary_files(folder: &Path) -> Result<(), Error> {
    for name in segment::file_names(folder)? {
        if name.ends_with(TEMPORARY_SUFFIX) {
            file::remove_if_exists(&folder.join(name))?;
        }
    }
    Ok(())
}

fn read_vote(folder: &Path) -> Result<write::Vote, Error> {
    let path = folder.join(VOTE);
    match file::read_if_exists(&path)? {
        Some(data) => record::decode_single(&path, &data),
        None => Ok(write::Vote::default()),
    }
}

/// Returns the names of the snapshot files, oldest first.
fn snapshot_names(folder: &Path) -> Result<Vec<String>, Error> {
    let mut names = segment::file_names(folder)?;
    names.retain(|name| name.starts_with(SNAPSHOT_PREFIX) && !name.ends_with(TEMPORARY_SUFFIX));
    names.sort_unstable();
    Ok(names)
}

/// Reads the latest snapshot. An older one is no substitute, because log entries after it may have been removed.
fn read_snapshot(folder: &Path) -> Result<Option<snapshot::Snapshot>, Error> {
    let Some(name) = snapshot_names(folder)?.pop() else {
        return Ok(None);
    };
    let path = folder.join(name);
    let Some(data) = file::read_if_exists(&path)? else {
        return Ok(None);
    };
    record::decode_single(&path, &data).map(Some)
}

/// Checks that the log continues the snapshot at `position`.
///
/// A crash after an installed snapshot was written, but before its log record was, leaves entries that the snapshot
/// replaces. They are removed durably here, before anything is appended after the snapshot.
fn reconcile_with_snapshot(
    folder: &Path,
    position: log::Position,
    entries: Vec<log::Entry>,
    chain: &mut Chain,
) -> Result<Vec<log::Entry>, Error> {
    let Some(first) = entries.first().map(|entry| entry.position.index) else {
        return Ok(entries);
    };
    if first > position.index + 1 {
        return Err(Error::corrupt(
            folder,
            0,
            "entries between the snapshot and the log are missing",
        ));
    }
    let agrees = match position.index.checked_sub(first) {
        Some(offset) => entries
            .get(offset as usize)
            .is_some_and(|entry| entry.position == position),
        None => true,
    };
    if agrees {
        return Ok(entries);
    }
    chain.append(&[Item::Reset(position)], &mut Budget::default())?;
    Ok(Vec::new())
}
