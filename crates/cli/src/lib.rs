//! The operators' command line, the demo and the report.
//!
//! The package is a library with a small program around it, so that its tests call the same code as the program.

pub mod demo;
pub mod failure;
pub mod logging;
pub mod report;
pub mod session;
pub mod settings;
pub mod shell;
pub mod timeline;

mod output;
