//! Helpers for durable file operations.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use crate::error::Error;

/// Number of bytes that may still be written, or no limit. Tests use a limit to simulate a disk that is full after any
/// given byte.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Budget(Option<u64>);

impl Budget {
    pub(crate) const fn limited(bytes: u64) -> Self {
        Self(Some(bytes))
    }

    /// Writes all of `data`, or writes the part that the budget allows and returns `StorageFull`.
    pub(crate) fn write(&mut self, file: &mut File, data: &[u8]) -> io::Result<()> {
        let Some(remaining) = &mut self.0 else {
            return file.write_all(data);
        };
        let allowed = data.len().min(usize::try_from(*remaining).unwrap_or(usize::MAX));
        *remaining -= allowed as u64;
        file.write_all(&data[..allowed])?;
        if allowed < data.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }
}

/// Syncs a folder, so that created, renamed and removed files in it survive a crash.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), Error> {
    let synced = File::open(folder).and_then(|file| file.sync_all());
    synced.map_err(|source| Error::from_io(folder, source))
}

/// Replaces a file atomically: after a crash it has either the old or the new content.
pub(crate) fn replace_atomically(
    folder: &Path,
    name: &str,
    data: &[u8],
    budget: &mut Budget,
) -> Result<(), Error> {
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}.tmp"));
    let written = File::create(&temporary).and_then(|mut file| {
        budget.write(&mut file, data)?;
        file.sync_all()
    });
    let renamed = written.and_then(|()| fs::rename(&temporary, &path));
    if let Err(source) = renamed {
        // A failed removal is harmless: opening the store removes temporary files.
        let _ = fs::remove_file(&temporary);
        return Err(Error::from_io(&path, source));
    }
    sync_folder(folder)
}

/// Reads a file; returns `None` if it does not exist.
pub(crate) fn read_if_exists(path: &Path) -> Result<Option<Vec<u8>>, Error> {
    match fs::read(path) {
        Ok(data) => Ok(Some(data)),
        Err(source) if source.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(Error::from_io(path, source)),
    }
}

/// Removes a file, if it exists.
pub(crate) fn remove_if_exists(path: &Path) -> Result<(), Error> {
    match fs::remove_file(path) {
        Err(source) if source.kind() != io::ErrorKind::NotFound => Err(Error::from_io(path, source)),
        _ => Ok(()),
    }
}
