//! HTTP client for workers and the eligibility service, with persistent connections.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};

/// Maximum wait for a connection: two one-way trips between regions and a lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle connections kept for each address. One carries the report; a burst of starts needs more only briefly, and each
/// costs memory.
const MAX_IDLE: usize = 8;
/// Maximum size of an answer: 500 ends and the runs of one worker.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Bytes that a connection may buffer; longer answers are read in pieces.
const BUFFER_BYTES: usize = 16 * 1024;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Client with persistent connections.
#[derive(Debug, Clone, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
}

/// Reason for a missing answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// No connection was made; the request was not sent.
    NotSent,
    /// The request may have been executed.
    NoAnswer,
}

impl Client {
    /// Sends a request and waits for the complete answer.
    pub async fn call(
        &self,
        address: SocketAddr,
        mut request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let host = header::HeaderValue::from_str(&address.to_string());
        if let Ok(host) = host {
            request.headers_mut().insert(header::HOST, host);
        }
        let request = request.map(Full::new);
        let Ok(sender) = time::timeout(CONNECT_TIMEOUT.min(timeout), self.sender(address)).await else {
            return Err(Error::NotSent);
        };
        let mut sender = sender.ok_or(Error::NotSent)?;
        match time::timeout(timeout, exchange(&mut sender, request)).await {
            Ok(Ok(answer)) => {
                self.keep(address, sender);
                Ok(answer)
            }
            Ok(Err(error)) => Err(error),
            Err(_elapsed) => {
                // Other connections to this address may be silent as well.
                self.close(address);
                Err(Error::NoAnswer)
            }
        }
    }

    /// Closes the idle connections to an address.
    pub fn close(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Sender>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn sender(&self, address: SocketAddr) -> Option<Sender> {
        while let Some(mut sender) = self.pop(address) {
            if sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
        let stream = match TcpStream::connect(address).await {
            Ok(stream) => stream,
            Err(error) => {
                log::debug!("decision=connect peer={address} outcome=\"{error}\"");
                return None;
            }
        };
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .ok()?;
        // An error of the connection also reaches the call that uses it.
        tokio::spawn(async move { drop(connection.await) });
        Some(sender)
    }

    fn pop(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.lock();
        let senders = idle.get_mut(&address)?;
        while let Some(sender) = senders.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let senders = idle.entry(address).or_default();
        if senders.len() < MAX_IDLE {
            senders.push(sender);
        }
    }
}

async fn exchange(sender: &mut Sender, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), Error> {
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        // A request that is returned with the error was not written.
        Err(error) if error.message().is_some() => return Err(Error::NotSent),
        Err(_error) => return Err(Error::NoAnswer),
    };
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(|_error| Error::NoAnswer)?.to_bytes();
    Ok((status, body))
}
