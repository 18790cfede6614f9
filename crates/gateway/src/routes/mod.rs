//! Routes: selects the handler of a request by path and method.

mod announce;
mod claimed;
mod compact;
mod jobs;
mod operation;
mod request;
mod version_one;

use std::sync::Arc;

use bronzespoke_model::id;
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, Version, header};
use hyper::body::Incoming;

use crate::{body, error, filter, server::context};

/// A handler and its arguments from the path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Route<'a> {
    Service(&'a str),
    Queue(&'a str),
    SubmitJob,
    ReadJob(id::JobId),
    CancelJob(id::JobId),
    JobResult(id::JobId),
    Announce(id::TargetId),
    Depart(id::TargetId),
    Register(id::WorkerId),
    Report(id::WorkerId),
    Health,
    Ready,
    Metrics,
    VersionOneRequest,
    VersionOneSubmit,
    VersionOneRead(id::JobId),
}

impl Route<'_> {
    /// Returns the value of the label `route` in metrics.
    const fn name(&self) -> &'static str {
        match self {
            Self::Service(_) => "service",
            Self::Queue(_) => "queue",
            Self::SubmitJob | Self::ReadJob(_) | Self::CancelJob(_) | Self::JobResult(_) => "job",
            Self::Announce(_) | Self::Depart(_) => "target",
            Self::Register(_) | Self::Report(_) => "worker",
            Self::Health | Self::Ready | Self::Metrics => "operation",
            Self::VersionOneRequest | Self::VersionOneSubmit | Self::VersionOneRead(_) => "version_one",
        }
    }
}

/// Handles one request; errors become error responses.
pub(crate) async fn handle(
    context: Arc<context::Context>,
    request: Request<Incoming>,
) -> Response<body::Body> {
    let in_flight = context.track_request();
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let version = head.version;
    let mut name = "none";
    let checked = filter::head::check(&head.uri, &head.headers, context.settings.max_header_bytes);
    let parsed = checked.and_then(|()| parse(&head.method, &path));
    let result = match parsed.and_then(|route| check_version(version, route)) {
        Ok(route) => {
            name = route.name();
            dispatch(&context, route, &head, body).await
        }
        Err(error) => Err(error),
    };
    let mut response = result.unwrap_or_else(error::Error::into_response);
    if path.starts_with("/v1/") {
        filter::version_one::add_deprecation_headers(&mut response);
    }
    // HTTP/2 has no such header; the server sends a GOAWAY frame when it closes the connection.
    if context.is_draining() && version != Version::HTTP_2 {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    let status = response.status().as_u16().to_string();
    metrics::counter!("bronzespoke_requests_total", "route" => name, "status" => status).increment(1);
    response.body_mut().hold(in_flight);
    response
}

async fn dispatch(
    context: &Arc<context::Context>,
    route: Route<'_>,
    head: &http::request::Parts,
    body: Incoming,
) -> Result<Response<body::Body>, error::Error> {
    match route {
        Route::Service(name) => request::service(context, name, head, body).await,
        Route::Queue(name) => request::queue(context, name, head, body).await,
        Route::SubmitJob => jobs::submit(context, head, body).await,
        Route::ReadJob(job) => jobs::read(context, head, job, false).await,
        Route::JobResult(job) => jobs::read(context, head, job, true).await,
        Route::CancelJob(job) => jobs::cancel(context, head, job).await,
        Route::Announce(target) => announce::target(context, head, body, target).await,
        Route::Depart(target) => announce::depart(context, head, target).await,
        Route::Register(worker) => announce::worker(context, head, body, worker).await,
        Route::Report(worker) => announce::report(context, head, body, worker).await,
        Route::Health => Ok(operation::health()),
        Route::Ready => operation::ready(context),
        Route::Metrics => Ok(operation::metrics(context)),
        Route::VersionOneRequest => version_one::request(context, head, body).await,
        Route::VersionOneSubmit => version_one::submit(context, head, body).await,
        Route::VersionOneRead(job) => version_one::read(context, head, job).await,
    }
}

fn parse<'a>(method: &Method, path: &'a str) -> Result<Route<'a>, error::Error> {
    let mut rest = path.strip_prefix('/').unwrap_or(path).split('/');
    let segments: [&str; 5] = std::array::from_fn(|_| rest.next().unwrap_or(""));
    if rest.next().is_some() {
        return Err(no_path(path));
    }
    let allowed = |allow: &'static str, route: Result<Route<'a>, error::Error>| {
        let ok = allow.split(", ").any(|name| name == method.as_str());
        if ok {
            route
        } else {
            Err(wrong_method(method, allow))
        }
    };
    match segments {
        ["v2", "services", name, "requests", ""] => allowed("POST", Ok(Route::Service(name))),
        ["v2", "queues", name, "requests", ""] => allowed("POST", Ok(Route::Queue(name))),
        ["v2", "jobs", "", "", ""] => allowed("POST", Ok(Route::SubmitJob)),
        ["v2", "jobs", job, "", ""] => allowed(
            "GET, DELETE",
            number("job", job).map(|job| {
                if method == Method::GET {
                    Route::ReadJob(job)
                } else {
                    Route::CancelJob(job)
                }
            }),
        ),
        ["v2", "jobs", job, "result", ""] => allowed("GET", number("job", job).map(Route::JobResult)),
        ["v2", "targets", target, "", ""] => allowed(
            "PUT, DELETE",
            number("target", target).map(|target| {
                if method == Method::PUT {
                    Route::Announce(target)
                } else {
                    Route::Depart(target)
                }
            }),
        ),
        ["v2", "workers", worker, "", ""] => allowed("PUT", number("worker", worker).map(Route::Register)),
        ["v2", "workers", worker, "report", ""] => {
            allowed("POST", number("worker", worker).map(Route::Report))
        }
        ["healthz", "", "", "", ""] => allowed("GET, HEAD", Ok(Route::Health)),
        ["readyz", "", "", "", ""] => allowed("GET, HEAD", Ok(Route::Ready)),
        ["metrics", "", "", "", ""] => allowed("GET", Ok(Route::Metrics)),
        ["v1", "request", "", "", ""] => allowed("POST", Ok(Route::VersionOneRequest)),
        ["v1", "job", "", "", ""] => allowed("POST", Ok(Route::VersionOneSubmit)),
        ["v1", "job", job, "", ""] => allowed("GET", number("job", job).map(Route::VersionOneRead)),
        _ => Err(no_path(path)),
    }
}

