//! Time that a request may take.

use std::time::Duration;

use http::HeaderMap;

use crate::{attempt, error};

/// Returns the time asked for in `Bronzespoke-Deadline-Ms`, at most the configured time.
pub(crate) fn parse(headers: &HeaderMap, longest_ms: u32) -> Result<Duration, error::Error> {
    let longest = Duration::from_millis(u64::from(longest_ms));
    let Some(value) = headers.get(&attempt::DEADLINE) else {
        return Ok(longest);
    };
    let shown = String::from_utf8_lossy(value.as_bytes());
    match shown.trim().parse::<u64>() {
        Ok(millis) if millis > 0 => Ok(Duration::from_millis(millis).min(longest)),
        _ => Err(error::Error::field(
            attempt::DEADLINE.as_str(),
            format!("`{shown}` is not a time; whole milliseconds from 1 are allowed, capped at {longest_ms}"),
        )),
    }
}
