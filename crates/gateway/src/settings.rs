//! Limits and timeouts of the gateway that are not part of the cell-wide configuration.

use std::time::Duration;

use bronzespoke_model::id;

/// Settings of the gateway of one entry VM.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Id of this VM, which determines its rank among the entry VMs when limits are divided.
    pub vm: id::VmId,
    /// Seed of random choices and of jitter, so that a run can be repeated.
    pub seed: u64,
    /// Maximum number of open connections from callers; for a further one, the connection that has been without a request
    /// for longest is closed.
    pub max_connections: usize,
    /// Maximum size of all headers of a request together, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of the buffers of all large heads, in bytes; for a further one, the connection with a large head that
    /// has been without a request for longest is closed.
    pub head_memory_bytes: usize,
    /// Maximum time for a caller to send the headers of its next request.
    pub header_timeout: Duration,
    /// Maximum pause between two chunks of a request body, and while a caller does not read its response.
    pub stall_timeout: Duration,
    /// Maximum time to receive a complete request body.
    pub body_timeout: Duration,
    /// Maximum size of all request bodies held at the same time, in bytes.
    pub body_memory_bytes: usize,
    /// Maximum time to connect to a target.
    pub connect_timeout: Duration,
    /// Time after which an idle connection to a target is closed.
    pub idle_timeout: Duration,
    /// Maximum time to wait for the reply of control to a call.
    pub call_timeout: Duration,
    /// Time for the external load balancer to notice that the VM is not ready; the VM accepts connections meanwhile.
    pub drain_notice: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            vm: 0,
            seed: 0,
            max_connections: 10_000,
            max_header_bytes: 16 * 1024,
            head_memory_bytes: 16 << 20,
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
