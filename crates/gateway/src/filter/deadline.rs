//! Deadline of a request.

use std::time::Duration;

use http::HeaderMap;

use crate::{attempt, error};

/// Returns the time limit from `Bronzespoke-Deadline-Ms`, which is capped at `max_ms`, also the default.
pub(crate) fn parse(headers: &HeaderMap, max_ms: u32) -> Result<Duration, error::Error> {
    let max = Duration::from_millis(u64::from(max_ms));
    let Some(value) = headers.get(&attempt::DEADLINE) else {
        return Ok(max);
    };
    let shown = String::from_utf8_lossy(value.as_bytes());
    match shown.trim().parse::<u64>() {
        Ok(millis) if millis > 0 => Ok(Duration::from_millis(millis).min(max)),
        _ => Err(error::Error::field(
            attempt::DEADLINE.as_str(),
            format!("`{shown}` is not a time; whole milliseconds from 1 are allowed, capped at {max_ms}"),
        )),
    }
}
