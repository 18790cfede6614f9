//! Faults in a line.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Why a line is not a statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Column of the first character that does not fit, in characters from 1.
    pub column: usize,
    /// Word at that column, shortened; empty at the end of the line.
    pub found: String,
    /// What is allowed there.
    pub expected: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "column {}: ", self.column)?;
        if self.found.is_empty() {
            write!(f, "the line ends here")?;
        } else {
            write!(f, "found `{}`", self.found)?;
        }
        write!(f, "; expected {}", self.expected)
    }
}

impl std::error::Error for Error {}
