//! Accepts connections from callers, targets and workers, and drains them at shutdown.

mod connection;
pub(crate) mod context;
mod stall;
mod upkeep;

use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::{control, settings};

/// Renders the text of `/metrics`.
pub type MetricsRenderer = Arc<dyn Fn() -> String + Send + Sync>;

/// Pause after a failed accept, such as one without free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A running server.
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
    /// Starts serving on `listener`; has to be called in a runtime.
    ///
    /// The server is not ready until [`Server::set_ready`] says so, which only concerns `/readyz`. Cancelling
    /// `cancel` ends everything at once and may cut requests; [`Server::drain`] ends without cutting any.
    pub fn start(
        listener: TcpListener,
        settings: settings::Settings,
        handle: control::Handle,
        render: MetricsRenderer,
        cancel: CancellationToken,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let context = Arc::new(context::Context::new(settings, handle, render, cancel));
        // The first view counts before the first request is accepted.
        upkeep::refresh(&context);
        tokio::spawn(upkeep::run(Arc::clone(&context)));
        // Tracked, so that a drain waits for the connections that are accepted last.
        context.tracker.spawn(accept(listener, Arc::clone(&context)));
        Ok(Self { context, address })
    }

    /// Returns the address that is served.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what `/readyz` answers; a draining server stays not ready.
    pub fn set_ready(&self, ready: bool) {
        self.context.set_ready(ready);
    }

    /// Tells whether `/readyz` answers 200.
    pub fn is_ready(&self) -> bool {
        self.context.is_ready()
    }

    /// Returns the requests that were received and not yet answered.
    pub fn in_flight(&self) -> usize {
        self.context.in_flight()
    }

    /// Returns the open connections from callers, targets and workers.
    pub fn connections(&self) -> usize {
        self.context.connections()
    }

    /// Ends gracefully: clears readiness, keeps accepting for [`settings::Settings::drain_notice`], then finishes
    /// every request that was received. Resolves when the last connection is closed.
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
        let permit = tokio::select! {
            biased;
            () = context.cancel.cancelled() => return,
            () = context.closing.cancelled() => break,
            permit = Arc::clone(&context.slots).acquire_owned() => permit,
        };
        let Ok(permit) = permit else {
            return;
        };
        let accepted = tokio::select! {
            biased;
            () = context.cancel.cancelled() => return,
            accepted = listener.accept() => accepted,
            () = context.closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => connection::spawn(&context, stream, Some(permit)),
            Err(error) => {
                log::warn!("gateway: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    if let Err(error) = accept_backlog(listener, &context) {
        log::warn!("gateway: the last connections could not be accepted: {error}");
    }
}

/// Takes the connections that the kernel has accepted already; closing the listener would reset them.
///
/// The system is asked directly, because the runtime's listener may not have been told of the newest ones.
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
