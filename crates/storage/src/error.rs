//! Errors of a store.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// Error of opening or writing a store.
#[derive(Debug)]
pub enum Error {
    /// The file system or the disk quota is full.
    DiskFull {
        /// File that could not be written.
        path: PathBuf,
    },
    /// The file system is read-only, or the process lacks permission to write.
    ReadOnly {
        /// File that could not be written.
        path: PathBuf,
    },
    /// Another process holds the lock of the folder.
    Locked {
        /// Path of the lock file.
        path: PathBuf,
    },
    /// Durable data is damaged or missing. The replica must be replaced by one with a new id.
    Corrupt {
        /// File that is damaged or missing.
        path: PathBuf,
        /// Offset of the damage in the file, in bytes.
        offset: u64,
        /// Description of the damage.
        reason: &'static str,
    },
    /// An earlier write failed, and the store must be reopened before it is used again.
    Failed,
    /// A record is larger than the maximum record size.
    TooLarge {
        /// Size of the record, in bytes.
        bytes: u64,
    },
    /// Any other error of the file system.
    Io {
        /// File or folder that was accessed.
        path: PathBuf,
        /// Error that the operating system returned.
        source: io::Error,
    },
}

impl Error {
    /// Classifies an I/O error on a file or folder.
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
