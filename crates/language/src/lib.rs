//! The operators' query and command language.
//!
//! The package parses a line into a typed [`statement::Statement`], renders a statement as text, and defines the typed
//! [`answer::Answer`]. It executes nothing and performs no I/O, so that the daemon, the command line and the tests
//! share one definition of the language. The grammar is in [`parse`](mod@parse).

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
