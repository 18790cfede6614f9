//! Bodies of answers to callers.

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

use crate::{gate, pool};

/// An answer that cannot be completed; the caller's connection is closed without an end mark.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The target broke off.
    Target,
    /// The deadline passed.
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

/// Counts a request until its answer has been handed to the connection.
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

/// Body of an answer.
pub struct Body {
    kind: Kind,
    in_flight: Option<InFlight>,
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Body").finish_non_exhaustive()
    }
}

impl Body {
    /// Returns a body that is known whole.
    pub fn full(bytes: Bytes) -> Self {
        Self {
            kind: Kind::Full(Some(bytes)),
            in_flight: None,
        }
    }

    pub(crate) fn stream(stream: Box<Stream>) -> Self {
        Self {
            kind: Kind::Stream(stream),
            in_flight: None,
        }
    }

    pub(crate) fn channel(receiver: mpsc::Receiver<Result<Bytes, Error>>) -> Self {
        Self {
            kind: Kind::Channel(receiver),
            in_flight: None,
        }
    }

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
            Kind::Stream(stream) => stream.running.is_none() && !stream.cut,
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

/// Everything that ends with the answer.
pub(crate) struct Running {
    pub permit: gate::Permit,
    pub pick: gate::Pick,
    pub lease: pool::Lease,
    pub pool: Arc<pool::Pool>,
    pub load: Option<u32>,
    pub server_error: bool,
}

impl Running {
    /// Reports a whole answer of `bytes` and returns the connection to the pool.
    pub(crate) fn complete(self, bytes: u64) {
        let Self {
            mut permit,
            pick,
            lease,
            pool,
            load,
            server_error,
        } = self;
        let latency = pick.elapsed();
        pool.put(lease);
        if server_error {
            pick.end(attempt::Outcome::Failed, bytes);
        } else {
            permit.set(admission::Outcome::Success { latency });
            pick.end(attempt::Outcome::Success { latency, load }, bytes);
        }
        drop(permit);
    }

    /// Reports an answer that was cut short; the connection is closed.
    pub(crate) fn fail(self, cut: Error, bytes: u64) {
        let Self {
            mut permit,
            pick,
            lease,
            ..
        } = self;
        drop(lease);
        match cut {
            Error::Target => pick.end(attempt::Outcome::Failed, bytes),
            Error::Deadline => {
                if pick.is_late() {
                    permit.set(admission::Outcome::Overloaded);
                }
                pick.end(attempt::Outcome::TimedOut, bytes);
            }
        }
        drop(permit);
    }
}

/// An answer on its way from a target to a caller; it is read only as fast as the caller takes it.
pub(crate) struct Stream {
    incoming: Incoming,
    deadline: Pin<Box<tokio::time::Sleep>>,
    running: Option<Running>,
    bytes: u64,
    cut: bool,
}

impl Stream {
    pub(crate) fn new(incoming: Incoming, deadline: tokio::time::Instant, running: Running) -> Self {
        Self {
            incoming,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            running: Some(running),
            bytes: 0,
            cut: false,
        }
    }

    /// Returns the next piece; `None` only after the whole answer.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, Error>> {
        std::future::poll_fn(|context| self.poll(context)).await
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        if self.running.is_none() {
            return Poll::Ready(None);
        }
        if self.deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(self.end(Error::Deadline))));
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
                    // The server may not poll again after the last announced byte.
                    if self.incoming.is_end_stream() {
                        self.complete();
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(self.end(Error::Target)))),
                None => {
                    self.complete();
                    return Poll::Ready(None);
                }
            }
        }
    }

    fn complete(&mut self) {
        if let Some(running) = self.running.take() {
            running.complete(self.bytes);
        }
    }

    fn end(&mut self, cut: Error) -> Error {
        self.cut = true;
        if let Some(running) = self.running.take() {
            running.fail(cut, self.bytes);
        }
        cut
    }
}
