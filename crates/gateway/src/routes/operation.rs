//! Endpoints for operations: health, readiness and metrics.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};

use crate::{body, error, server::context};

/// Responds with 200 while the process serves requests.
pub(crate) fn health() -> Response<body::Body> {
    text("ok\n".into())
}

/// Responds with 200 while the VM accepts new callers, otherwise with 503.
pub(crate) fn ready(context: &context::Context) -> Result<Response<body::Body>, error::Error> {
    if context.is_ready() {
        return Ok(text("ready\n".into()));
    }
    Err(error::Error::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "not_ready",
        "this VM takes no new callers now",
    ))
}

/// Responds with the metrics in the text format of Prometheus.
pub(crate) fn metrics(context: &context::Context) -> Response<body::Body> {
    text((context.render)())
}

fn text(text: String) -> Response<body::Body> {
    let mut response = Response::new(body::Body::full(Bytes::from(text)));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
