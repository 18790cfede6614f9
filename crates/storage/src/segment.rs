//! The log as a chain of append-only segment files.

use std::collections::VecDeque;
use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};

use bronzespoke_consensus::log;
use bronzespoke_model::id;
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::file::{self, Budget};
use crate::record::{self, Found};

/// Size at which a new segment begins.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;
const PREFIX: &str = "segment-";

/// First record of a segment.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Header {
    group: id::GroupId,
    number: u64,
}

/// One change of the log; a record holds the changes of one `Store::write`.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Item {
    /// Removes all entries from the first one's index on, then appends.
    Append { entries: Vec<log::Entry>, commit: u64 },
    /// Removes all entries; the next one follows this position.
    Reset(log::Position),
    /// Notes the commit index.
    Commit(u64),
}

/// What the segments hold.
#[derive(Debug, Default)]
pub(crate) struct Content {
    pub(crate) entries: Vec<log::Entry>,
    pub(crate) commit: u64,
}

/// A segment that is not written any more, with the largest index of an entry in it.
#[derive(Debug)]
struct Closed {
    path: PathBuf,
    last: u64,
}

/// The chain of segments.
///
/// Invariant: `size` is the length of the last segment up to its last durable record.
#[derive(Debug)]
pub(crate) struct Chain {
    folder: PathBuf,
    group: id::GroupId,
    closed: VecDeque<Closed>,
    number: u64,
    path: PathBuf,
    file: File,
    size: u64,
    last: u64,
}

impl Chain {
    /// Reads all segments and cuts a torn tail.
    pub(crate) fn open(folder: &Path, group: id::GroupId) -> Result<(Self, Content), Error> {
        let numbers = numbers(folder)?;
        let mut content = Content::default();
        let mut closed = VecDeque::new();
        let mut previous = None;
        let mut end = None;
        for number in &numbers {
            let path = path(folder, *number);
            if previous.is_some_and(|previous| previous + 1 != *number) {
                return Err(Error::corrupt(&path, 0, "the segment before this one is missing"));
            }
            previous = Some(*number);
            let newest = numbers.last() == Some(number);
            let header = Header {
                group,
                number: *number,
            };
            let (size, last) = read(&path, &header, newest, &mut content)?;
            if newest {
                end = Some((*number, size, last));
            } else {
                closed.push_back(Closed { path, last });
            }
        }
        let chain = match end {
            Some((number, size, last)) if size > 0 => {
                Self::reopen(folder, group, closed, (number, size, last))?
            }
            Some((number, ..)) => Self::create(folder, group, closed, number, &mut Budget::default())?,
            None => Self::create(folder, group, closed, 1, &mut Budget::default())?,
        };
        Ok((chain, content))
    }

    fn reopen(
        folder: &Path,
        group: id::GroupId,
        closed: VecDeque<Closed>,
        (number, size, last): (u64, u64, u64),
    ) -> Result<Self, Error> {
        let path = path(folder, number);
        let opened = OpenOptions::new().append(true).open(&path).and_then(|file| {
            if file.metadata()?.len() > size {
                file.set_len(size)?;
            }
            file.sync_all()?;
            Ok(file)
        });
        let file = opened.map_err(|source| Error::from_io(&path, source))?;
        Ok(Self {
            folder: folder.to_path_buf(),
            group,
            closed,
            number,
            path,
            file,
            size,
            last,
        })
    }

    fn create(
        folder: &Path,
        group: id::GroupId,
        closed: VecDeque<Closed>,
        number: u64,
        budget: &mut Budget,
    ) -> Result<Self, Error> {
        let path = path(folder, number);
        let mut buffer = Vec::new();
        record::put(&Header { group, number }, &mut buffer)?;
        file::remove(&path)?;
        let created = OpenOptions::new()
            .create_new(true)
            .append(true)
            .open(&path)
            .and_then(|mut file| {
                budget.write(&mut file, &buffer)?;
                file.sync_all()?;
                Ok(file)
            });
        let file = created.map_err(|source| Error::from_io(&path, source))?;
        file::sync_folder(folder)?;
        let size = buffer.len() as u64;
        Ok(Self {
            folder: folder.to_path_buf(),
            group,
            closed,
            number,
            path,
            file,
            size,
            last: 0,
        })
    }

