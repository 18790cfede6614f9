//! From a key to its team.
//!
//! Keys are compared as SHA-256 hashes. The table is keyed by hash, so a lookup's time depends on the hash only,
//! which a caller cannot steer towards a stored one without the key. The key itself is never logged or kept.

use std::{sync::Arc, time::Duration};

use bronzespoke_model::team;
use http::{HeaderMap, StatusCode, header};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{control, error};

/// Bytes of a key.
const KEY_BYTES: usize = 512;
const SCHEME: &str = "Bearer ";

/// A key that was granted when it was checked.
#[derive(Debug, Clone)]
pub(crate) struct Granted {
    pub team: Arc<team::Team>,
    /// Allows another check, for work that waited.
    pub hash: team::KeyHash,
}

/// Returns the team of the key in the `Authorization` header.
pub(crate) fn team(handle: &control::Handle, headers: &HeaderMap) -> Result<Granted, error::Error> {
    let key = bearer(headers)?;
    team_of(handle, key.as_bytes())
}

/// Returns the team of a key.
pub(crate) fn team_of(handle: &control::Handle, key: &[u8]) -> Result<Granted, error::Error> {
    if key.is_empty() || key.len() > KEY_BYTES {
        return Err(unauthorized(&format!("a key has 1 to {KEY_BYTES} bytes")));
    }
    let hash: team::KeyHash = Sha256::digest(key).into();
    let team = check(handle, &hash)?;
    Ok(Granted { team, hash })
}

/// Returns the team whose key has this hash, if the key is granted now.
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
