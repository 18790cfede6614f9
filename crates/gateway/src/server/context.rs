//! What every request of one server shares.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
};

use tokio::sync::Semaphore;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{body, control, gate, pool, server, settings};

/// Shared state of a server.
pub(crate) struct Context {
    pub settings: settings::Settings,
    pub handle: control::Handle,
    pub render: server::MetricsRenderer,
    pub gate: Arc<gate::Gate>,
    pub pool: Arc<pool::Pool>,
    /// Bytes that request bodies may take.
    pub memory: Arc<Semaphore>,
    /// Connections that may be open.
    pub slots: Arc<Semaphore>,
    /// Connections, and requests that outlive their caller.
    pub tracker: TaskTracker,
    /// Ends everything at once.
    pub cancel: CancellationToken,
    /// Ends accepting, and connections after their current request.
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
        let gate = Arc::new(gate::Gate::new(&settings, &handle));
        let pool = Arc::new(pool::Pool::new(settings.connect_timeout, settings.idle_timeout));
        Self {
            gate,
            pool,
            memory: Arc::new(Semaphore::new(
                settings.body_memory_bytes.min(Semaphore::MAX_PERMITS),
            )),
            slots: Arc::new(Semaphore::new(settings.max_connections)),
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

    /// Counts a request until the returned guard is dropped.
    pub(crate) fn enter(&self) -> body::InFlight {
        body::InFlight::new(&self.in_flight)
    }

    /// Counts a connection until the returned guard is dropped.
    pub(crate) fn connect(&self) -> body::InFlight {
        body::InFlight::new(&self.connections)
    }

    /// Returns the number of a new attempt.
    pub(crate) fn next_attempt(&self) -> u64 {
        self.attempts.fetch_add(1, Ordering::Relaxed) + 1
    }
}
