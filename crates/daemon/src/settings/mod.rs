//! Settings of the daemon, from flags and the environment.
//!
//! Every value is checked before anything starts, and all errors are reported together, so that an operator can fix a
//! unit file in one pass.

mod read;

use std::{ffi::OsString, fmt, net::SocketAddr, path::PathBuf, time::Duration};

use bronzespoke_model::{id, vm};

/// Default number of traffic threads.
pub const DEFAULT_TRAFFIC_THREADS: usize = 2;
/// Default time for which the load balancer of the platform may still send requests after the VM is not ready any more.
pub const DEFAULT_DRAIN_NOTICE: Duration = Duration::from_secs(5);
/// Maximum number of seeds.
pub const MAX_SEEDS: usize = 64;

/// Validated settings of one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the VM.
    pub name: String,
    /// Region and availability zone of the VM.
    pub place: vm::Place,
    /// Address for frames between daemons.
    pub peer: SocketAddr,
    /// Address for callers, targets and workers.
    pub http: SocketAddr,
    /// Address for JSON-RPC calls.
    pub rpc: SocketAddr,
    /// Peer addresses of other daemons, from which this one learns the directory.
    pub seeds: Vec<SocketAddr>,
    /// Folder for durable state; `None` on a VM without a disk.
    pub data: Option<PathBuf>,
    /// Whether this daemon may bootstrap the cell when no seed knows one.
    pub found: bool,
    /// Seed of random choices; different on every VM.
    pub random_seed: u64,
    /// Number of traffic threads.
    pub traffic_threads: usize,
    /// Time for which connections are still accepted after readiness is turned off.
    pub drain_notice: Duration,
    /// Maximum level of log lines.
    pub log_level: log::LevelFilter,
}

/// Action requested by the command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Run the daemon.
    Run(Box<Settings>),
    /// Check the settings and exit.
    Check(Box<Settings>),
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Flag of the setting.
    pub setting: String,
    /// Value as given; empty if missing.
    pub value: String,
    /// Description of the allowed values.
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
/// `environment` looks up an environment variable. All errors are returned together.
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
