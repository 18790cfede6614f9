//! JSON bodies, with errors that name the invalid field.

use serde::de::DeserializeOwned;

use crate::error;

/// Parses a JSON body; an error names the field that it is about, if that can be determined.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, error::Error> {
    serde_json::from_slice(body).map_err(|error| {
        let message = error.to_string();
        let field = named_field(&message).or_else(|| field_before(body, error.line(), error.column()));
        error::Error::field(field.unwrap_or("body"), message.as_str())
    })
}

/// Returns the field named by an error message about an unknown or missing field.
fn named_field(message: &str) -> Option<&str> {
    let rest = ["unknown field `", "missing field `"]
        .iter()
        .find_map(|start| message.strip_prefix(start))?;
    rest.split('`').next()
}

/// Returns the last object key before a position, which is the field that a type error refers to.
fn field_before(body: &[u8], line: usize, column: usize) -> Option<&str> {
    let start: usize = body
        .split_inclusive(|byte| *byte == b'\n')
        .take(line.saturating_sub(1))
        .map(<[u8]>::len)
        .sum();
    let end = (start + column).min(body.len());
    let text = std::str::from_utf8(body.get(..end)?).ok()?;
    let mut prefixes = text
        .rmatch_indices(':')
        .map(|(position, _)| text[..position].trim_end());
    let before = prefixes.find(|prefix| prefix.ends_with('"'))?;
    let inner = &before[..before.len() - 1];
    inner.rfind('"').map(|open| &inner[open + 1..])
}
