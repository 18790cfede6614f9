//! Limits of the entry path that are not part of the cell-wide configuration.

use std::time::Duration;

use bronzespoke_model::id;

/// Settings of one entry VM's gateway.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This VM, which ranks it among the entry VMs when parts of limits are computed.
    pub vm: id::VmId,
    /// Seed of random choices and of jitter.
    pub seed: u64,
    /// Connections from callers at one time; further ones wait in the listen queue.
    pub max_connections: usize,
    /// Bytes of all request headers together.
    pub max_header_bytes: usize,
    /// Longest time for a caller to send the headers of its next request.
    pub header_timeout: Duration,
    /// Longest pause between two pieces of a request body, and of a caller that does not take its answer.
    pub stall_timeout: Duration,
    /// Longest time to receive a whole request body.
    pub body_timeout: Duration,
    /// Bytes of request bodies held at one time.
    pub body_memory_bytes: usize,
    /// Longest time to connect to a target.
    pub connect_timeout: Duration,
    /// Longest time that an idle connection to a target is kept.
    pub idle_timeout: Duration,
    /// Longest time to wait for control to answer a call.
    pub call_timeout: Duration,
    /// Time in which the balancer may not have noticed that the VM is not ready.
    pub drain_notice: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            vm: 0,
            seed: 0,
            max_connections: 10_000,
            max_header_bytes: 16 * 1024,
            header_timeout: Duration::from_secs(15),
            stall_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            body_memory_bytes: 64 << 20,
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
            call_timeout: Duration::from_secs(10),
            drain_notice: Duration::from_secs(5),
        }
    }
}
