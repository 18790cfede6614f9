//! HTTP client with a connection pool, for the stand-ins.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{client::legacy, rt::TokioExecutor};

/// Maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Maximum number of redirects that are followed.
const MAX_REDIRECTS: usize = 4;
/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Error of a call without a complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No connection was established, or it failed before the response was complete.
    Transport(String),
    /// The response was not complete within the time limit.
    Timeout,
    /// There were too many redirects, or one without a valid location.
    Redirect,
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: http::HeaderMap,
    /// Complete response body.
    pub body: Bytes,
    /// Address of the responder, after redirects; `None` if the location named a host.
    pub address: Option<SocketAddr>,
}

/// An HTTP client with a pool of connections.
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

    /// Returns a client without open connections that uses HTTP/2 with prior knowledge.
    pub fn new_http2() -> Self {
        Self::with_version(true)
    }

    fn with_version(http2: bool) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self {
            inner: legacy::Client::builder(TokioExecutor::new())
                .http2_only(http2)
                .build(connector),
        }
    }

    /// Sends a request to `address` and reads the complete response, following redirects with status 307.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let call = self.call_with_redirects(method, address, path, headers, body);
        tokio::time::timeout(timeout, call)
            .await
            .unwrap_or(Err(Error::Timeout))
    }

    async fn call_with_redirects(
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
            let response = self.send(request, address).await?;
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

    /// Sends one request and reads the complete response.
    async fn send(
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
