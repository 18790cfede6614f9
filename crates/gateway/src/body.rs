//! Bodies of responses to callers.

use std::{
    fmt,
    pin::Pin,
    sync::Arc,
    sync::atomic::{AtomicUsize, Ordering},
    task::{Context, Poll},
};

use bronzespoke_request::{admission, attempt};
use bytes::Bytes;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use tokio::sync::mpsc;

use crate::{balancer, pool, server::connections};

/// Why a response was truncated. The connection to the caller is closed before the end of the body, so that the
/// caller detects the truncation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The target closed the connection or violated the protocol.
    Target,
    /// The deadline of the request passed.
    Deadline,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Target => "the target broke off its answer",
            Self::Deadline => "the deadline passed during the answer",
        })
    }
}

impl std::error::Error for Error {}

/// Increments a counter until it is dropped.
pub(crate) struct InFlight(Arc<AtomicUsize>);

impl InFlight {
    pub(crate) fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(count))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

enum Kind {
    Full(Option<Bytes>),
    Stream(Box<Stream>),
    Channel(mpsc::Receiver<Result<Bytes, Error>>),
}

/// Body of a response.
pub struct Body {
    kind: Kind,
    in_flight: Option<InFlight>,
    connection: Option<connections::Request>,
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Body").finish_non_exhaustive()
    }
}

impl Body {
    /// Creates a body with known content.
    pub fn full(bytes: Bytes) -> Self {
        Self {
            kind: Kind::Full(Some(bytes)),
            in_flight: None,
            connection: None,
        }
    }

    pub(crate) fn stream(stream: Box<Stream>) -> Self {
        Self {
            kind: Kind::Stream(stream),
            in_flight: None,
            connection: None,
        }
    }

    pub(crate) fn channel(receiver: mpsc::Receiver<Result<Bytes, Error>>) -> Self {
        Self {
            kind: Kind::Channel(receiver),
            in_flight: None,
            connection: None,
        }
    }

    /// Keeps the connection from being closed for another one until the body has been sent.
    pub(crate) fn keep_open(&mut self, request: connections::Request) {
        self.connection = Some(request);
    }

    /// Keeps the request counted as in flight until the body has been sent.
    pub(crate) fn hold(&mut self, in_flight: InFlight) {
        self.in_flight = Some(in_flight);
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match &mut self.kind {
            Kind::Full(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Kind::Stream(stream) => stream.poll(cx).map(|data| data.map(|data| data.map(Frame::data))),
            Kind::Channel(receiver) => receiver
                .poll_recv(cx)
                .map(|data| data.map(|data| data.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Kind::Stream(stream) => stream.exchange.is_none() && !stream.failed,
            Kind::Channel(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Kind::Stream(stream) => stream.incoming.size_hint(),
            Kind::Channel(_) => SizeHint::default(),
        }
    }
}

/// Resources of a forwarded request, which are released at the end of the response.
pub(crate) struct Exchange {
    pub permit: balancer::Permit,
    pub pick: balancer::Pick,
    pub connection: pool::Connection,
    pub pool: Arc<pool::Pool>,
    pub load: Option<u32>,
    pub server_error: bool,
}

impl Exchange {
    /// Reports a complete response of `bytes` and returns the connection to the pool.
    pub(crate) fn complete(self, bytes: u64) {
        let Self {
            mut permit,
            pick,
            connection,
            pool,
            load,
            server_error,
        } = self;
        let latency = pick.elapsed();
        pool.release(connection);
        if server_error {
            pick.finish(attempt::Outcome::Failed, bytes);
        } else {
            permit.set_outcome(admission::Outcome::Success { latency });
            pick.finish(attempt::Outcome::Success { latency, load }, bytes);
        }
        drop(permit);
    }

    /// Reports a truncated response and closes the connection.
    pub(crate) fn fail(self, error: Error, bytes: u64) {
        let Self {
            mut permit,
            pick,
            connection,
            ..
        } = self;
        drop(connection);
        match error {
            Error::Target => pick.finish(attempt::Outcome::Failed, bytes),
            Error::Deadline => {
                if pick.is_late() {
                    permit.set_outcome(admission::Outcome::Overloaded);
                }
                pick.finish(attempt::Outcome::TimedOut, bytes);
            }
        }
        drop(permit);
    }
}

/// A response that is streamed from a target to a caller; it is read only as fast as the caller accepts it.
pub(crate) struct Stream {
    incoming: Incoming,
    deadline: Pin<Box<tokio::time::Sleep>>,
    exchange: Option<Exchange>,
    bytes: u64,
    failed: bool,
}

impl Stream {
    pub(crate) fn new(incoming: Incoming, deadline: tokio::time::Instant, exchange: Exchange) -> Self {
        Self {
            incoming,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            exchange: Some(exchange),
            bytes: 0,
            failed: false,
        }
    }

    /// Returns the next chunk; `None` only after the complete response.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, Error>> {
        std::future::poll_fn(|context| self.poll(context)).await
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        if self.exchange.is_none() {
            return Poll::Ready(None);
        }
        if self.deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(self.fail(Error::Deadline))));
        }
        loop {
            let frame = match Pin::new(&mut self.incoming).poll_frame(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => frame,
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.bytes += data.len() as u64;
                    // The server may not poll again after the last byte of the announced length.
                    if self.incoming.is_end_stream() {
                        self.complete();
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(self.fail(Error::Target)))),
                None => {
                    self.complete();
                    return Poll::Ready(None);
                }
            }
        }
    }

    fn complete(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            exchange.complete(self.bytes);
        }
    }

    fn fail(&mut self, error: Error) -> Error {
        self.failed = true;
        if let Some(exchange) = self.exchange.take() {
            exchange.fail(error, self.bytes);
        }
        error
    }
}
