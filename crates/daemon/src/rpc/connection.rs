//! One connection of an operator.

use std::{
    convert::Infallible,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body as _, Incoming},
    rt::{Read, ReadBufCursor, Write},
    server::conn::http1,
    service,
};
use hyper_util::rt::TokioIo;
use jsonrpsee::server;
use tokio::net::TcpStream;

use crate::rpc::{CALL_RESPONSE_BYTES, MAX_REQUEST_BYTES, MAX_RESPONSE_BYTES, listener::Place};

/// Buffer size of hyper per connection, in bytes. hyper rejects larger heads with status 431.
const BUFFER_BYTES: usize = 16 * 1024;

/// Serves a connection until it ends, its time is over or the server is stopped.
pub async fn serve(place: Arc<Place>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("rpc: setting TCP_NODELAY on an accepted connection failed: {error}");
        return;
    }
    let shared = Arc::clone(&place);
    let handler = service::service_fn(move |request| {
        let place = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(handle(&place, request).await) }
    });
    let io = Stream {
        inner: TokioIo::new(stream),
        place: Arc::clone(&place),
    };
    let connection = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(io, handler);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = place.closed() => return,
        () = place.listener.stopped.clone().shutdown() => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection => ended,
                () = place.closed() => return,
            }
        }
    };
    if let Err(error) = ended {
        log::debug!("rpc: an accepted connection failed: {error}");
    }
}

/// Receives a request and executes its calls.
async fn handle(place: &Place, request: Request<Incoming>) -> server::HttpResponse {
    let (head, body) = request.into_parts();
    let body = match receive(body).await {
        Ok(body) => body,
        Err(Error::TooLarge) => return server::http::response::too_large(MAX_REQUEST_BYTES),
        Err(Error::Broken(error)) => {
            log::debug!("rpc: the body of a request is broken: {error}");
            return server::http::response::malformed();
        }
    };
    // The response to a batch may take as much as is allowed; statements may wait for seconds and must not keep others out.
    let is_batch = body.trim_ascii_start().starts_with(b"[");
    let reserved = if is_batch {
        MAX_RESPONSE_BYTES
    } else {
        CALL_RESPONSE_BYTES
    };
    let Some(mut memory) = place.listener.reserve(reserved).await else {
        return server::http::response::internal_error();
    };
    // The library keeps a permit of its own with each connection; the places bound the connections here.
    let Some(permit) = memory.split(0) else {
        return server::http::response::internal_error();
    };
    if !place.execute() {
        return server::http::response::internal_error();
    }
    let response = server::http::call_with_service_builder(
        Request::from_parts(head, Full::new(body)),
        super::config(),
        server::ConnectionState::new(place.listener.stopped.clone(), 0, permit),
        place.listener.methods.clone(),
        server::middleware::rpc::RpcServiceBuilder::new(),
    )
    .await;
    let length = response.body().size_hint().upper();
    let length = length.map_or(MAX_RESPONSE_BYTES, |length| {
        length.min(u64::from(MAX_RESPONSE_BYTES)) as u32
    });
    if length > reserved {
        // Requests that wait for more hold nothing, so that none waits for another one.
        drop(memory);
        let Some(all) = place.listener.reserve(length).await else {
            return server::http::response::internal_error();
        };
        memory = all;
    } else {
        drop(memory.split((reserved - length) as usize));
    }
    place.respond(memory);
    response
}

/// Reason why a body was not received.
enum Error {
    TooLarge,
    Broken(hyper::Error),
}

/// Receives a body. It is copied, because a chunk of one byte keeps the whole buffer in which it arrived.
async fn receive(mut body: Incoming) -> Result<Bytes, Error> {
    let limit = MAX_REQUEST_BYTES as usize;
    if body.size_hint().lower() > limit as u64 {
        return Err(Error::TooLarge);
    }
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(Error::Broken)?.into_data() else {
            continue;
        };
        if received.len() + data.len() > limit {
            return Err(Error::TooLarge);
        }
        received.extend_from_slice(&data);
    }
    Ok(received.freeze())
}

/// A stream whose progress is recorded.
struct Stream {
    inner: TokioIo<TcpStream>,
    place: Arc<Place>,
}

impl Stream {
    fn record(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(bytes)) if bytes > 0) {
            self.place.sent();
        }
        written
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(()))) {
            self.place.received();
        }
        read
    }
}

impl Write for Stream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.record(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the stream when its buffer is empty.
        self.place.flushed();
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.record(written)
    }
}
