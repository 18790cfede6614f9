//! Syntax errors.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Error of parsing a line that is not a statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Column of the first unexpected character, counted in characters from 1.
    pub column: usize,
    /// Word at that column, truncated if it is long; empty at the end of the line.
    pub found: String,
    /// Description of the input that is allowed at that column.
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
