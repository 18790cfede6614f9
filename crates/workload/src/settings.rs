//! What a daemon of a fleet learns at its start.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use serde::{Deserialize, Serialize};

/// Settings of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the VM.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Address for frames between daemons.
    pub peer: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Address for callers; `None` where none are served.
    pub entry: Option<SocketAddr>,
    /// Address for the balancer's readiness probes.
    pub readiness: Option<SocketAddr>,
    /// Address for operators and workers; `None` where none are served.
    pub control: Option<SocketAddr>,
    /// Peer addresses of daemons that serve control.
    pub seeds: Vec<SocketAddr>,
    /// Folder for durable state.
    pub data: Option<PathBuf>,
    /// Whether the whole system starts for the first time.
    pub found: bool,
    /// VMs with a disk that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Address of the eligibility service.
    pub advice: Option<SocketAddr>,
    /// Bounds that the platform states.
    pub bounds: Bounds,
}

/// Bounds of a platform that decisions depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Longest lease that a worker accepts.
    pub longest_lease: Duration,
    /// Longest time that a stop takes.
    pub stop: Duration,
    /// How long a member of a gang waits for the others.
    pub gang_wait: Duration,
    /// Time between the request to stop and the kill of a daemon.
    pub grace: Duration,
    /// How long the state of a finished job is shown.
    pub retention: Duration,
    /// Factor on the run time away from the data or over several racks, in thousandths.
    pub remote_factor_milli: u32,
    /// Time between two announcements of a worker.
    pub announcements: Duration,
}

impl Default for Bounds {
    /// Values of the platform's example deployment.
    fn default() -> Self {
        Self {
            longest_lease: Duration::from_secs(10),
            stop: Duration::from_millis(900),
            gang_wait: Duration::from_secs(3),
            grace: Duration::from_secs(6),
            retention: Duration::from_mins(2),
            remote_factor_milli: 2_000,
            announcements: Duration::from_millis(1_500),
        }
    }
}
