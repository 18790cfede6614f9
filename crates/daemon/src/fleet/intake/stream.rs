//! A connection whose bytes are counted.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http::Response;
use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::{net::TcpStream, time};

use crate::fleet::intake::{
    Ticket,
    ledger::{ACTIVE_BYTES, Phase, Reason},
};

/// Bytes that are read at once.
const READ_BYTES: usize = 8 * 1024;
/// Time for which a refused client may still read its response while what it sends is discarded. Without it, the system
/// resets the connection, and the response is lost.
const LINGER: Duration = Duration::from_secs(1);

/// A stream of a connection for hyper.
#[derive(Debug)]
pub struct Stream {
    inner: Arc<TcpStream>,
    ticket: Arc<Ticket>,
    /// Bytes of the head that is being received.
    head: usize,
    /// Bytes of empty lines before it.
    empty: usize,
    failed: bool,
}

impl Stream {
    /// Returns a stream for a connection.
    pub const fn new(inner: Arc<TcpStream>, ticket: Arc<Ticket>) -> Self {
        Self {
            inner,
            ticket,
            head: 0,
            empty: 0,
            failed: false,
        }
    }

    /// Counts bytes that were read; returns why the connection has to be closed.
    fn count(&mut self, bytes: &[u8]) -> Option<Reason> {
        match self.ticket.phase() {
            Some(Phase::Idle) => {
                self.ticket.begin(Phase::Head);
                self.head = 0;
                self.empty = 0;
            }
            Some(Phase::Head) => {}
            _ => return None,
        }
        if self.empty == self.head {
            self.empty += bytes
                .iter()
                .take_while(|byte| matches!(byte, b'\r' | b'\n'))
                .count();
        }
        self.head += bytes.len();
        if self.empty > self.ticket.limits().empty_bytes {
            return Some(Reason::EmptyLines);
        }
        self.ticket.advance(bytes.len());
        // The buffer of hyper doubles as it grows. A head that is not complete within the limit is refused by hyper.
        let held = self.head.min(self.ticket.limits().head_bytes) * 2;
        (!self.ticket.hold(ACTIVE_BYTES as usize + held)).then_some(Reason::Budget)
    }
}

impl Read for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        if stream.failed {
            // The task of the connection has been told to close it.
            return Poll::Pending;
        }
        let mut bytes = [0; READ_BYTES];
        let room = buf.remaining().min(READ_BYTES);
        let read = loop {
            ready!(stream.inner.poll_read_ready(cx))?;
            match stream.inner.try_read(&mut bytes[..room]) {
                Ok(read) => break read,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        };
        if let Some(reason) = stream.count(&bytes[..read]).filter(|_| read > 0) {
            stream.failed = true;
            stream.ticket.fail(reason);
            return Poll::Pending;
        }
        buf.put_slice(&bytes[..read]);
        Poll::Ready(Ok(()))
    }
}

impl Stream {
    fn poll_written(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.inner.poll_write_ready(cx))?;
            match write(&self.inner) {
                Ok(written) => {
                    self.ticket.advance(written);
                    return Poll::Ready(Ok(written));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl Write for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_written(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_written(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the stream when its buffer is empty.
        if self.ticket.phase() == Some(Phase::Response) {
            self.ticket.begin(Phase::Idle);
            self.ticket.set(ACTIVE_BYTES as usize);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(self.inner.as_ref()).shutdown(std::net::Shutdown::Write))
    }
}

/// Sends a response on a connection that hyper no longer serves.
pub fn refuse(stream: &TcpStream, response: &Response<Bytes>) {
    let fields = response.headers().iter();
    let fields: Vec<String> = fields
        .map(|(name, value)| format!("{name}: {}\r\n", value.to_str().unwrap_or_default()))
        .collect();
    let text = format!(
        "HTTP/1.1 {}\r\nconnection: close\r\n{}content-length: {}\r\n\r\n",
        response.status(),
        fields.concat(),
        response.body().len()
    );
    let bytes = [text.as_bytes(), response.body()].concat();
    // A client that does not read gets no answer.
    drop(stream.try_write(&bytes));
}

/// Discards what a refused client still sends, for a bounded time, so that it can read its response.
pub async fn linger(stream: &TcpStream) {
    drop(socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write));
    let discard = async {
        let mut bytes = [0; 1024];
        loop {
            if stream.readable().await.is_err() {
                return;
            }
            match stream.try_read(&mut bytes) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    // The client may keep the connection open for longer; it is closed nevertheless.
    drop(time::timeout(LINGER, discard).await);
}
