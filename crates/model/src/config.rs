//! Cell-wide configuration, changed by operators under a version.

use serde::{Deserialize, Serialize};

/// Values in force in every process of the cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Longest time that a request may take, in milliseconds; callers may ask for less.
    pub request_deadline_ms: u32,
    /// Largest request body, in bytes.
    pub request_body_bytes: u32,
    /// Retries allowed per hundred requests of a team and service.
    pub retry_percent: u32,
    /// Bytes per second that one VM may send to targets in other regions.
    pub remote_bytes_per_second: u32,
    /// Whether the version-1 interface is served.
    pub version_one: bool,
    /// Most tasks that may be stopped per second to make room for urgent work, per availability zone.
    pub preemptions_per_second: u32,
    /// Starts per second while work of a lost zone or worker is placed again, per availability zone.
    pub recovery_starts_per_second: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            request_deadline_ms: 30_000,
            request_body_bytes: 1 << 20,
            retry_percent: 10,
            remote_bytes_per_second: 256 * 1024,
            version_one: true,
            preemptions_per_second: 200,
            recovery_starts_per_second: 50,
        }
    }
}
