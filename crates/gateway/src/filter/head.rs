//! Size limits of the path and the headers.

use http::{HeaderMap, StatusCode, Uri};

use crate::error;

/// Maximum length of the path with its query, in bytes.
const MAX_PATH_BYTES: usize = 1024;

/// Checks the path, and that the headers have at most `limit` bytes together.
pub(crate) fn check(uri: &Uri, headers: &HeaderMap, limit: usize) -> Result<(), error::Error> {
    let path = uri.path().len() + uri.query().map_or(0, str::len);
    if path > MAX_PATH_BYTES {
        let message = format!("the path has {path} bytes, at most {MAX_PATH_BYTES} are allowed");
        return Err(
            error::Error::not_run(StatusCode::URI_TOO_LONG, "path_too_long", message).with_field("path"),
        );
    }
    let total: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if total > limit {
        let message = format!("the headers have {total} bytes, at most {limit} are allowed");
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(error::Error::not_run(status, "headers_too_large", message).with_field("headers"));
    }
    Ok(())
}
