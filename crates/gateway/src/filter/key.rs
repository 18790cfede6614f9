//! Authentication: looks up the team of a key.
//!
//! Keys are compared as SHA-256 hashes. The table is keyed by hash, so that the time of a lookup depends only on the
//! hash, which a caller cannot steer towards a stored one without knowing the key. The key itself is never logged or
//! stored.

use std::{sync::Arc, time::Duration};

use bronzespoke_model::team;
use http::{HeaderMap, StatusCode, header};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{control, error};

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 512;
const SCHEME: &str = "Bearer ";

/// Result of a successful check of a key.
#[derive(Debug, Clone)]
pub(crate) struct Granted {
    pub team: Arc<team::Team>,
    /// Hash of the key, to check it again after the request has waited.
    pub hash: team::KeyHash,
}

/// Authenticates a request by the key in its `Authorization` header.
pub(crate) fn team(handle: &control::Handle, headers: &HeaderMap) -> Result<Granted, error::Error> {
    let key = bearer(headers)?;
    team_of(handle, key.as_bytes())
}

/// Authenticates a request by a key.
pub(crate) fn team_of(handle: &control::Handle, key: &[u8]) -> Result<Granted, error::Error> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(unauthorized(&format!("a key has 1 to {MAX_KEY_BYTES} bytes")));
    }
    let hash: team::KeyHash = Sha256::digest(key).into();
    let team = check(handle, &hash)?;
    Ok(Granted { team, hash })
}

/// Returns the team of the key with this hash, if the key is granted now.
pub(crate) fn check(handle: &control::Handle, hash: &team::KeyHash) -> Result<Arc<team::Team>, error::Error> {
    if !handle.freshness.is_fresh() {
        return Err(error::Error::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "stale",
            "keys cannot be checked now, because the view of granted keys is too old",
        )
        .with_retry_after(Duration::from_secs(1)));
    }
    let view = handle.view.borrow();
    let found = view
        .keys
        .get_key_value(hash)
        .filter(|(stored, _)| bool::from(stored.ct_eq(hash)))
        .and_then(|(_, id)| view.teams.get(id));
    found
        .map(Arc::clone)
        .ok_or_else(|| unauthorized("the key is not granted to any team"))
}

fn bearer(headers: &HeaderMap) -> Result<&str, error::Error> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let Some(value) = values.next() else {
        return Err(unauthorized("the header is missing; `Bearer KEY` is allowed"));
    };
    if values.next().is_some() {
        return Err(unauthorized(
            "the header comes more than once; one `Bearer KEY` is allowed",
        ));
    }
    value
        .to_str()
        .ok()
        .and_then(|text| text.strip_prefix(SCHEME))
        .map(str::trim)
        .ok_or_else(|| unauthorized("the header is not of the form `Bearer KEY`"))
}

fn unauthorized(message: &str) -> error::Error {
    error::Error::not_run(StatusCode::UNAUTHORIZED, "unauthorized", message).with_field("authorization")
}
