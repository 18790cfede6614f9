//! Accepts connections from callers, targets and workers, and drains them at shutdown.

mod connection;
pub(crate) mod connections;
pub(crate) mod context;
mod maintenance;
mod stream;

use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::OwnedSemaphorePermit,
};
use tokio_util::sync::CancellationToken;

use crate::{control, settings};

/// Renders the text of `/metrics`.
pub type MetricsRenderer = Arc<dyn Fn() -> String + Send + Sync>;

/// Pause after a failed accept, which would otherwise spin while file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time after which another connection is closed for a new one that still has no slot.
const SLOT_WAIT: Duration = Duration::from_millis(100);

/// Handle of a running server.
#[derive(Clone)]
pub struct Server {
    context: Arc<context::Context>,
    address: SocketAddr,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("address", &self.address)
            .field("ready", &self.is_ready())
            .field("in_flight", &self.in_flight())
            .finish_non_exhaustive()
    }
}

impl Server {
    /// Starts serving on `listener`. Must be called within a tokio runtime.
    ///
    /// The server reports itself as not ready on `/readyz` until [`Server::set_ready`] is called; it serves requests
    /// regardless. Cancelling `cancel` stops the server immediately and may truncate requests, while
    /// [`Server::drain`] stops it gracefully.
    pub fn start(
        listener: TcpListener,
        settings: settings::Settings,
        handle: control::Handle,
        render: MetricsRenderer,
        cancel: CancellationToken,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let context = Arc::new(context::Context::new(settings, handle, render, cancel));
        // Apply the first view before a request is accepted.
        maintenance::refresh(&context);
        tokio::spawn(maintenance::run(Arc::clone(&context)));
        // Tracked, so that a drain waits for the connections accepted last.
        context.tracker.spawn(accept(listener, Arc::clone(&context)));
        Ok(Self { context, address })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the readiness reported by `/readyz`; a draining server stays not ready.
    pub fn set_ready(&self, ready: bool) {
        self.context.set_ready(ready);
    }

    /// Returns whether `/readyz` responds with 200.
    pub fn is_ready(&self) -> bool {
        self.context.is_ready()
    }

    /// Returns the number of requests whose response was not sent yet.
    pub fn in_flight(&self) -> usize {
        self.context.in_flight()
    }

    /// Returns the number of open connections from callers, targets and workers.
    pub fn connections(&self) -> usize {
        self.context.connections()
    }

    /// Shuts the server down gracefully: reports not ready, accepts connections for another
    /// [`settings::Settings::drain_notice`], then completes every request that was received. Resolves when the last
    /// connection is closed.
    pub async fn drain(&self) {
        self.context.start_draining();
        tokio::time::sleep(self.context.settings.drain_notice).await;
        self.context.closing.cancel();
        self.context.tracker.close();
        self.context.tracker.wait().await;
        self.context.cancel.cancel();
    }
}

async fn accept(listener: TcpListener, context: Arc<context::Context>) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = context.cancel.cancelled() => return,
            accepted = listener.accept() => accepted,
            () = context.closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let permit = tokio::select! {
                    biased;
                    () = context.cancel.cancelled() => return,
                    permit = slot(&context) => permit,
                    () = context.closing.cancelled() => None,
                };
                connection::spawn(&context, stream, permit);
            }
            Err(error) => {
                log::warn!("gateway: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    if let Err(error) = accept_backlog(listener, &context) {
        log::warn!("gateway: accepting the backlog of connections failed: {error}");
    }
}

/// Waits for a slot for a connection. While there is none, the connection that has been without a request for longest is
/// closed.
async fn slot(context: &context::Context) -> Option<OwnedSemaphorePermit> {
    loop {
        let slots = Arc::clone(&context.connection_slots);
        if let Ok(permit) = Arc::clone(&slots).try_acquire_owned() {
            return Some(permit);
        }
        context.open_connections.displace();
        if let Ok(permit) = tokio::time::timeout(SLOT_WAIT, slots.acquire_owned()).await {
            return permit.ok();
        }
    }
}

/// Accepts the connections in the kernel's backlog, which closing the listener would reset.
///
/// Calls the non-blocking `accept` of the standard library, because the runtime may not have received the readiness
/// event for the newest connections yet.
fn accept_backlog(listener: TcpListener, context: &Arc<context::Context>) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        };
        stream.set_nonblocking(true)?;
        connection::spawn(context, TcpStream::from_std(stream)?, None);
    }
}
