//! Binary encoding of worker reports, selected by `Content-Type` and `Accept`. JSON is the default.

use bronzespoke_model::{compact, id, worker};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, header, request::Parts};
use hyper::body::Incoming;

use crate::{body, error, routes, server::context};

/// Returns whether a header field names the media type of the binary encoding.
pub(crate) fn is_named(headers: &HeaderMap, field: &HeaderName) -> bool {
    headers
        .get_all(field)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|range| range.split(';').next())
        .any(|range| range.trim().eq_ignore_ascii_case(compact::MEDIA_TYPE))
}

/// Receives and parses a binary report.
pub(crate) async fn receive(
    context: &context::Context,
    head: &Parts,
    body: Incoming,
    worker: id::WorkerId,
) -> Result<worker::Report, error::Error> {
    let received = routes::receive(context, head, body).await?;
    let (report, rest) = postcard::take_from_bytes::<compact::Report>(&received.bytes)
        .map_err(|error| error::Error::field("body", format!("not a report: {error}")))?;
    if !rest.is_empty() {
        let message = format!("{} bytes follow the report; none are allowed", rest.len());
        return Err(error::Error::field("body", message));
    }
    Ok(report.with_worker(worker))
}

/// Returns a response with a binary reply.
pub(crate) fn respond(reply: worker::Reply) -> Response<body::Body> {
    let bytes = postcard::to_stdvec(&compact::Reply::from(reply)).expect("a reply serializes to postcard");
    let mut response = Response::new(body::Body::full(Bytes::from(bytes)));
    let content_type = HeaderValue::from_static(compact::MEDIA_TYPE);
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
