//! Outgoing link: connects, reconnects and writes frames.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpStream, tcp},
    sync::mpsc,
    time,
};
use tokio_util::sync::CancellationToken;

/// Pause before a new connection; bounds the cost of an unreachable peer.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a write, after which the connection is closed, so that frames from before a silent partition are not
/// delivered after it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a connection with unacknowledged data is closed. Without this limit the kernel waits longer for
/// each retransmission, up to two minutes, so that a link would recover long after a silent partition has ended.
#[cfg(target_os = "linux")]
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);

/// Writes frames until `cancel` is triggered or the sending side is dropped.
pub async fn run(to: SocketAddr, mut frames: mpsc::Receiver<Bytes>, cancel: CancellationToken) {
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            open = serve(to, &mut frames) => if !open {
                return;
            },
        }
        // Frames queued during the outage are outdated; the protocols resend what is still needed.
        while frames.try_recv().is_ok() {}
        tokio::select! {
            () = cancel.cancelled() => return,
            () = time::sleep(RECONNECT_PAUSE) => {}
        }
    }
}

/// Serves one connection; returns whether to reconnect.
async fn serve(to: SocketAddr, frames: &mut mpsc::Receiver<Bytes>) -> bool {
    let Ok(Ok(stream)) = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await else {
        return !frames.is_closed();
    };
    if prepare(&stream).is_err() {
        return true;
    }
    let (_read, mut write) = stream.into_split();
    while let Some(frame) = frames.recv().await {
        if write_frame(&mut write, &frame).await.is_err() {
            return true;
        }
    }
    false
}

fn prepare(stream: &TcpStream) -> Result<(), std::io::Error> {
    #[cfg(target_os = "linux")]
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    stream.set_nodelay(true)
}

async fn write_frame(write: &mut tcp::OwnedWriteHalf, frame: &Bytes) -> Result<(), std::io::Error> {
    let length = (frame.len() as u32).to_be_bytes();
    let mut buffer = Vec::with_capacity(length.len() + frame.len());
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(frame);
    time::timeout(WRITE_TIMEOUT, write.write_all(&buffer)).await?
}
