//! Ends a connection whose caller does not take its answer.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::Sleep};

/// A connection with a bound on how long one write may wait.
pub(crate) struct Io {
    inner: TokioIo<TcpStream>,
    allowed: Duration,
    waiting: Option<Pin<Box<Sleep>>>,
}

impl Io {
    pub(crate) const fn new(inner: TokioIo<TcpStream>, allowed: Duration) -> Self {
        Self {
            inner,
            allowed,
            waiting: None,
        }
    }

    fn bound<T>(&mut self, context: &mut Context<'_>, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.waiting = None;
            return result;
        }
        let allowed = self.allowed;
        let waiting = self
            .waiting
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(allowed)));
        if waiting.as_mut().poll(context).is_ready() {
            let message = "the caller did not take its answer";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)));
        }
        Poll::Pending
    }
}

impl Read for Io {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl Write for Io {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.bound(cx, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
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
        let result = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.bound(cx, result)
    }
}
