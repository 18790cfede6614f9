//! Typed answers.
//!
//! An answer contains numbers, and its columns specify their units, so that the text for operators and the JSON for
//! programs are generated from the same value.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::error;

/// Maximum number of rows in one answer; further rows are counted in [`Table::omitted`].
pub const MAX_ROWS: usize = 20_000;

/// Answer to one statement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum Answer {
    /// Rows, as the answer to a query.
    Table(Table),
    /// One or more sentences.
    Text(Text),
    /// The statement was refused or failed.
    Error(Error),
}

/// Rows under typed columns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Kind of objects in the rows, such as `tasks`.
    pub title: String,
    /// Columns, in the order of the values in a row.
    pub columns: Vec<Column>,
    /// Rows; each has exactly one value per column.
    pub rows: Vec<Vec<Value>>,
    /// Number of rows that were omitted because of [`MAX_ROWS`].
    pub omitted: u64,
}

/// A column of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Column {
    /// Name of the column, in lower case.
    pub name: String,
    /// Type and unit of its values.
    pub kind: Kind,
}

/// Type and unit of the values of a column.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Text without a unit.
    Text,
    /// An id, such as that of a job.
    Id,
    /// A number of items.
    Count,
    /// A boolean.
    Flag,
    /// Processors, in thousandths of a core.
    CpuMilli,
    /// Memory, in MiB.
    MemoryMib,
    /// A size, in bytes.
    Bytes,
    /// A duration, in milliseconds.
    DurationMs,
    /// A share, from 0.0 to 1.0.
    Share,
}

/// A value in a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// A boolean.
    Flag(bool),
    /// A whole number in the unit of the column.
    Number(u64),
    /// A fraction in the unit of the column.
    Fraction(f64),
    /// A text.
    Text(String),
    /// The value is unknown or not applicable.
    Absent,
}

/// A text answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Text {
    /// One or more sentences.
    pub text: String,
}

/// Reason why a statement was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Class of the error, which programs evaluate.
    pub code: Code,
    /// Description of the error for operators, in one sentence.
    pub message: String,
    /// For [`Code::Syntax`], the column of the error in the line, counted in characters from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub column: Option<usize>,
}

/// Class of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The line is not a statement.
    Syntax,
    /// A value is not allowed in the current state.
    Invalid,
    /// The named object does not exist.
    NotFound,
    /// An object with this name exists.
    Exists,
    /// Another change was applied first; the message contains its version and command id.
    Conflict,
    /// A limit is reached.
    Full,
    /// Not executed, because this process cannot reach a leader; the statement can be retried safely.
    Unavailable,
    /// The outcome is unknown; resending with the same command id returns it.
    Unconfirmed,
    /// An internal error of the daemon.
    Internal,
}

impl Code {
    /// Returns whether the same statement may succeed at another process.
    pub const fn is_retryable(self) -> bool {
        match self {
            Self::Unavailable | Self::Unconfirmed => true,
            Self::Syntax
            | Self::Invalid
            | Self::NotFound
            | Self::Exists
            | Self::Conflict
            | Self::Full
            | Self::Internal => false,
        }
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Syntax => "syntax",
            Self::Invalid => "invalid",
            Self::NotFound => "not found",
            Self::Exists => "exists",
            Self::Conflict => "conflict",
            Self::Full => "full",
            Self::Unavailable => "unavailable",
            Self::Unconfirmed => "unconfirmed",
            Self::Internal => "internal",
        })
    }
}

impl Answer {
    /// Returns a text answer.
    pub fn text(text: impl Into<String>) -> Self {
        Self::Text(Text { text: text.into() })
    }

    /// Returns an error answer.
    pub fn error(code: Code, message: impl Into<String>) -> Self {
        Self::Error(Error {
            code,
            message: message.into(),
            column: None,
        })
    }
}

impl From<error::Error> for Answer {
    fn from(error: error::Error) -> Self {
        Self::Error(Error {
            code: Code::Syntax,
            message: error.to_string(),
            column: Some(error.column),
        })
    }
}

impl Table {
    /// Returns a table without rows.
    pub fn new(title: impl Into<String>, columns: &[(&str, Kind)]) -> Self {
        let columns = columns.iter().map(|(name, kind)| Column {
            name: String::from(*name),
            kind: *kind,
        });
        Self {
            title: title.into(),
            columns: columns.collect(),
            rows: Vec::new(),
            omitted: 0,
        }
    }

    /// Appends a row, or counts it as omitted if the table is full.
    ///
    /// # Panics
    ///
    /// Panics if the row does not have exactly one value per column.
    pub fn push(&mut self, row: Vec<Value>) {
        assert_eq!(
            row.len(),
            self.columns.len(),
            "a row has one value for each column"
        );
        if self.rows.len() < MAX_ROWS {
            self.rows.push(row);
        } else {
            self.omitted += 1;
        }
    }
}

impl From<bool> for Value {
    fn from(value: bool) -> Self {
        Self::Flag(value)
    }
}

impl From<u16> for Value {
    fn from(value: u16) -> Self {
        Self::Number(u64::from(value))
    }
}

impl From<u32> for Value {
    fn from(value: u32) -> Self {
        Self::Number(u64::from(value))
    }
}

impl From<u64> for Value {
    fn from(value: u64) -> Self {
        Self::Number(value)
    }
}

impl From<f64> for Value {
    fn from(value: f64) -> Self {
        Self::Fraction(value)
    }
}

impl From<&str> for Value {
    fn from(value: &str) -> Self {
        Self::Text(String::from(value))
    }
}

impl From<String> for Value {
    fn from(value: String) -> Self {
        Self::Text(value)
    }
}

impl<T: Into<Value>> From<Option<T>> for Value {
    fn from(value: Option<T>) -> Self {
        value.map_or(Self::Absent, Into::into)
    }
}
