//! The operators' query and command language.
//!
//! The package parses a line into a typed [`statement::Statement`], renders a statement back, and holds the typed
//! [`answer::Answer`]. It decides nothing and reads nothing, so that the daemon, the command line and the tests
//! agree on one meaning of a line. The grammar is in [`parse`](mod@parse).

pub mod answer;
pub mod error;
pub mod parse;
pub mod render;
pub mod statement;
pub mod unit;

mod display;

pub use display::encode_hex;
pub use error::Error;
pub use parse::parse;
