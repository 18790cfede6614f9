//! Connection pool. The connections to a target are bounded by this VM's allotment of what the target accepts.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bronzespoke_model::id;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Maximum number of idle connections kept per target; further ones are closed.
const MAX_IDLE: usize = 64;

type Sender = http1::SendRequest<Full<Bytes>>;
type Key = (id::TargetId, SocketAddr);

#[derive(Default)]
struct Target {
    idle: Vec<(Sender, Task, Instant)>,
    open: Arc<AtomicU32>,
}

/// Connections to all targets.
pub(crate) struct Pool {
    connect_timeout: Duration,
    idle_timeout: Duration,
    targets: Mutex<HashMap<Key, Target>>,
}

/// A connection in use; dropping it closes the connection.
pub(crate) struct Connection {
    pub sender: Sender,
    /// Whether the connection was idle in the pool, so that the target may have closed it meanwhile.
    pub reused: bool,
    key: Key,
    task: Task,
}

/// Handle of the task that drives one connection; dropping it closes the connection.
struct Task(tokio::task::AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Counts an open connection until it is dropped.
struct OpenGuard(Arc<AtomicU32>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Why no connection could be acquired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Error {
    /// Every connection of this VM's allotment is in use.
    Exhausted,
    /// The connection could not be established.
    ConnectFailed,
}

impl Pool {
    pub(crate) fn new(connect_timeout: Duration, idle_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            idle_timeout,
            targets: Mutex::new(HashMap::new()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Key, Target>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an idle connection or opens one, with at most `allotment` connections open at the same time.
    pub(crate) async fn acquire(
        &self,
        target: id::TargetId,
        address: SocketAddr,
        allotment: u32,
    ) -> Result<Connection, Error> {
        let key = (target, address);
        while let Some((mut sender, task)) = self.pop_idle(key) {
            if sender.ready().await.is_ok() {
                return Ok(Connection {
                    sender,
                    reused: true,
                    key,
                    task,
                });
            }
        }
        let open = self.reserve(key, allotment)?;
        self.connect(key, open).await
    }

    /// Returns a connection to the pool after the complete response was read from it.
    pub(crate) fn release(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut targets = self.lock();
        // A removed target has no entry, and its connections are closed.
        let Some(target) = targets.get_mut(&connection.key) else {
            return;
        };
        if target.idle.len() < MAX_IDLE {
            target
                .idle
                .push((connection.sender, connection.task, Instant::now()));
        }
    }

    /// Closes idle connections to targets that are no longer usable, and those that were idle for too long.
    pub(crate) fn retain(&self, usable: &HashSet<Key>) {
        let mut targets = self.lock();
        targets.retain(|key, _| usable.contains(key));
        for target in targets.values_mut() {
            target
                .idle
                .retain(|(_, _, since)| since.elapsed() < self.idle_timeout);
        }
    }

    fn pop_idle(&self, key: Key) -> Option<(Sender, Task)> {
        let mut targets = self.lock();
        let target = targets.get_mut(&key)?;
        while let Some((sender, task, since)) = target.idle.pop() {
            if !sender.is_closed() && since.elapsed() < self.idle_timeout {
                return Some((sender, task));
            }
        }
        None
    }

    fn reserve(&self, key: Key, allotment: u32) -> Result<OpenGuard, Error> {
        let mut targets = self.lock();
        let open = &targets.entry(key).or_default().open;
        if open.load(Ordering::Acquire) >= allotment {
            return Err(Error::Exhausted);
        }
        open.fetch_add(1, Ordering::AcqRel);
        Ok(OpenGuard(Arc::clone(open)))
    }

    async fn connect(&self, key: Key, open: OpenGuard) -> Result<Connection, Error> {
        let stream = tokio::time::timeout(self.connect_timeout, TcpStream::connect(key.1))
            .await
            .map_err(|_elapsed| Error::ConnectFailed)?
            .map_err(|_io| Error::ConnectFailed)?;
        stream.set_nodelay(true).map_err(|_io| Error::ConnectFailed)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_hyper| Error::ConnectFailed)?;
        let task = tokio::spawn(async move {
            let _open = open;
            // The attempt that uses the connection gets the error too and reports it.
            drop(connection.await);
        });
        Ok(Connection {
            sender,
            reused: false,
            key,
            task: Task(task.abort_handle()),
        })
    }
}
