//! Cell-wide, versioned configuration that operators change.

use serde::{Deserialize, Serialize};

/// Configuration that is in force in every process of the cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Maximum duration of a request, in milliseconds; callers may request a shorter deadline.
    pub request_deadline_ms: u32,
    /// Maximum size of a request body, in bytes.
    pub request_body_bytes: u32,
    /// Maximum retries per hundred requests of a team to a service.
    pub retry_percent: u32,
    /// Maximum rate at which one VM sends to targets in other regions, in bytes per second.
    pub remote_bytes_per_second: u32,
    /// Whether the version-1 interface is served.
    pub version_one: bool,
    /// Maximum preemptions per second, by which tasks are stopped in favor of urgent work, per availability zone.
    pub preemptions_per_second: u32,
    /// Maximum starts per second while the work of a lost zone or worker is rescheduled, per availability zone.
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
