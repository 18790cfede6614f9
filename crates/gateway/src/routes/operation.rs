//! Health, readiness and metrics.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};

use crate::{answer, fault, server::context};

/// Answers 200 while the process serves.
pub(crate) fn health() -> Response<answer::Body> {
    text("ok\n".into())
}

/// Answers 200 while new requests are welcome.
pub(crate) fn ready(context: &context::Context) -> Result<Response<answer::Body>, fault::Fault> {
    if context.is_ready() {
        return Ok(text("ready\n".into()));
    }
    Err(fault::Fault::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "not_ready",
        "this VM takes no new callers now",
    ))
}

/// Renders the metrics.
pub(crate) fn metrics(context: &context::Context) -> Response<answer::Body> {
    text((context.render)())
}

fn text(text: String) -> Response<answer::Body> {
    let mut response = Response::new(answer::Body::full(Bytes::from(text)));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
