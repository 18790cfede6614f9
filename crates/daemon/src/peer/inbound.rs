//! Accepts links from other daemons and decodes their frames.

use std::sync::{Arc, atomic::Ordering};

use bytes::Bytes;
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    sync::mpsc,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::peer::{MAX_FRAME_BYTES, Received, Traffic, fault, wire};

/// Accepts links until `cancel`.
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
        let Ok((stream, _address)) = accepted else {
            continue;
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
        let Ok(length) = stream.read_u32().await else {
            return;
        };
        let length = length as usize;
        if length > MAX_FRAME_BYTES {
            log::warn!("peer: a frame of {length} bytes is over the limit; the link is closed");
            return;
        }
        let mut buffer = vec![0; length];
        if stream.read_exact(&mut buffer).await.is_err() {
            return;
        }
        traffic.received.fetch_add(length as u64, Ordering::Relaxed);
        let Ok(frame) = wire::decode(&Bytes::from(buffer)) else {
            log::warn!("peer: a frame was not decoded; the link is closed");
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
