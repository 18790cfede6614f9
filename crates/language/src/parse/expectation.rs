//! The parser's error: a place in the line and what is allowed there.

use winnow::error::{ErrMode, ParserError};
use winnow::stream::{Location, Stream};

/// What is allowed at a place.
#[derive(Debug, Clone)]
pub(super) struct Expectation {
    /// Byte offset in the line; always on a character boundary.
    pub(super) offset: usize,
    /// What is allowed.
    pub(super) expected: String,
}

impl Expectation {
    pub(super) fn new(offset: usize, expected: impl Into<String>) -> Self {
        Self {
            offset,
            expected: expected.into(),
        }
    }

    /// Returns an error that ends the parse; every choice is made by one word, so no other branch can succeed.
    pub(super) fn cut(offset: usize, expected: impl Into<String>) -> ErrMode<Self> {
        ErrMode::Cut(Self::new(offset, expected))
    }
}

impl<I: Stream + Location> ParserError<I> for Expectation {
    type Inner = Self;

    fn from_input(input: &I) -> Self {
        Self::new(input.current_token_start(), "a word")
    }

    fn into_inner(self) -> Result<Self::Inner, Self> {
        Ok(self)
    }
}
