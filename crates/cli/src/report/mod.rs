//! Renders the JSON of a policy run or a timeline as one self-contained HTML page.

use std::{fs, path::Path};

use serde_json::Value;

use crate::{failure, output, timeline::merge};

pub mod chart;
pub mod measures;
pub mod page;

/// Maximum size of the input file, in bytes.
const MAX_INPUT_BYTES: u64 = 256 << 20;

/// Reads the JSON file `input` and writes the page to `file`, or to standard output if `file` is absent.
pub fn run(input: &Path, file: Option<&Path>) -> Result<(), failure::Failure> {
    let shown = input.display();
    let fail = |reason: String| failure::Failure::refused(format!("{shown}: {reason}"));
    let size = fs::metadata(input)
        .map_err(|error| fail(error.to_string()))?
        .len();
    if size > MAX_INPUT_BYTES {
        return Err(fail(format!(
            "it has {size} bytes; at most {MAX_INPUT_BYTES} are allowed"
        )));
    }
    let bytes = fs::read(input).map_err(|error| fail(error.to_string()))?;
    let html = html(&bytes).map_err(fail)?;
    match file {
        Some(file) => fs::write(file, html)
            .map_err(|error| failure::Failure::refused(format!("{}: {error}", file.display()))),
        None => output::text(&html),
    }
}

/// Returns the page for the JSON of a policy run (an array of rows) or of a timeline (an object with `events`).
///
/// # Errors
///
/// Returns a message of one sentence that says what is wrong with the JSON.
pub fn html(json: &[u8]) -> Result<String, String> {
    let value = serde_json::from_slice::<Value>(json).map_err(|error| format!("it is not JSON: {error}"))?;
    match value {
        Value::Array(rows) => page::measures(&measures::read(rows)?),
        Value::Object(ref fields) if fields.contains_key("events") => {
            let history = serde_json::from_value::<merge::History>(value);
            page::timeline(&history.map_err(|error| format!("it is not a timeline: {error}"))?)
        }
        _ => Err(String::from(
            "an array of measures or the JSON of a timeline is needed",
        )),
    }
}
