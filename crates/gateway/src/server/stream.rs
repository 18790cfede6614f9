//! A connection that fails if its caller does not read its response, and whose heads are counted.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::Sleep};

use crate::server::connections;

/// Bytes that are read at once.
const READ_BYTES: usize = 4 * 1024;

/// A connection on which a write fails if it cannot make progress within a timeout.
pub(crate) struct Stream {
    inner: TokioIo<TcpStream>,
    timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    /// Connection whose heads are counted.
    counted: Option<Arc<connections::Connection>>,
}

impl Stream {
    pub(crate) const fn new(
        inner: TokioIo<TcpStream>,
        timeout: Duration,
        counted: Option<Arc<connections::Connection>>,
    ) -> Self {
        Self {
            inner,
            timeout,
            timer: None,
            counted,
        }
    }

    fn with_timeout<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.timer = None;
            return result;
        }
        let timeout = self.timeout;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        if timer.as_mut().poll(context).is_ready() {
            let message = "the caller did not read its response in time";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)));
        }
        Poll::Pending
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(counted) = self.counted.clone() else {
            return Pin::new(&mut self.inner).poll_read(cx, buf);
        };
        // hyper enlarges its buffer when a read fills it.
        let mut bytes = [0; READ_BYTES];
        let room = buf.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(&mut bytes[..room]);
        ready!(Pin::new(&mut self.inner).poll_read(cx, part.unfilled()))?;
        counted.count(part.filled().len());
        buf.put_slice(part.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for Stream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.with_timeout(cx, result)
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
        self.with_timeout(cx, result)
    }
}
