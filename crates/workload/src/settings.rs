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
    /// Limits on what clients may hold.
    pub intake: Intake,
}

/// Limits on what clients may hold in a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Intake {
    /// Bytes that all connections together may hold: heads, bodies and responses that are not read.
    pub budget: u64,
    /// Open connections of each listener for callers, or for operators and workers.
    pub connections: usize,
    /// Largest head of a request.
    pub head_bytes: usize,
    /// Most bytes of empty lines before a request.
    pub empty_bytes: usize,
    /// Most chunks of a body.
    pub max_chunks: usize,
    /// Most values of a body, as counted by `,`, `{` and `[`.
    pub max_values: usize,
    /// Time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Duration,
    /// Time for a body to arrive.
    pub body_timeout: Duration,
    /// Time without progress after which the connection of a client that does not read its response is closed.
    pub response_timeout: Duration,
    /// Bytes per second below which a body is refused while more than half of the budget is held.
    pub minimum_rate: u64,
    /// Largest body of a caller's request.
    pub job_bytes: usize,
    /// Largest body of a request of an operator or a worker that has no limit of its own.
    pub control_bytes: usize,
    /// Largest description of a worker that is kept, as its texts and 24 bytes for each.
    pub worker_bytes: usize,
    /// Accepted links of other daemons.
    pub links: usize,
    /// Bytes of frames that all links together are receiving.
    pub frame_bytes: usize,
    /// Limits of the bodies of single paths.
    pub paths: Vec<(String, usize)>,
}

impl Default for Intake {
    fn default() -> Self {
        Self {
            budget: 64 << 20,
            connections: 3_000,
            head_bytes: 20 * 1024,
            empty_bytes: 256,
            max_chunks: 262_144,
            max_values: 262_144,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(20),
            body_timeout: Duration::from_secs(15),
            response_timeout: Duration::from_secs(15),
            minimum_rate: 16 * 1024,
            job_bytes: 256 * 1024,
            control_bytes: 256 * 1024,
            worker_bytes: 4 * 1024,
            links: 1_024,
            frame_bytes: 64 << 20,
            paths: Vec::new(),
        }
    }
}

impl Intake {
    /// Bytes that a connection with a request holds at least.
    const CONNECTION_BYTES: u64 = 20 * 1024;
    /// Smallest budget; a configuration of 4 MiB is held twice, once as it was received and once decoded.
    pub const MIN_BUDGET: u64 = 12 << 20;
    /// Smallest number of bytes for frames: four of the largest size.
    pub const MIN_FRAME_BYTES: u64 = 4 << 20;
    /// Smallest number of links.
    pub const MIN_LINKS: usize = 16;

    /// Returns the defaults for a VM with this memory and these descriptors, and this number of listeners.
    ///
    /// The budget is a quarter of the memory: the allocator may need twice the bytes that are counted, and the other
    /// half is for everything else. A third of the descriptors is reserved for peers, outgoing connections, probes and
    /// files.
    pub fn derived(memory: Option<u64>, descriptors: Option<u32>, listeners: usize) -> Self {
        let default = Self::default();
        let budget = memory.map_or(default.budget, |memory| (memory / 4).max(Self::MIN_BUDGET));
        let places = descriptors.map_or(default.connections, |count| {
            (u64::from(count) * 2 / 3) as usize / listeners.max(1)
        });
        // An eighth of the memory is left for frames, and of the descriptors for links.
        let frame_bytes = memory.map_or(default.frame_bytes as u64, |memory| {
            (memory / 8).max(Self::MIN_FRAME_BYTES)
        });
        let links = descriptors.map_or(default.links, |count| (count / 8) as usize);
        let affordable = usize::try_from(budget / Self::CONNECTION_BYTES).unwrap_or(usize::MAX);
        Self {
            budget,
            connections: default.connections.min(places).min(affordable),
            links: links.max(Self::MIN_LINKS),
            frame_bytes: usize::try_from(frame_bytes).unwrap_or(usize::MAX),
            ..default
        }
    }

    /// Returns the largest body of a request to the listener for operators and workers.
    pub fn control_limit(&self, path: &str) -> usize {
        let own = self.paths.iter().find(|(own, _)| own == path);
        own.map_or(self.control_bytes, |(_, limit)| *limit)
    }
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
