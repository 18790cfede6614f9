//! Request id: the caller's id for a request that must not run twice (`Idempotency-Key`).

use http::{HeaderMap, HeaderName};

use crate::error;

/// Header that makes a request non-repeatable; a request without it is repeatable.
pub(crate) const HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Maximum length of a request id, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Returns the request id, if there is one.
pub(crate) fn parse(headers: &HeaderMap) -> Result<Option<String>, error::Error> {
    let mut values = headers.get_all(&HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(error::Error::field(
            HEADER.as_str(),
            "the header comes more than once; one is allowed",
        ));
    }
    check(&String::from_utf8_lossy(value.as_bytes()), HEADER.as_str()).map(Some)
}

/// Validates a request id that was received in `field`.
pub(crate) fn check(id: &str, field: &str) -> Result<String, error::Error> {
    let printable = id.bytes().all(|byte| byte.is_ascii_graphic());
    if id.is_empty() || id.len() > MAX_ID_BYTES || !printable {
        let shown: String = id.chars().take(MAX_ID_BYTES).collect();
        return Err(error::Error::field(
            field,
            format!(
                "`{shown}` is not a request id; 1 to {MAX_ID_BYTES} printable ASCII characters are allowed"
            ),
        ));
    }
    Ok(id.to_owned())
}