/// Rejects HTTP/2 except from workers: responses of targets are forwarded by the rules of HTTP/1.1.
fn check_version(version: Version, route: Route<'_>) -> Result<Route<'_>, error::Error> {
    if version != Version::HTTP_2 || matches!(route, Route::Register(_) | Route::Report(_)) {
        return Ok(route);
    }
    let status = StatusCode::HTTP_VERSION_NOT_SUPPORTED;
    let message = "HTTP/2 is for workers; HTTP/1.1 is allowed here";
    Err(error::Error::not_run(status, "http_version", message))
}

fn number(field: &'static str, text: &str) -> Result<u64, error::Error> {
    text.parse().map_err(|_error| {
        let message = format!("`{text}` is not a {field} id; whole numbers from 0 are allowed");
        error::Error::field(field, message)
    })
}

fn no_path(path: &str) -> error::Error {
    let message = format!("`{path}` is not a path of this interface");
    error::Error::not_run(StatusCode::NOT_FOUND, "no_path", message).with_field("path")
}

fn wrong_method(method: &Method, allow: &'static str) -> error::Error {
    let message = format!("{method} is not allowed here, {allow} is");
    let error = error::Error::not_run(StatusCode::METHOD_NOT_ALLOWED, "method", message);
    error::Error {
        allow: Some(allow),
        ..error.with_field("method")
    }
}

/// Returns a JSON response.
fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<body::Body> {
    let bytes = serde_json::to_vec(value).expect("responses serialize to JSON");
    let mut response = Response::new(body::Body::full(Bytes::from(bytes)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Receives and parses a JSON body, regardless of its `Content-Type`.
async fn receive_json<T: serde::de::DeserializeOwned>(
    context: &context::Context,
    head: &http::request::Parts,
    body: Incoming,
) -> Result<T, error::Error> {
    let received = receive(context, head, body).await?;
    filter::json::parse(&received.bytes)
}

/// Receives a body of at most the size in the cell-wide configuration.
async fn receive(
    context: &context::Context,
    head: &http::request::Parts,
    body: Incoming,
) -> Result<filter::body::Received, error::Error> {
    let limit = context.handle.view.borrow().config.request_body_bytes as usize;
    filter::body::receive(
        &head.headers,
        body,
        limit,
        &context.body_memory,
        &context.settings,
    )
    .await
}
