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
    server::{connections, context, stream},
};

/// Buffer size of hyper per connection, in bytes. hyper itself rejects larger headers with status 431. Twice the limit on
/// headers, so that most requests over it get an error with a reason; more would only add to what a crowd can hold.
pub(crate) const BUFFER_BYTES: usize = 32 * 1024;

/// Time for a request that is in transit when the server closes its connections.
const CLOSE_GRACE: Duration = Duration::from_secs(1);

/// First bytes of the HTTP/2 connection preface; no method of HTTP/1.1 begins with them.
const HTTP2_PREFACE: &[u8; 3] = b"PRI";

/// Maximum number of concurrent streams of an HTTP/2 connection. A worker needs one for its current report and one for
/// a report that it abandoned.
const MAX_STREAMS: u32 = 8;

/// Drives a pinned connection to its end. A macro, because hyper's connections of both versions share no trait.
macro_rules! drive {
    ($context:expr, $place:expr, $connection:expr) => {
        // The connection is polled first, so that a request that has arrived is read before the connection is closed.
        tokio::select! {
            biased;
            ended = $connection.as_mut() => ended,
            () = $context.cancel.cancelled() => return,
            () = closing(&$context, &$place) => {
                if $place.is_displaced() && !$place.is_serving() {
                    return;
                }
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
    let _connection_count = context.track_connection();
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("gateway: setting TCP_NODELAY on an accepted connection failed: {error}");
        return;
    }
    let place: Arc<connections::Connection> = Arc::new(context.open_connections.open());
    let detected = tokio::select! {
        biased;
        detected = detect_http2(&context, &stream) => detected,
        () = place.closed() => return,
    };
    let Some(is_http2) = detected else {
        return;
    };
    // The heads of HTTP/2 have a limit of their own, over all streams of a connection.
    let counted = (!is_http2).then(|| Arc::clone(&place));
    let io = stream::Stream::new(TokioIo::new(stream), context.settings.stall_timeout, counted);
    let shared = (Arc::clone(&context), Arc::clone(&place));
    let handler = service::service_fn(move |request| {
        let context = Arc::clone(&shared.0);
        let request_guard = shared.1.begin();
        async move {
            let mut response = routes::handle(context, request).await;
            response.body_mut().keep_open(request_guard);
            Ok::<_, Infallible>(response)
        }
    });
    let ended = if is_http2 {
        let connection = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(context.settings.header_timeout)
            .keep_alive_timeout(context.settings.stall_timeout)
            .max_concurrent_streams(MAX_STREAMS)
            .max_header_list_size(context.settings.max_header_bytes as u32)
            .max_send_buf_size(BUFFER_BYTES)
            .serve_connection(io, handler);
        tokio::pin!(connection);
        drive!(context, place, connection)
    } else {
        // `pipeline_flush` stays off: with it, hyper buffers responses without bound when the caller reads slowly.
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(context.settings.header_timeout)
            .max_buf_size(BUFFER_BYTES)
            .serve_connection(io, handler);
        tokio::pin!(connection);
        drive!(context, place, connection)
    };
    if let Err(error) = ended {
        log::debug!("gateway: an accepted connection failed: {error}");
    }
}

/// Returns whether a connection starts with the HTTP/2 preface (prior knowledge), or `None` if nothing was received in
/// time.
///
/// A preface whose first three bytes arrive in several segments is treated as HTTP/1.1 and rejected as such.
async fn detect_http2(context: &context::Context, stream: &TcpStream) -> Option<bool> {
    let mut start = [0; HTTP2_PREFACE.len()];
    let peeked = tokio::select! {
        biased;
        peeked = stream.peek(&mut start) => peeked.ok()?,
        () = context.cancel.cancelled() => return None,
        () = idle_close(context) => return None,
        () = tokio::time::sleep(context.settings.header_timeout) => return None,
    };
    Some(start[..peeked] == *HTTP2_PREFACE)
}

/// Resolves when a connection is to be closed after its current request.
async fn closing(context: &context::Context, place: &connections::Connection) {
    tokio::select! {
        () = place.closed() => {}
        () = idle_close(context) => {}
    }
}

/// Resolves when a connection without a request may be closed.
///
/// A graceful shutdown by hyper closes an idle connection immediately, even if a request is in transit. While the
/// server drains, responses carry `Connection: close`; a connection that is still open after the grace period is
/// therefore one whose caller sends nothing.
async fn idle_close(context: &context::Context) {
    context.closing.cancelled().await;
    tokio::time::sleep(CLOSE_GRACE).await;
}
