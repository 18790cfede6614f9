//! Connections to targets, at most this VM's part of what each target accepts.

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

/// Idle connections kept per target; further ones are closed.
const MAX_IDLE: usize = 64;

type Sender = http1::SendRequest<Full<Bytes>>;
type Key = (id::TargetId, SocketAddr);

#[derive(Default)]
struct Slot {
    idle: Vec<(Sender, Task, Instant)>,
    open: Arc<AtomicU32>,
}

/// Pool of connections.
pub(crate) struct Pool {
    connect_timeout: Duration,
    idle_timeout: Duration,
    slots: Mutex<HashMap<Key, Slot>>,
}

/// One connection in use; dropping it closes the connection.
pub(crate) struct Lease {
    pub sender: Sender,
    /// Whether the connection was used before, so that the target may have closed it meanwhile.
    pub reused: bool,
    key: Key,
    task: Task,
}

/// Drives one connection; dropping it closes the connection.
struct Task(tokio::task::AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct Open(Arc<AtomicU32>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Why there is no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Error {
    /// Every connection of this VM's part is in use.
    Exhausted,
    /// The target did not accept the connection.
    Refused,
}

impl Pool {
    pub(crate) fn new(connect_timeout: Duration, idle_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            idle_timeout,
            slots: Mutex::new(HashMap::new()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Key, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an idle connection or a new one, at most `part` open at a time.
    pub(crate) async fn lease(
        &self,
        target: id::TargetId,
        address: SocketAddr,
        part: u32,
    ) -> Result<Lease, Error> {
        let key = (target, address);
        while let Some((mut sender, task)) = self.pop_idle(key) {
            if sender.ready().await.is_ok() {
                return Ok(Lease {
                    sender,
                    reused: true,
                    key,
                    task,
                });
            }
        }
        let open = self.reserve(key, part)?;
        self.connect(key, open).await
    }

    /// Takes back a connection whose answer was read to its end.
    pub(crate) fn put(&self, lease: Lease) {
        if lease.sender.is_closed() {
            return;
        }
        let mut slots = self.lock();
        // A target that is gone has no slot any more, and its connections are closed.
        let Some(slot) = slots.get_mut(&lease.key) else {
            return;
        };
        if slot.idle.len() < MAX_IDLE {
            slot.idle.push((lease.sender, lease.task, Instant::now()));
        }
    }

    /// Closes the idle connections to targets that are not usable any more, and those idle for too long.
    pub(crate) fn retain(&self, usable: &HashSet<Key>) {
        let mut slots = self.lock();
        slots.retain(|key, _| usable.contains(key));
        for slot in slots.values_mut() {
            slot.idle
                .retain(|(_, _, since)| since.elapsed() < self.idle_timeout);
        }
    }

    fn pop_idle(&self, key: Key) -> Option<(Sender, Task)> {
        let mut slots = self.lock();
        let slot = slots.get_mut(&key)?;
        while let Some((sender, task, since)) = slot.idle.pop() {
            if !sender.is_closed() && since.elapsed() < self.idle_timeout {
                return Some((sender, task));
            }
        }
        None
    }

    fn reserve(&self, key: Key, part: u32) -> Result<Open, Error> {
        let mut slots = self.lock();
        let open = &slots.entry(key).or_default().open;
        if open.load(Ordering::Acquire) >= part {
            return Err(Error::Exhausted);
        }
        open.fetch_add(1, Ordering::AcqRel);
        Ok(Open(Arc::clone(open)))
    }

    async fn connect(&self, key: Key, open: Open) -> Result<Lease, Error> {
        let stream = tokio::time::timeout(self.connect_timeout, TcpStream::connect(key.1))
            .await
            .map_err(|_elapsed| Error::Refused)?
            .map_err(|_io| Error::Refused)?;
        stream.set_nodelay(true).map_err(|_io| Error::Refused)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_hyper| Error::Refused)?;
        let task = tokio::spawn(async move {
            let _open = open;
            // An error here also reaches the attempt that uses the connection, which reports it.
            drop(connection.await);
        });
        Ok(Lease {
            sender,
            reused: false,
            key,
            task: Task(task.abort_handle()),
        })
    }
}
