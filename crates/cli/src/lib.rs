//! Command line for operators, the demo and the HTML report.
//!
//! The binary is a thin wrapper around this library, so that tests call the same code as the program.

pub mod demo;
pub mod failure;
pub mod logging;
pub mod report;
pub mod session;
pub mod settings;
pub mod shell;
pub mod timeline;

mod output;
