//! A small HTTP client for the stand-ins.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{client::legacy, rt::TokioExecutor};

/// Largest response body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Redirects followed before giving up.
const MAX_REDIRECTS: usize = 4;
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call got no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No connection, or the connection broke before the whole response was read.
    Transport(String),
    /// No whole response within the time limit.
    Timeout,
    /// Too many redirects, or one without a usable address.
    Redirect,
}

/// A whole response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Who answered, after redirects; none when it was named by a host name.
    pub address: Option<SocketAddr>,
}

/// An HTTP client with a connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    inner: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Returns a client without open connections.
    pub fn new() -> Self {
        Self::with_version(false)
    }

    /// Returns a client without open connections that speaks HTTP/2 with prior knowledge.
    pub fn new_http2() -> Self {
        Self::with_version(true)
    }

    fn with_version(two: bool) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self {
            inner: legacy::Client::builder(TokioExecutor::new())
                .http2_only(two)
                .build(connector),
        }
    }

    /// Sends a request to `address` and reads the whole response, following 307 redirects.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let run = self.follow(method, address, path, headers, body);
        tokio::time::timeout(timeout, run)
            .await
            .unwrap_or(Err(Error::Timeout))
    }

    async fn follow(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response, Error> {
        let mut uri = format!("http://{address}{path}");
        for _ in 0..=MAX_REDIRECTS {
            let mut request = Request::builder().method(method.clone()).uri(&uri);
            for (name, value) in headers {
                request = request.header(*name, *value);
            }
            let request = request
                .body(Full::new(body.clone()))
                .map_err(|error| Error::Transport(error.to_string()))?;
            let address = request
                .uri()
                .authority()
                .and_then(|authority| authority.as_str().parse().ok());
            let response = self.once(request, address).await?;
            if response.status != StatusCode::TEMPORARY_REDIRECT {
                return Ok(response);
            }
            let location = response
                .headers
                .get(header::LOCATION)
                .and_then(|value| value.to_str().ok());
            uri = String::from(location.ok_or(Error::Redirect)?);
        }
        Err(Error::Redirect)
    }

    async fn once(
        &self,
        request: Request<Full<Bytes>>,
        address: Option<SocketAddr>,
    ) -> Result<Response, Error> {
        let transport = |error: String| Error::Transport(error);
        let response = self
            .inner
            .request(request)
            .await
            .map_err(|error| transport(error.to_string()))?;
        let (parts, body) = response.into_parts();
        let collected = Limited::new(body, MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|error| transport(error.to_string()))?;
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body: collected.to_bytes(),
            address,
        })
    }
}
