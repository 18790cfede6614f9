//! Faults of a store.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// Why the store could not be opened or written.
#[derive(Debug)]
pub enum Error {
    /// The disk or quota is full.
    DiskFull {
        /// File that was written.
        path: PathBuf,
    },
    /// The folder or file system does not allow writing.
    ReadOnly {
        /// File that was written.
        path: PathBuf,
    },
    /// Another process uses the folder.
    Locked {
        /// Lock file.
        path: PathBuf,
    },
    /// Durable data is damaged or missing. The member must be replaced by one with a new id.
    Corrupt {
        /// Damaged file.
        path: PathBuf,
        /// Place in the file in bytes.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// An earlier write failed; the store has to be opened again.
    Failed,
    /// A record is larger than `MAX_RECORD_BYTES`.
    TooLarge {
        /// Size in bytes.
        bytes: u64,
    },
    /// Any other fault of the file system.
    Io {
        /// File.
        path: PathBuf,
        /// Fault.
        source: io::Error,
    },
}

impl Error {
    /// Classifies a fault of the file system.
    pub fn from_io(path: &Path, source: io::Error) -> Self {
        let path = path.to_path_buf();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::DiskFull { path },
            io::ErrorKind::ReadOnlyFilesystem | io::ErrorKind::PermissionDenied => Self::ReadOnly { path },
            _ => Self::Io { path, source },
        }
    }

    pub(crate) fn corrupt(path: &Path, offset: usize, reason: &'static str) -> Self {
        Self::Corrupt {
            path: path.to_path_buf(),
            offset: offset as u64,
            reason,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DiskFull { path } => write!(f, "{}: the disk is full", path.display()),
            Self::ReadOnly { path } => write!(f, "{}: writing is not allowed", path.display()),
            Self::Locked { path } => write!(f, "{}: another process uses this folder", path.display()),
            Self::Corrupt { path, offset, reason } => {
                write!(f, "{} at byte {offset}: {reason}", path.display())
            }
            Self::Failed => write!(f, "an earlier write failed; the store has to be opened again"),
            Self::TooLarge { bytes } => write!(f, "a record of {bytes} bytes is too large"),
            Self::Io { path, source } => write!(f, "{}: {source}", path.display()),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io { source, .. } => Some(source),
            _ => None,
        }
    }
}
