//! Names and owners of ids that callers give to requests that must not be repeated.

use bronzespoke_model::id;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{name, root};

/// Time for which a request id is remembered, in milliseconds.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// Time after a change of the zones during which the owner before the change is still asked, in milliseconds.
///
/// It is longer than [`RETENTION_MS`] by the largest difference that is expected between wall clocks.
pub const OVERLAP_MS: u64 = RETENTION_MS + 60 * 60 * 1000;

/// Digest of a team and its id for a request or submission.
///
/// The digest takes a fixed 16 bytes in the log where the caller's text takes up to 128.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key(#[serde(with = "name")] [u8; name::BYTES]);

impl Key {
    /// Returns the key of a team's id.
    pub fn new(team: id::TeamId, request: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update(team.to_le_bytes());
        hash.update(request.as_bytes());
        let digest = hash.finalize();
        let mut key = [0; name::BYTES];
        key.copy_from_slice(&digest[..name::BYTES]);
        Self(key)
    }
}

/// Zone groups that have to grant a claim before a request may be sent, in the order in which they are asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owners {
    /// Owner among the zones of today.
    pub first: id::AvailabilityZoneId,
    /// Owner before the last change of the zones, while ids that it holds may still be remembered.
    pub second: Option<id::AvailabilityZoneId>,
}

/// Returns the owners of a key at wall time `now_ms`; `None` when the cell has no zone.
///
/// A zone that was declared lost stays an owner until its ids have expired, so that none of them is granted twice;
/// requests with these ids are refused meanwhile.
pub fn owners(key: Key, zones: &root::Zones, now_ms: u64) -> Option<Owners> {
    let remembered = |zone: &root::Zone| {
        zone.lost_ms
            .is_none_or(|lost| now_ms < lost.saturating_add(OVERLAP_MS))
    };
    let settled = |zone: &root::Zone| now_ms >= zone.added_ms.saturating_add(OVERLAP_MS) || zone.founding;
    let best = |candidate: &dyn Fn(&root::Zone) -> bool| {
        zones
            .iter()
            .filter(|(_, zone)| candidate(zone))
            .max_by_key(|(zone, _)| score(key, **zone))
            .map(|(zone, _)| *zone)
    };
    let first = best(&remembered)?;
    let second = best(&|zone| remembered(zone) && settled(zone)).filter(|zone| *zone != first);
    Some(Owners { first, second })
}

fn score(key: Key, zone: id::AvailabilityZoneId) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(key.0);
    hash.update(zone.to_le_bytes());
    hash.finalize().into()
}
