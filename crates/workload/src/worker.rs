//! Workers that announce themselves and take orders.

use std::{net::SocketAddr, time::Duration};

use bronzespoke_model::resource;
use serde::{Deserialize, Serialize};

/// One life of a worker's process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name that the worker uses; a restarted worker may keep it.
    pub name: String,
    /// Start of the process in milliseconds since the Unix epoch.
    pub born: u64,
}

/// What a worker says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Its life.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Grows with each announcement of a life.
    pub sequence: u64,
    /// What it is.
    pub worker: Worker,
    /// Whether it leaves.
    pub state: State,
    /// How much longer it is slow after its start.
    pub cold: Duration,
}

/// What does not change during a life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Address for orders.
    pub address: SocketAddr,
    /// Pool that it belongs to.
    pub pool: String,
    /// Availability zone.
    pub zone: String,
    /// Kind of VM.
    pub kind: String,
    /// Rack.
    pub rack: String,
    /// All labels, kind and rack among them.
    pub labels: Vec<String>,
    /// What it offers.
    pub room: resource::Amount,
    /// Machine that it lives on.
    pub machine: Option<String>,
}

/// Whether a worker takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Takes work.
    Ready,
    /// Leaves; takes no new work.
    Draining {
        /// Time that is left at least, if known.
        remaining: Option<Duration>,
    },
}
