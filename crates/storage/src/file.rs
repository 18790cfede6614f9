//! Small helpers for durable files.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use crate::error::Error;

/// Bytes that may still be written; lets a test fill the disk at any byte.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Budget(Option<u64>);

impl Budget {
    pub(crate) const fn limited(bytes: u64) -> Self {
        Self(Some(bytes))
    }

    /// Writes all bytes, or as many as the budget allows and then reports a full disk.
    pub(crate) fn write(&mut self, file: &mut File, data: &[u8]) -> io::Result<()> {
        let Some(left) = &mut self.0 else {
            return file.write_all(data);
        };
        let allowed = data.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
        *left -= allowed as u64;
        file.write_all(&data[..allowed])?;
        if allowed < data.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }
}

/// Makes the entries of a folder durable.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), Error> {
    let synced = File::open(folder).and_then(|file| file.sync_all());
    synced.map_err(|source| Error::from_io(folder, source))
}

/// Replaces a file so that either the old or the new content survives a crash.
pub(crate) fn replace(folder: &Path, name: &str, data: &[u8], budget: &mut Budget) -> Result<(), Error> {
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}.tmp"));
    let written = File::create(&temporary).and_then(|mut file| {
        budget.write(&mut file, data)?;
        file.sync_all()
    });
    let renamed = written.and_then(|()| fs::rename(&temporary, &path));
    if let Err(source) = renamed {
        // A leftover file would only take space; opening the store removes it as well.
        let _ = fs::remove_file(&temporary);
        return Err(Error::from_io(&path, source));
    }
    sync_folder(folder)
}

/// Reads a file that may not exist.
pub(crate) fn read(path: &Path) -> Result<Option<Vec<u8>>, Error> {
    match fs::read(path) {
        Ok(data) => Ok(Some(data)),
        Err(source) if source.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(Error::from_io(path, source)),
    }
}

/// Removes a file that may not exist.
pub(crate) fn remove(path: &Path) -> Result<(), Error> {
    match fs::remove_file(path) {
        Err(source) if source.kind() != io::ErrorKind::NotFound => Err(Error::from_io(path, source)),
        _ => Ok(()),
    }
}
