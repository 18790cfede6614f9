//! Settings of the daemon, from flags and the environment.
//!
//! Every value is checked before anything starts, and all faults are reported together, so that an operator fixes
//! a unit file in one round.

mod read;

use std::{ffi::OsString, fmt, net::SocketAddr, path::PathBuf, time::Duration};

use bronzespoke_model::{id, vm};

/// Default number of traffic threads.
pub const DEFAULT_TRAFFIC_THREADS: usize = 2;
/// Time for which the platform's balancer may still send requests after readiness turned off.
pub const DEFAULT_DRAIN_NOTICE: Duration = Duration::from_secs(5);
/// Most seeds that may be listed.
pub const MAX_SEEDS: usize = 64;

/// Checked settings of one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the VM.
    pub name: String,
    /// Where the VM stands.
    pub place: vm::Place,
    /// Address for frames between daemons.
    pub peer: SocketAddr,
    /// Address for callers, targets and workers.
    pub http: SocketAddr,
    /// Address for JSON-RPC calls.
    pub rpc: SocketAddr,
    /// Peer addresses of other daemons that are asked for the directory at start.
    pub seeds: Vec<SocketAddr>,
    /// Folder for durable state; `None` on a VM without a disk.
    pub data: Option<PathBuf>,
    /// Whether this daemon may found the cell when no seed knows one.
    pub found: bool,
    /// Seed of the random choices; different on every VM.
    pub random_seed: u64,
    /// Traffic threads.
    pub traffic_threads: usize,
    /// Time between readiness off and the last accepted connection.
    pub drain_notice: Duration,
    /// Level of the log.
    pub log_level: log::LevelFilter,
}

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Run the daemon.
    Run(Box<Settings>),
    /// Check the settings and stop.
    Check(Box<Settings>),
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

/// One wrong setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Flag of the setting.
    pub setting: String,
    /// Value as given; empty when missing.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            setting,
            value,
            allowed,
        } = self;
        if value.is_empty() {
            write!(f, "{setting}: no value is given; allowed is {allowed}")
        } else {
            write!(f, "{setting}: \"{value}\" is not allowed; allowed is {allowed}")
        }
    }
}

/// Reads and checks the settings.
///
/// `environment` looks up an environment variable. All faults are returned at once.
pub fn read(
    arguments: Vec<OsString>,
    environment: &dyn Fn(&str) -> Option<String>,
) -> Result<Request, Vec<Error>> {
    read::read(arguments, environment)
}

/// Returns the help text.
pub fn help() -> String {
    read::help()
}

/// Highest region or availability zone number.
pub const MAX_PLACE: id::AvailabilityZoneId = 9_999;
