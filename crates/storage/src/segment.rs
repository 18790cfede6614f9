//! The log, stored as a sequence of append-only segment files.

use std::collections::VecDeque;
use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};

use bronzespoke_consensus::log;
use bronzespoke_model::id;
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::file::{self, Budget};
use crate::record::{self, Read};

/// Size, in bytes, from which on the next record goes to a new segment.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;
const PREFIX: &str = "segment-";

/// First record of a segment. It identifies the segment, so that a misplaced file is detected.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Header {
    group: id::GroupId,
    number: u64,
}

/// One change of the log. A record holds the changes of one `Store::write` call.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Item {
    /// Truncates the log from the index of the first entry on, then appends the entries.
    Append { entries: Vec<log::Entry>, commit: u64 },
    /// Removes all entries; the next entry follows this position.
    Reset(log::Position),
    /// Advances the commit index.
    Commit(u64),
}

/// Log entries and commit index that the segments hold.
#[derive(Debug, Default)]
pub(crate) struct Content {
    pub(crate) entries: Vec<log::Entry>,
    pub(crate) commit: u64,
}

/// A segment that is no longer written to.
#[derive(Debug)]
struct Sealed {
    path: PathBuf,
    /// Largest index of an entry in the segment.
    last: u64,
}

/// The segments of a log: sealed segments, oldest first, and the active segment, which is appended to.
#[derive(Debug)]
pub(crate) struct Chain {
    folder: PathBuf,
    group: id::GroupId,
    sealed: VecDeque<Sealed>,
    /// Number of the active segment.
    number: u64,
    path: PathBuf,
    file: File,
    /// Length of the active segment up to the end of its last durable record.
    size: u64,
    /// Largest index of an entry in the active segment.
    last: u64,
}

impl Chain {
    /// Reads all segments, truncates a torn record at the end of the last one, and opens it for appending.
    pub(crate) fn open(folder: &Path, group: id::GroupId) -> Result<(Self, Content), Error> {
        let numbers = segment_numbers(folder)?;
        let mut content = Content::default();
        let mut sealed = VecDeque::new();
        let mut previous = None;
        let mut end = None;
        for number in &numbers {
            let path = segment_path(folder, *number);
            if previous.is_some_and(|previous| previous + 1 != *number) {
                return Err(Error::corrupt(&path, 0, "the segment before this one is missing"));
            }
            previous = Some(*number);
            let is_last = numbers.last() == Some(number);
            let header = Header {
                group,
                number: *number,
            };
            let (size, last) = read_segment(&path, &header, is_last, &mut content)?;
            if is_last {
                end = Some((*number, size, last));
            } else {
                sealed.push_back(Sealed { path, last });
            }
        }
        let chain = match end {
            Some((number, size, last)) if size > 0 => {
                Self::reopen(folder, group, sealed, (number, size, last))?
            }
            Some((number, ..)) => Self::create(folder, group, sealed, number, &mut Budget::default())?,
            None => Self::create(folder, group, sealed, 1, &mut Budget::default())?,
        };
        Ok((chain, content))
    }

