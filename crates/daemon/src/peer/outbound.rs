//! One outgoing link: connects, reconnects, writes frames.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpStream, tcp},
    sync::mpsc,
    time,
};
use tokio_util::sync::CancellationToken;

/// Pause before a new connection; also bounds the work for an absent peer.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A write that makes no progress for this long ends the connection, so that a silent partition does not keep old
/// frames for later.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection whose data is not acknowledged for this long is ended. Without it, the kernel waits longer for each
/// retransmission, up to two minutes, so that a link came back long after a silent partition had ended.
#[cfg(target_os = "linux")]
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);

/// Writes frames until `cancel` or until the sending side is dropped.
pub async fn run(to: SocketAddr, mut frames: mpsc::Receiver<Bytes>, cancel: CancellationToken) {
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            open = serve(to, &mut frames) => if !open {
                return;
            },
        }
        // Frames that waited during the outage are outdated; protocols send again what still matters.
        while frames.try_recv().is_ok() {}
        tokio::select! {
            () = cancel.cancelled() => return,
            () = time::sleep(RECONNECT_PAUSE) => {}
        }
    }
}

/// Serves one connection; returns whether another one is wanted.
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
