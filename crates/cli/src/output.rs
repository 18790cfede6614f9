//! Writes results to standard output.

use std::io::{self, Write};

use serde::Serialize;

use crate::failure;

/// Writes `text` to standard output and flushes it.
pub(crate) fn text(text: &str) -> Result<(), failure::Failure> {
    let mut out = io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    written.map_err(|error| match error.kind() {
        io::ErrorKind::BrokenPipe => failure::Failure::OutputClosed,
        _ => failure::Failure::refused(format!("standard output: {error}")),
    })
}

/// Writes `value` to standard output as one line of JSON.
pub(crate) fn json(value: &impl Serialize) -> Result<(), failure::Failure> {
    let mut line = serde_json::to_string(value).expect("answers and events are plain data");
    line.push('\n');
    text(&line)
}
