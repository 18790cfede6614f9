//! Settings that a daemon of a fleet reads at its start.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use serde::{Deserialize, Serialize};

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the VM that the daemon runs on.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Region of the VM.
    pub region: String,
    /// Listen address for frames from other daemons.
    pub peer: SocketAddr,
    /// Listen address for metrics.
    pub metrics: SocketAddr,
    /// Listen address for callers; `None` if the daemon serves none.
    pub entry: Option<SocketAddr>,
    /// Listen address for the load balancer's readiness probes.
    pub readiness: Option<SocketAddr>,
    /// Listen address for operators and workers; `None` if the daemon serves none.
    pub control: Option<SocketAddr>,
    /// Peer addresses of daemons that serve operators and workers.
    pub seeds: Vec<SocketAddr>,
    /// Directory for durable state; `None` if the daemon has no disk.
    pub data: Option<PathBuf>,
    /// Whether the complete system starts for the first time.
    pub found: bool,
    /// Number of VMs with a disk that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Address of the eligibility service; `None` if there is none.
    pub advice: Option<SocketAddr>,
    /// Time bounds of the platform.
    pub bounds: Bounds,
    /// Names of all availability zones; empty if they are not known.
    pub zones: Vec<String>,
    /// Memory of the VM that the process may use, in bytes; `None` if it is not known.
    pub memory: Option<u64>,
    /// Number of descriptors that the process may have open; `None` if it is not known.
    pub descriptors: Option<u32>,
}

/// Properties of a platform that scheduling decisions depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Longest lease that a worker accepts.
    pub longest_lease: Duration,
    /// Maximum duration of the stop of a run.
    pub stop: Duration,
    /// How long a member of a gang waits for the others to start.
    pub gang_wait: Duration,
    /// Time between the request to stop a daemon and its kill.
    pub grace: Duration,
    /// How long the state of a finished job remains available.
    pub retention: Duration,
    /// Factor on the run time of tasks that run away from their data or over several racks, in thousandths.
    pub remote_factor_milli: u32,
    /// Interval between two announcements of a worker.
    pub announcements: Duration,
}

impl Default for Bounds {
    /// Returns the values of the platform's example deployment.
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
