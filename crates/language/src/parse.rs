//! The parser.
use crate::{fault, statement};
/// Parses one line.
pub fn parse(_line: &str) -> Result<statement::Statement, fault::Fault> {
    Err(fault::Fault {
        column: 1,
        found: String::new(),
        expected: String::from("a statement"),
    })
}
