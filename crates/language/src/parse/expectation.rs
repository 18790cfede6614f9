//! Error type of the parser.

use winnow::error::{ErrMode, ParserError};
use winnow::stream::{Location, Stream};

/// Position of a syntax error, and the input that is allowed there.
#[derive(Debug, Clone)]
pub(super) struct Expectation {
    /// Byte offset in the line, at a character boundary.
    pub(super) offset: usize,
    /// Description of the allowed input.
    pub(super) expected: String,
}

impl Expectation {
    pub(super) fn new(offset: usize, expected: impl Into<String>) -> Self {
        Self {
            offset,
            expected: expected.into(),
        }
    }

    /// Returns an error that ends parsing: one word determines every alternative, so no other one can succeed.
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
