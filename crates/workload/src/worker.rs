//! Workers that announce themselves and accept directives.

use std::{net::SocketAddr, time::Duration};

use bronzespoke_model::resource;
use serde::{Deserialize, Serialize};

/// Identity of one incarnation of a worker, that is, of one process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name of the worker; a restarted worker may keep it.
    pub name: String,
    /// Start time of the process in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    pub started_ms: u64,
}

/// Announcement that a worker sends at regular intervals.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Incarnation of the worker.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Sequence number; grows with each announcement of an incarnation.
    pub sequence: u64,
    /// Description of the worker.
    pub worker: Worker,
    /// Whether the worker is ready or draining.
    pub state: State,
    /// Remaining time during which the worker is slow after its start.
    pub cold: Duration,
}

/// Description of a worker; constant during an incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Address that accepts directives.
    pub address: SocketAddr,
    /// Name of the pool that it belongs to.
    pub pool: String,
    /// Availability zone of the worker.
    pub zone: String,
    /// Kind of the VM that it runs on.
    pub kind: String,
    /// Rack that it stands in.
    pub rack: String,
    /// All labels, including kind and rack.
    pub labels: Vec<String>,
    /// Resources that it offers.
    pub room: resource::Amount,
    /// Machine that hosts it, if known.
    pub machine: Option<String>,
}

/// Whether a worker accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The worker accepts new work.
    Ready,
    /// The worker is about to leave and accepts no new work.
    Draining {
        /// Minimum remaining time, if known.
        remaining: Option<Duration>,
    },
}
