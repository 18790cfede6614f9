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

use crate::peer::{MAX_FRAME_BYTES, Received, Traffic, fault, wire};

/// Pause after a failed accept, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time without a frame after which a link is closed, so that failed VMs leave no links behind; daemons send an
/// announcement every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts links until `cancel` is triggered.
pub async fn accept(
    listener: TcpListener,
    sender: mpsc::Sender<Received>,
    traffic: Arc<Traffic>,
    fault: fault::Switch,
    cancel: CancellationToken,
) {
    let tracker = TaskTracker::new();
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
        let link = read(stream, sender.clone(), Arc::clone(&traffic), fault.clone());
        let cancel = cancel.clone();
        tracker.spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
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
) {
    loop {
        let Ok(Ok(length)) = time::timeout(IDLE_TIMEOUT, stream.read_u32()).await else {
            return;
        };
        let length = length as usize;
        if length > MAX_FRAME_BYTES {
            log::warn!("peer: A frame of {length} bytes exceeds the limit; closing the link.");
            return;
        }
        let mut buffer = vec![0; length];
        let Ok(Ok(_)) = time::timeout(IDLE_TIMEOUT, stream.read_exact(&mut buffer)).await else {
            return;
        };
        traffic.received.fetch_add(length as u64, Ordering::Relaxed);
        let Ok(frame) = wire::decode(&Bytes::from(buffer)) else {
            log::warn!("peer: Failed to decode a frame; closing the link.");
            return;
        };
        if fault.is_cut(frame.from_peer) {
            continue;
        }
        if sender.send(Received { frame }).await.is_err() {
            return;
        }
    }
}