    fn reopen(
        folder: &Path,
        group: id::GroupId,
        sealed: VecDeque<Sealed>,
        (number, size, last): (u64, u64, u64),
    ) -> Result<Self, Error> {
        let path = segment_path(folder, number);
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
            sealed,
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
        sealed: VecDeque<Sealed>,
        number: u64,
        budget: &mut Budget,
    ) -> Result<Self, Error> {
        let path = segment_path(folder, number);
        let mut buffer = Vec::new();
        record::append(&Header { group, number }, &mut buffer)?;
        file::remove_if_exists(&path)?;
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
            sealed,
            number,
            path,
            file,
            size,
            last: 0,
        })
    }

    /// Appends one record and makes it durable. On an error, truncates the file to its last durable record if possible.
    pub(crate) fn append(&mut self, items: &[Item], budget: &mut Budget) -> Result<(), Error> {
        if self.size >= SEGMENT_BYTES {
            self.rotate(budget)?;
        }
        let mut buffer = Vec::new();
        record::append(&items, &mut buffer)?;
        let written = budget
            .write(&mut self.file, &buffer)
            .and_then(|()| self.file.sync_data());
        if let Err(source) = written {
            // The record was not acknowledged. If the truncation fails as well, opening the store truncates the torn
            // record.
            let _ = self.file.set_len(self.size);
            return Err(Error::from_io(&self.path, source));
        }
        self.size += buffer.len() as u64;
        self.last = self.last.max(last_index(items));
        Ok(())
    }

    fn rotate(&mut self, budget: &mut Budget) -> Result<(), Error> {
        let sealed = std::mem::take(&mut self.sealed);
        let mut next = Self::create(&self.folder, self.group, sealed, self.number + 1, budget)?;
        next.sealed.push_back(Sealed {
            path: self.path.clone(),
            last: self.last,
        });
        *self = next;
        Ok(())
    }

    /// Removes sealed segments whose entries all precede the index `first`.
    pub(crate) fn remove_before(&mut self, first: u64) -> Result<(), Error> {
        while let Some(sealed) = self.sealed.pop_front_if(|sealed| sealed.last < first) {
            file::remove_if_exists(&sealed.path)?;
        }
        Ok(())
    }

    /// Returns the number of segment files.
    pub(crate) fn count(&self) -> usize {
        self.sealed.len() + 1
    }
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{PREFIX}{number:020}"))
}

/// Returns the numbers of the segment files in a folder, in ascending order.
fn segment_numbers(folder: &Path) -> Result<Vec<u64>, Error> {
    let mut numbers = Vec::new();
    for name in file_names(folder)? {
        if let Some(number) = name.strip_prefix(PREFIX).and_then(|number| number.parse().ok()) {
            numbers.push(number);
        }
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Returns the names of the files in a folder.
pub(crate) fn file_names(folder: &Path) -> Result<Vec<String>, Error> {
    let listed = folder.read_dir().and_then(|entries| {
        let mut names = Vec::new();
        for entry in entries {
            names.extend(entry?.file_name().into_string().ok());
        }
        Ok(names)
    });
    listed.map_err(|source| Error::from_io(folder, source))
}

/// Reads a segment and replays its changes. Returns its length up to the end of the last valid record, and the largest
/// index of an entry in it.
fn read_segment(
    path: &Path,
    header: &Header,
    is_last: bool,
    content: &mut Content,
) -> Result<(u64, u64), Error> {
    let data = std::fs::read(path).map_err(|source| Error::from_io(path, source))?;
    let mut offset = 0;
    let mut last = 0;
    loop {
        match record::read_at(&data, offset) {
            Read::End => return Ok((offset as u64, last)),
            Read::Invalid if is_last && !record::has_valid_record_after(&data, offset) => {
                return Ok((offset as u64, last));
            }
            Read::Invalid => return Err(Error::corrupt(path, offset, "the checksum does not match")),
            Read::Record(bytes, end) if offset == 0 => {
                if record::decode::<Header>(path, 0, bytes)? != *header {
                    return Err(Error::corrupt(
                        path,
                        0,
                        "the segment belongs to another group or has another number",
                    ));
                }
                offset = end;
            }
            Read::Record(bytes, end) => {
                let items: Vec<Item> = record::decode(path, offset, bytes)?;
                last = last.max(last_index(&items));
                replay(path, offset, items, content)?;
                offset = end;
            }
        }
    }
}

/// Returns the largest log index that the changes refer to, or 0.
fn last_index(items: &[Item]) -> u64 {
    let indices = items.iter().map(|item| match item {
        Item::Append { entries, .. } => entries.last().map_or(0, |entry| entry.position.index),
        Item::Reset(position) => position.index,
        Item::Commit(_) => 0,
    });
    indices.max().unwrap_or(0)
}

/// Applies the changes of a record to the content.
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
                        return Err(Error::corrupt(path, offset, "log entries are missing"));
                    }
                    content.entries.truncate(first.saturating_sub(held) as usize);
                }
                content.entries.extend(entries);
            }
        }
    }
    Ok(())
}
