//! Open connections, and which of them is closed when there is no room for another one.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Instant,
};

use tokio_util::sync::CancellationToken;

/// Size of a head above which its connection counts as one with a large head.
const LARGE_BYTES: usize = 4 * 1024;

/// Connections that are open.
pub(crate) struct Connections {
    origin: Instant,
    max_large: usize,
    next: AtomicU64,
    large: AtomicUsize,
    open: Mutex<BTreeMap<u64, Arc<State>>>,
}

struct State {
    /// Number of requests that were received and whose response was not sent yet.
    requests: AtomicUsize,
    /// Time at which the last request ended, in microseconds.
    since: AtomicU64,
    /// Bytes of the head that is being received.
    head: AtomicUsize,
    is_large: AtomicBool,
    closed: CancellationToken,
}

impl Connections {
    /// Returns a table that allows this many large heads.
    pub(crate) fn new(max_large: usize) -> Arc<Self> {
        Arc::new(Self {
            origin: Instant::now(),
            max_large,
            next: AtomicU64::new(0),
            large: AtomicUsize::new(0),
            open: Mutex::new(BTreeMap::new()),
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<State>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64
    }

    /// Adds a connection.
    pub(crate) fn open(self: &Arc<Self>) -> Connection {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let state = Arc::new(State {
            requests: AtomicUsize::new(0),
            since: AtomicU64::new(self.now()),
            head: AtomicUsize::new(0),
            is_large: AtomicBool::new(false),
            closed: CancellationToken::new(),
        });
        self.lock().insert(id, Arc::clone(&state));
        Connection {
            connections: Arc::clone(self),
            id,
            state,
        }
    }

    /// Closes the connection that has been without a request for longest.
    pub(crate) fn displace(&self) {
        self.close_longest(|_, _| true);
    }

    /// Closes the connection without a request that is eligible and has been so for longest; returns whether there is one.
    fn close_longest(&self, eligible: impl Fn(u64, &State) -> bool) -> bool {
        let open = self.lock();
        let waiting = open.iter().filter(|(id, state)| {
            state.requests.load(Ordering::Acquire) == 0
                && !state.closed.is_cancelled()
                && eligible(**id, state)
        });
        let longest = waiting.min_by_key(|(_, state)| state.since.load(Ordering::Relaxed));
        let Some((_, state)) = longest else {
            return false;
        };
        state.closed.cancel();
        metrics::counter!("bronzespoke_displaced_connections_total").increment(1);
        true
    }
}

/// An open connection; removed when dropped.
pub(crate) struct Connection {
    connections: Arc<Connections>,
    id: u64,
    state: Arc<State>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.lock().remove(&self.id);
        if self.state.is_large.load(Ordering::Relaxed) {
            self.connections.large.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Connection {
    /// Resolves when the connection has to be closed for another one.
    pub(crate) async fn closed(&self) {
        self.state.closed.cancelled().await;
    }

    /// Returns whether the connection has to be closed for another one.
    pub(crate) fn is_displaced(&self) -> bool {
        self.state.closed.is_cancelled()
    }

    /// Returns whether there is a request whose response was not sent yet.
    pub(crate) fn is_serving(&self) -> bool {
        self.state.requests.load(Ordering::Acquire) > 0
    }

    /// Counts bytes that were read, and limits the number of large heads: another connection with one is closed, or this
    /// one if all others are being served.
    pub(crate) fn count(&self, bytes: usize) {
        if self.is_serving() {
            return;
        }
        let head = self.state.head.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if head <= LARGE_BYTES || self.state.is_large.swap(true, Ordering::Relaxed) {
            return;
        }
        let large = self.connections.large.fetch_add(1, Ordering::Relaxed) + 1;
        if large > self.connections.max_large {
            let is_other = |id, state: &State| id != self.id && state.is_large.load(Ordering::Relaxed);
            if !self.connections.close_longest(is_other) {
                self.state.closed.cancel();
            }
        }
    }

    /// Records a request that was received; it ends when the returned guard is dropped.
    pub(crate) fn begin(&self) -> Request {
        self.state.requests.fetch_add(1, Ordering::AcqRel);
        self.state.head.store(0, Ordering::Relaxed);
        Request {
            connections: Arc::clone(&self.connections),
            state: Arc::clone(&self.state),
        }
    }
}

/// A request whose response was not sent yet; its connection stays open.
pub(crate) struct Request {
    connections: Arc<Connections>,
    state: Arc<State>,
}

impl Drop for Request {
    fn drop(&mut self) {
        self.state.since.store(self.connections.now(), Ordering::Relaxed);
        self.state.requests.fetch_sub(1, Ordering::AcqRel);
    }
}