    /// Appends one record and makes it durable. After a fault the file is cut back if possible.
    pub(crate) fn append(&mut self, items: &[Item], budget: &mut Budget) -> Result<(), Error> {
        if self.size >= SEGMENT_BYTES {
            self.rotate(budget)?;
        }
        let mut buffer = Vec::new();
        record::put(&items, &mut buffer)?;
        let written = budget
            .write(&mut self.file, &buffer)
            .and_then(|()| self.file.sync_data());
        if let Err(source) = written {
            // The record was not acknowledged. If cutting fails too, opening the store cuts the torn tail.
            let _ = self.file.set_len(self.size);
            return Err(Error::from_io(&self.path, source));
        }
        self.size += buffer.len() as u64;
        self.last = self.last.max(last_index(items));
        Ok(())
    }

    fn rotate(&mut self, budget: &mut Budget) -> Result<(), Error> {
        let closed = std::mem::take(&mut self.closed);
        let mut next = Self::create(&self.folder, self.group, closed, self.number + 1, budget)?;
        next.closed.push_back(Closed {
            path: self.path.clone(),
            last: self.last,
        });
        *self = next;
        Ok(())
    }

    /// Removes the oldest segments whose entries all lie before an index.
    pub(crate) fn remove_before(&mut self, first: u64) -> Result<(), Error> {
        while let Some(closed) = self.closed.pop_front_if(|closed| closed.last < first) {
            file::remove(&closed.path)?;
        }
        Ok(())
    }

    /// Number of segment files.
    pub(crate) fn count(&self) -> usize {
        self.closed.len() + 1
    }
}

fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{PREFIX}{number:020}"))
}

fn numbers(folder: &Path) -> Result<Vec<u64>, Error> {
    let mut numbers = Vec::new();
    for name in names(folder)? {
        if let Some(number) = name.strip_prefix(PREFIX).and_then(|number| number.parse().ok()) {
            numbers.push(number);
        }
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Names of the files in a folder.
pub(crate) fn names(folder: &Path) -> Result<Vec<String>, Error> {
    let listed = folder.read_dir().and_then(|entries| {
        let mut names = Vec::new();
        for entry in entries {
            names.extend(entry?.file_name().into_string().ok());
        }
        Ok(names)
    });
    listed.map_err(|source| Error::from_io(folder, source))
}

/// Reads a segment; returns the length up to the last valid record and the largest index.
fn read(path: &Path, header: &Header, newest: bool, content: &mut Content) -> Result<(u64, u64), Error> {
    let data = std::fs::read(path).map_err(|source| Error::from_io(path, source))?;
    let mut offset = 0;
    let mut last = 0;
    loop {
        match record::at(&data, offset) {
            Found::End => return Ok((offset as u64, last)),
            Found::Damage if newest && !record::follows(&data, offset) => return Ok((offset as u64, last)),
            Found::Damage => return Err(Error::corrupt(path, offset, "the checksum does not match")),
            Found::Record(bytes, end) if offset == 0 => {
                if record::decode::<Header>(path, 0, bytes)? != *header {
                    return Err(Error::corrupt(path, 0, "the segment belongs elsewhere"));
                }
                offset = end;
            }
            Found::Record(bytes, end) => {
                let items: Vec<Item> = record::decode(path, offset, bytes)?;
                last = last.max(last_index(&items));
                replay(path, offset, items, content)?;
                offset = end;
            }
        }
    }
}

fn last_index(items: &[Item]) -> u64 {
    let indices = items.iter().map(|item| match item {
        Item::Append { entries, .. } => entries.last().map_or(0, |entry| entry.position.index),
        Item::Reset(position) => position.index,
        Item::Commit(_) => 0,
    });
    indices.max().unwrap_or(0)
}

fn replay(path: &Path, offset: usize, items: Vec<Item>, content: &mut Content) -> Result<(), Error> {
    for item in items {
        match item {
            Item::Commit(commit) => content.commit = content.commit.max(commit),
            Item::Reset(position) => {
                content.entries.clear();
                content.commit = content.commit.max(position.index);
            }
            Item::Append { entries, commit } => {
                let Some(first) = entries.first().map(|entry| entry.position.index) else {
                    continue;
                };
                content.commit = content.commit.max(commit);
                if let Some(held) = content.entries.first().map(|entry| entry.position.index) {
                    if first > held + content.entries.len() as u64 {
                        return Err(Error::corrupt(path, offset, "entries are missing"));
                    }
                    content.entries.truncate(first.saturating_sub(held) as usize);
                }
                content.entries.extend(entries);
            }
        }
    }
    Ok(())
}
