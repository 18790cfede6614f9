//! Limit on the headers of a request.

use http::{HeaderMap, StatusCode, Uri};

use crate::error;

/// Bytes of a request path.
const PATH_BYTES: usize = 1024;

/// Checks the path and the headers.
pub(crate) fn check(uri: &Uri, headers: &HeaderMap, limit: usize) -> Result<(), error::Error> {
    let path = uri.path().len() + uri.query().map_or(0, str::len);
    if path > PATH_BYTES {
        let message = format!("the path has {path} bytes, at most {PATH_BYTES} are allowed");
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
