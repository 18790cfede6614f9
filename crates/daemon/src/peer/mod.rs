//! Network links between daemons.
//!
//! Each daemon keeps one outgoing TCP connection to every other daemon, used only for sending, and receives on the
//! connections that others opened. Frames may be lost, delayed or duplicated; every protocol above tolerates that.

pub mod fault;
mod inbound;
pub mod links;
mod outbound;
pub mod wire;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use tokio::{net::TcpListener, runtime, sync::mpsc};
use tokio_util::sync::CancellationToken;

/// Maximum size of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Maximum number of frames queued for one peer; further frames are dropped, as on a lossy link.
pub const OUTBOUND_QUEUE: usize = 1024;
/// Maximum number of received frames queued for the control thread; further frames stay in the sockets.
pub const INBOUND_QUEUE: usize = 4096;

/// Bits by which the random first number is shifted, so that the first numbers of two incarnations of a process lie at
/// least 2^24 requests apart unless the same number is drawn.
const NUMBER_BITS: u32 = 24;

/// Draws the number at which a process begins to count its requests, so that a late reply to an earlier incarnation of
/// the process matches no request. A VM with a data folder keeps its id over a restart and accepts such a reply.
pub fn first_number() -> u64 {
    u64::from(rand::random::<u32>()) << NUMBER_BITS
}

/// Traffic counters of all links.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes of frames sent.
    pub sent: AtomicU64,
    /// Bytes of frames received.
    pub received: AtomicU64,
    /// Frames dropped because a queue was full.
    pub dropped: AtomicU64,
}

/// A frame received from another daemon.
#[derive(Debug)]
pub struct Received {
    /// The decoded frame.
    pub frame: wire::Frame,
}

/// Outgoing links to all peers.
#[derive(Debug, Clone)]
pub struct Network {
    runtime: runtime::Handle,
    links: Arc<Mutex<HashMap<SocketAddr, mpsc::Sender<Bytes>>>>,
    traffic: Arc<Traffic>,
    fault: fault::Switch,
    cancel: CancellationToken,
}

impl Network {
    /// Starts receiving on `listener`; returns the outgoing links and the queue of received frames.
    pub fn start(
        runtime: runtime::Handle,
        listener: TcpListener,
        fault: fault::Switch,
        cancel: CancellationToken,
    ) -> (Self, mpsc::Receiver<Received>) {
        Self::start_within(runtime, listener, fault, links::Limits::default(), cancel)
    }

    /// Starts receiving on `listener` within limits on the accepted links.
    pub fn start_within(
        runtime: runtime::Handle,
        listener: TcpListener,
        fault: fault::Switch,
        limits: links::Limits,
        cancel: CancellationToken,
    ) -> (Self, mpsc::Receiver<Received>) {
        let (sender, receiver) = mpsc::channel(INBOUND_QUEUE);
        let traffic = Arc::new(Traffic::default());
        runtime.spawn(inbound::accept(
            listener,
            sender,
            Arc::clone(&traffic),
            fault.clone(),
            limits,
            cancel.clone(),
        ));
        let links = Arc::new(Mutex::new(HashMap::new()));
        (
            Self {
                runtime,
                links,
                traffic,
                fault,
                cancel,
            },
            receiver,
        )
    }

    /// Queues a frame for a peer address; drops it when the queue is full or the link is cut.
    pub fn send(&self, to: SocketAddr, frame: &wire::Frame) {
        if self.fault.is_cut(to) {
            return;
        }
        let bytes = match wire::encode(frame) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("peer: Failed to encode a frame for {to}: {error}");
                return;
            }
        };
        if bytes.len() > MAX_FRAME_BYTES {
            // The receiver would close the link, which would lose the frames of every group.
            log::error!(
                "peer: Dropped a frame of {} bytes for {to}, which exceeds the limit.",
                bytes.len()
            );
            self.traffic.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let length = bytes.len() as u64;
        let sent = self.link(to).try_send(bytes).is_ok();
        if sent {
            self.traffic.sent.fetch_add(length, Ordering::Relaxed);
        } else {
            self.traffic.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the traffic counters.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Closes the link to a peer; the next frame opens a new one.
    pub fn reset(&self, to: SocketAddr) {
        self.links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&to);
    }

    /// Closes the links to peers that are not in `keep`.
    pub fn retain(&self, keep: &dyn Fn(SocketAddr) -> bool) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|address, _| keep(*address));
    }

    fn link(&self, to: SocketAddr) -> mpsc::Sender<Bytes> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(to).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(OUTBOUND_QUEUE);
            self.runtime
                .spawn(outbound::run(to, receiver, self.cancel.clone()));
            sender
        });
        link.clone()
    }
}
