//! Answers as typed values.
//!
//! An answer keeps numbers as numbers and says their unit in the column, so that the table for people and the JSON
//! for programs come from the same value.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::error;

/// Most rows in one answer; further rows are counted in [`Table::omitted`].
pub const MAX_ROWS: usize = 20_000;

/// Answer to one statement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum Answer {
    /// Rows.
    Table(Table),
    /// One or more sentences.
    Text(Text),
    /// The statement was refused or failed.
    Error(Error),
}

/// Rows under typed columns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// What the rows are, such as `tasks`.
    pub title: String,
    /// Columns, in order.
    pub columns: Vec<Column>,
    /// Rows; each has one value for each column.
    pub rows: Vec<Vec<Value>>,
    /// Rows that were left out because of [`MAX_ROWS`].
    pub omitted: u64,
}

/// A column.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Column {
    /// Name, in lower case.
    pub name: String,
    /// What its values are.
    pub kind: Kind,
}

/// What the values of a column are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Text.
    Text,
    /// An identifier.
    Id,
    /// A count.
    Count,
    /// Yes or no.
    Flag,
    /// Processors, in thousandths of a core.
    CpuMilli,
    /// Memory, in MiB.
    MemoryMib,
    /// Bytes.
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
    /// Yes or no.
    Flag(bool),
    /// A whole number in the unit of the column.
    Number(u64),
    /// A fraction in the unit of the column.
    Fraction(f64),
    /// Text.
    Text(String),
    /// Not known or not applicable.
    Absent,
}

/// A text answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Text {
    /// One or more sentences.
    pub text: String,
}

/// Why a statement was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Class of the error, for programs.
    pub code: Code,
    /// One sentence, for people.
    pub message: String,
    /// Column in the line, in characters from 1, for [`Code::Syntax`].
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
    /// The named thing does not exist.
    NotFound,
    /// The name is taken.
    Exists,
    /// Another operator's change came first; the message names the winner's version and command id.
    Conflict,
    /// A bound is reached.
    Full,
    /// Not done, because this process cannot reach a leader; safe to try again.
    Unavailable,
    /// Perhaps done; resend with the same command id to learn the outcome.
    Unconfirmed,
    /// A fault in the program.
    Internal,
}

impl Code {
    /// Tells whether the same statement may succeed at another process.
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
    fn from(fault: error::Error) -> Self {
        Self::Error(Error {
            code: Code::Syntax,
            message: fault.to_string(),
            column: Some(fault.column),
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

    /// Appends a row, or counts it as omitted when the table is full.
    ///
    /// # Panics
    ///
    /// Panics when the row does not have one value for each column.
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
