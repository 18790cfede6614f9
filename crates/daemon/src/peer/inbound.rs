//! Accepts links from other daemons and decodes their frames.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::peer::{MAX_FRAME_BYTES, Received, Traffic, fault, links, wire};

/// Pause after a failed accept, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time without a frame after which a link is closed, so that failed VMs leave no links behind; daemons send an
/// announcement every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the first frame of a link to arrive; a daemon sends it when it connects.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(5);
/// Frames up to this size are received at once, and are not counted, so that announcements arrive while strangers hold
/// all that is allowed; larger buffers grow with what arrives.
const STEP_BYTES: usize = 4 * 1024;

/// Accepts links until `cancel` is triggered.
pub async fn accept(
    listener: TcpListener,
    sender: mpsc::Sender<Received>,
    traffic: Arc<Traffic>,
    fault: fault::Switch,
    limits: links::Limits,
    cancel: CancellationToken,
) {
    let tracker = TaskTracker::new();
    let links = links::Links::new(limits);
    loop {
        let accepted = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let (stream, _address) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("peer: Failed to accept a connection: {error}");
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let link = links.add(cancel.child_token());
        let closed = link.closed();
        let link = read(stream, sender.clone(), Arc::clone(&traffic), fault.clone(), link);
        tracker.spawn(async move {
            tokio::select! {
                () = closed.cancelled() => {}
                () = link => {}
            }
        });
    }
}

async fn read(
    mut stream: TcpStream,
    sender: mpsc::Sender<Received>,
    traffic: Arc<Traffic>,
    fault: fault::Switch,
    mut link: links::Link,
) {
    let mut timeout = FIRST_FRAME_TIMEOUT;
    loop {
        let Ok(Ok(length)) = time::timeout(timeout, stream.read_u32()).await else {
            return;
        };
        let length = length as usize;
        if length > MAX_FRAME_BYTES {
            log::warn!("peer: A frame of {length} bytes exceeds the limit; closing the link.");
            return;
        }
        let Ok(Ok(buffer)) = time::timeout(timeout, receive(&mut stream, length, &mut link)).await else {
            return;
        };
        traffic.received.fetch_add(length as u64, Ordering::Relaxed);
        let Ok(frame) = wire::decode(&Bytes::from(buffer)) else {
            log::warn!("peer: Failed to decode a frame; closing the link.");
            return;
        };
        if !link.record_frame() {
            return;
        }
        timeout = IDLE_TIMEOUT;
        if fault.is_cut(frame.from_peer) {
            continue;
        }
        if sender.send(Received { frame }).await.is_err() {
            return;
        }
    }
}

/// Receives a frame of this length. The buffer grows with what arrives, so that a length alone takes no memory.
async fn receive(stream: &mut TcpStream, length: usize, link: &mut links::Link) -> std::io::Result<Vec<u8>> {
    let mut buffer = Vec::new();
    while buffer.len() < length {
        let begin = buffer.len();
        let next = length.min(begin + begin.max(STEP_BYTES));
        if next > STEP_BYTES && !link.hold(next) {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        buffer.reserve_exact(next - begin);
        buffer.resize(next, 0);
        stream.read_exact(&mut buffer[begin..]).await?;
    }
    Ok(buffer)
}
