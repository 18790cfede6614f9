//! The durable side of one replica.

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

/// The files of one replica. A failed write leaves the store unusable until it is opened again.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    chain: Chain,
    budget: Budget,
    failed: bool,
    /// Keeps the lock until the store is dropped.
    _lock: File,
}

impl Store {
    /// Opens or creates the files of a group below a data folder and returns what they hold.
    pub fn open(folder: &Path, group: id::GroupId) -> Result<(Self, replica::Restored), Error> {
        let folder = Self::folder(folder, group);
        fs::create_dir_all(&folder).map_err(|source| Error::from_io(&folder, source))?;
        let lock = lock(&folder)?;
        remove_temporary(&folder)?;
        let vote = read_vote(&folder)?;
        let snapshot = read_snapshot(&folder)?;
        let (mut chain, content) = Chain::open(&folder, group)?;
        let position = snapshot
            .as_ref()
            .map_or_else(log::Position::default, |snapshot| snapshot.position);
        let entries = reconcile(&folder, position, content.entries, &mut chain)?;
        let newest = entries.last().map_or(position, |entry| entry.position);
        if newest.term > vote.term {
            // A term is stored before its first entry, so the vote file was lost or replaced.
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

    /// Folder of a group below a data folder.
    pub fn folder(data: &Path, group: id::GroupId) -> PathBuf {
        data.join(group_name(group))
    }

    /// Stores the first members of a new group and returns the state that each first voter starts from.
    pub fn bootstrap(&mut self, members: membership::Membership) -> Result<replica::Restored, Error> {
        let restored = replica::Restored::bootstrap(members);
        let kind = write::Kind::Append {
            entries: restored.entries.clone(),
            commit: 0,
        };
        self.write(&[write::Write { sequence: 0, kind }])?;
        Ok(restored)
    }

    /// Carries out writes in order. All are durable on return; after a fault, none of them may be relied on.
    pub fn write(&mut self, writes: &[write::Write]) -> Result<(), Error> {
        if self.failed {
            return Err(Error::Failed);
        }
        let outcome = self.write_all(writes);
        self.failed = outcome.is_err();
        outcome
    }

    /// Number of log segment files.
    pub fn segments(&self) -> usize {
        self.chain.count()
    }

    /// Lets the disk become full after a number of further bytes.
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
                    self.replace(VOTE, vote)?;
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

    fn flush(&mut self, items: &mut Vec<Item>) -> Result<(), Error> {
        if items.is_empty() {
            return Ok(());
        }
        self.chain.append(items, &mut self.budget)?;
        items.clear();
        Ok(())
    }

    fn replace<T: serde::Serialize>(&mut self, name: &str, value: &T) -> Result<(), Error> {
        let mut buffer = Vec::new();
        record::put(value, &mut buffer)?;
        file::replace(&self.folder, name, &buffer, &mut self.budget)
    }

    fn write_snapshot(&mut self, snapshot: &snapshot::Snapshot) -> Result<(), Error> {
        let name = format!("{SNAPSHOT_PREFIX}{:020}", snapshot.position.index);
        self.replace(&name, snapshot)?;
        for older in snapshots(&self.folder)? {
            if older < name {
                file::remove(&self.folder.join(older))?;
            }
        }
        Ok(())
    }
}

fn group_name(group: id::GroupId) -> String {
    match group {
        id::GroupId::Root => String::from("root"),
        id::GroupId::Zone(zone) => format!("zone-{zone}"),
    }
}

fn lock(folder: &Path) -> Result<File, Error> {
    let path = folder.join(LOCK);
    let file = File::create(&path).map_err(|source| Error::from_io(&path, source))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(Error::Locked { path }),
        Err(TryLockError::Error(source)) => Err(Error::from_io(&path, source)),
    }
}

/// Removes files whose writing was interrupted.
fn remove_temporary(folder: &Path) -> Result<(), Error> {
    for name in segment::names(folder)? {
        if name.ends_with(TEMPORARY_SUFFIX) {
            file::remove(&folder.join(name))?;
        }
    }
    Ok(())
}

fn read_vote(folder: &Path) -> Result<write::Vote, Error> {
    let path = folder.join(VOTE);
    match file::read(&path)? {
        Some(data) => record::single(&path, &data),
        None => Ok(write::Vote::default()),
    }
}

/// Names of the snapshot files, oldest first.
fn snapshots(folder: &Path) -> Result<Vec<String>, Error> {
    let mut names = segment::names(folder)?;
    names.retain(|name| name.starts_with(SNAPSHOT_PREFIX) && !name.ends_with(TEMPORARY_SUFFIX));
    names.sort_unstable();
    Ok(names)
}

/// Reads the newest snapshot. An older one is no substitute: entries after it may be removed.
fn read_snapshot(folder: &Path) -> Result<Option<snapshot::Snapshot>, Error> {
    let Some(name) = snapshots(folder)?.pop() else {
        return Ok(None);
    };
    let path = folder.join(name);
    let Some(data) = file::read(&path)? else {
        return Ok(None);
    };
    record::single(&path, &data).map(Some)
}

/// Checks the entries against the snapshot. A crash between a received snapshot and its log record leaves entries
/// that the snapshot replaced; they are dropped here, durably, before anything is appended after the snapshot.
fn reconcile(
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
