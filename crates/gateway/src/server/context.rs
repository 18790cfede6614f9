//! State shared by all requests of one server.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
};

use tokio::sync::Semaphore;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{balancer, body, control, pool, server, settings};

/// Shared state of a server.
pub(crate) struct Context {
    pub settings: settings::Settings,
    pub handle: control::Handle,
    pub render: server::MetricsRenderer,
    pub balancer: Arc<balancer::Balancer>,
    pub pool: Arc<pool::Pool>,
    /// Permits for the bytes held by request bodies.
    pub body_memory: Arc<Semaphore>,
    /// Connections that are open, with what they are doing.
    pub open_connections: Arc<server::connections::Connections>,
    /// Permits for open connections.
    pub connection_slots: Arc<Semaphore>,
    /// Tasks of connections, and of requests that outlive their caller's connection.
    pub tracker: TaskTracker,
    /// Stops all tasks immediately.
    pub cancel: CancellationToken,
    /// Stops accepting, and closes each connection after its current request.
    pub closing: CancellationToken,
    ready: AtomicBool,
    draining: AtomicBool,
    in_flight: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
    attempts: AtomicU64,
}

impl Context {
    pub(crate) fn new(
        settings: settings::Settings,
        handle: control::Handle,
        render: server::MetricsRenderer,
        cancel: CancellationToken,
    ) -> Self {
        let balancer = Arc::new(balancer::Balancer::new(&settings, &handle));
        let pool = Arc::new(pool::Pool::new(settings.connect_timeout, settings.idle_timeout));
        Self {
            balancer,
            pool,
            body_memory: Arc::new(Semaphore::new(
                settings.body_memory_bytes.min(Semaphore::MAX_PERMITS),
            )),
            open_connections: server::connections::Connections::new(
                settings.head_memory_bytes / server::connection::BUFFER_BYTES,
            ),
            connection_slots: Arc::new(Semaphore::new(settings.max_connections)),
            tracker: TaskTracker::new(),
            closing: cancel.child_token(),
            cancel,
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            in_flight: Arc::new(AtomicUsize::new(0)),
            connections: Arc::new(AtomicUsize::new(0)),
            attempts: AtomicU64::new(0),
            settings,
            handle,
            render,
        }
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.is_draining()
    }

    pub(crate) fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn track_request(&self) -> body::InFlight {
        body::InFlight::new(&self.in_flight)
    }

    /// Counts a connection as open until the returned guard is dropped.
    pub(crate) fn track_connection(&self) -> body::InFlight {
        body::InFlight::new(&self.connections)
    }

    /// Returns the number for a new attempt, unique within the process.
    pub(crate) fn next_attempt(&self) -> u64 {
        self.attempts.fetch_add(1, Ordering::Relaxed) + 1
    }
}
