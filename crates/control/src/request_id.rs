//! Keys and owners of request ids, which callers attach to requests that must not be executed twice.

use bronzespoke_model::id;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{id_bytes, root};

/// Time for which a request id is retained, in milliseconds.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// Time after a change of the set of zones during which the previous owner must also grant a claim, in milliseconds.
///
/// It exceeds [`RETENTION_MS`] by the largest expected difference between wall clocks.
pub const OVERLAP_MS: u64 = RETENTION_MS + 60 * 60 * 1000;

/// Digest of a team and the id that a caller of the team gave to a request or submission.
///
/// The digest takes a fixed 16 bytes in the log, whereas the caller's text may take 128.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key(#[serde(with = "id_bytes")] [u8; id_bytes::BYTES]);

impl Key {
    /// Returns the key of an id that a caller of the team chose.
    pub fn new(team: id::TeamId, request: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update(team.to_le_bytes());
        hash.update(request.as_bytes());
        let digest = hash.finalize();
        let mut key = [0; id_bytes::BYTES];
        key.copy_from_slice(&digest[..id_bytes::BYTES]);
        Self(key)
    }
}

/// Zone groups that have to grant a claim before a request may be sent, in the order in which they are queried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owners {
    /// Owner among the current zones.
    pub first: id::AvailabilityZoneId,
    /// Owner before the last change of the set of zones, while ids that it granted may still be retained.
    pub second: Option<id::AvailabilityZoneId>,
}

/// Returns the owners of a key at wall time `now_ms`; `None` when the cell has no zone.
///
/// A zone that was declared lost remains an owner until its ids have expired, so that none of them is granted twice.
/// Until then, requests with these ids are refused.
pub fn owners(key: Key, zones: &root::Zones, now_ms: u64) -> Option<Owners> {
    let retained = |zone: &root::Zone| {
        zone.lost_ms
            .is_none_or(|lost| now_ms < lost.saturating_add(OVERLAP_MS))
    };
    let past_overlap =
        |zone: &root::Zone| now_ms >= zone.added_ms.saturating_add(OVERLAP_MS) || zone.founding;
    let best = |candidate: &dyn Fn(&root::Zone) -> bool| {
        zones
            .iter()
            .filter(|(_, zone)| candidate(zone))
            .max_by_key(|(zone, _)| score(key, **zone))
            .map(|(zone, _)| *zone)
    };
    let first = best(&retained)?;
    let second = best(&|zone| retained(zone) && past_overlap(zone)).filter(|zone| *zone != first);
    Some(Owners { first, second })
}

/// Returns the score of a zone in rendezvous hashing: the zone with the highest score owns the key.
fn score(key: Key, zone: id::AvailabilityZoneId) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(key.0);
    hash.update(zone.to_le_bytes());
    hash.finalize().into()
}
