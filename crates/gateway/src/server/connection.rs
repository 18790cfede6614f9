//! One connection from a caller.

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::{
    server::conn::{http1, http2},
    service,
};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::{net::TcpStream, sync::OwnedSemaphorePermit};

use crate::{
    routes,
    server::{context, stall},
};

/// Bytes that hyper may buffer per connection; headers above it are refused by hyper itself with 431.
const BUFFER_BYTES: usize = 64 * 1024;

/// Time for a request that is on its way when the server closes.
const CLOSE_GRACE: Duration = Duration::from_secs(1);

/// First bytes of HTTP/2; no method of HTTP/1.1 begins with them.
const PREFACE: &[u8; 3] = b"PRI";

/// Requests at one time on an HTTP/2 connection; a worker has one report on its way and one that it gave up.
const STREAMS: u32 = 8;

/// Drives a pinned connection to its end; the two versions share no type.
macro_rules! run {
    ($context:expr, $connection:expr) => {
        // The connection comes first, so that a request that has arrived is read before the connection is closed.
        tokio::select! {
            biased;
            ended = $connection.as_mut() => ended,
            () = $context.cancel.cancelled() => return,
            () = close_later(&$context) => {
                $connection.as_mut().graceful_shutdown();
                tokio::select! {
                    ended = $connection.as_mut() => ended,
                    () = $context.cancel.cancelled() => return,
                }
            }
        }
    };
}

/// Serves one connection in its own task.
pub(crate) fn spawn(
    context: &Arc<context::Context>,
    stream: TcpStream,
    permit: Option<OwnedSemaphorePermit>,
) {
    let tracker = context.tracker.clone();
    tracker.spawn(serve(Arc::clone(context), stream, permit));
}

async fn serve(context: Arc<context::Context>, stream: TcpStream, permit: Option<OwnedSemaphorePermit>) {
    let _permit = permit;
    let _counted = context.connect();
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("gateway: a caller's connection is gone: {error}");
        return;
    }
    let Some(two) = is_two(&context, &stream).await else {
        return;
    };
    let io = stall::Io::new(TokioIo::new(stream), context.settings.stall_timeout);
    let shared = Arc::clone(&context);
    let handler = service::service_fn(move |request| {
        let context = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(routes::handle(context, request).await) }
    });
    let ended = if two {
        let connection = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(context.settings.header_timeout)
            .keep_alive_timeout(context.settings.stall_timeout)
            .max_concurrent_streams(STREAMS)
            .max_header_list_size(context.settings.max_header_bytes as u32)
            .max_send_buf_size(BUFFER_BYTES)
            .serve_connection(io, handler);
        tokio::pin!(connection);
        run!(context, connection)
    } else {
        // `pipeline_flush` stays off: with it hyper buffers an answer without bound when the caller is slow.
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(context.settings.header_timeout)
            .max_buf_size(BUFFER_BYTES)
            .serve_connection(io, handler);
        tokio::pin!(connection);
        run!(context, connection)
    };
    if let Err(error) = ended {
        log::debug!("gateway: a caller's connection ended: {error}");
    }
}

/// Tells whether a connection begins as HTTP/2 with prior knowledge; `None` when nothing came in time.
///
/// A preface whose first three bytes come in pieces is taken for HTTP/1.1 and refused as such.
async fn is_two(context: &context::Context, stream: &TcpStream) -> Option<bool> {
    let mut start = [0; PREFACE.len()];
    let peeked = tokio::select! {
        biased;
        peeked = stream.peek(&mut start) => peeked.ok()?,
        () = context.cancel.cancelled() => return None,
        () = close_later(context) => return None,
        () = tokio::time::sleep(context.settings.header_timeout) => return None,
    };
    Some(start[..peeked] == *PREFACE)
}

/// Resolves when a connection without a request may be closed.
///
/// hyper closes such a connection at once, also when a request is on its way. Answers ask for the close while the
/// server drains, so a connection that still waits after the grace is one whose caller sends nothing.
async fn close_later(context: &context::Context) {
    context.closing.cancelled().await;
    tokio::time::sleep(CLOSE_GRACE).await;
}
