//! Announcements of targets, and registration and reports of workers.

use bronzespoke_model::{id, target, worker};
use http::{Response, StatusCode, header, request::Parts};
use hyper::body::Incoming;
use serde_json::json;

use crate::{
    body, calls, control, error,
    routes::{self, compact},
    server::context,
};

/// Handles a target's announcement; the response is the time after which to renew it.
pub(crate) async fn target(
    context: &context::Context,
    head: &Parts,
    body: Incoming,
    target: id::TargetId,
) -> Result<Response<body::Body>, error::Error> {
    let announcement: target::Announcement = routes::receive_json(context, head, body).await?;
    check_id("target", target, announcement.target)?;
    check_positive("slots", announcement.slots)?;
    check_positive("connections", announcement.connections)?;
    if announcement.address.port() == 0 {
        let message = format!("`{}` has port 0; 1 to 65535 are allowed", announcement.address);
        return Err(error::Error::field("address", message));
    }
    let renew = call(context, head, |reply| {
        control::Call::Announce(announcement, reply)
    })
    .await?;
    let renew_ms = renew.as_millis() as u64;
    Ok(routes::json(StatusCode::OK, &json!({ "renew_ms": renew_ms })))
}

/// Handles a target's departure; the query names its incarnation.
pub(crate) async fn depart(
    context: &context::Context,
    head: &Parts,
    target: id::TargetId,
) -> Result<Response<body::Body>, error::Error> {
    let query = head.uri.query().unwrap_or("");
    let incarnation = query.strip_prefix("incarnation=").unwrap_or("");
    let incarnation = incarnation.parse().map_err(|_error| {
        let message = format!("`{query}` does not name an incarnation; `incarnation=NUMBER` is allowed");
        error::Error::field("incarnation", message)
    })?;
    call(context, head, |reply| {
        control::Call::Depart(target, incarnation, reply)
    })
    .await?;
    Ok(routes::json(StatusCode::OK, &json!({})))
}

/// Handles the registration of a worker.
pub(crate) async fn worker(
    context: &context::Context,
    head: &Parts,
    body: Incoming,
    worker: id::WorkerId,
) -> Result<Response<body::Body>, error::Error> {
    let registration: worker::Registration = routes::receive_json(context, head, body).await?;
    check_id("worker", worker, registration.worker)?;
    check_positive("capacity", registration.capacity.amount.cpu_milli)?;
    call(context, head, |reply| {
        control::Call::Register(registration, reply)
    })
    .await?;
    Ok(routes::json(StatusCode::OK, &json!({})))
}

/// Handles a worker's report; the response may be delayed until there are directives.
pub(crate) async fn report(
    context: &context::Context,
    head: &Parts,
    body: Incoming,
    worker: id::WorkerId,
) -> Result<Response<body::Body>, error::Error> {
    let report = if compact::is_named(&head.headers, &header::CONTENT_TYPE) {
        compact::receive(context, head, body, worker).await?
    } else {
        routes::receive_json(context, head, body).await?
    };
    check_id("worker", worker, report.worker)?;
    let running = report.running.len();
    if running > worker::MAX_TASKS_IN_REPORT {
        let max = worker::MAX_TASKS_IN_REPORT;
        let message = format!("{running} tasks are named, at most {max} are allowed");
        return Err(error::Error::field("running", message));
    }
    let reply = call(context, head, |reply| control::Call::Report(report, reply)).await?;
    if compact::is_named(&head.headers, &header::ACCEPT) {
        return Ok(compact::respond(reply));
    }
    Ok(routes::json(StatusCode::OK, &reply))
}

async fn call<T>(
    context: &context::Context,
    head: &Parts,
    make_call: impl FnOnce(control::Reply<T>) -> control::Call,
) -> Result<T, error::Error> {
    calls::call(
        &context.handle,
        context.settings.call_timeout,
        head.uri.path(),
        make_call,
    )
    .await
}

fn check_id(field: &'static str, path: u64, body: u64) -> Result<(), error::Error> {
    if path == body {
        return Ok(());
    }
    let message = format!("`{body}` differs from `{path}` in the path; the same id is allowed");
    Err(error::Error::field(field, message))
}

fn check_positive(field: &'static str, value: u32) -> Result<(), error::Error> {
    if value > 0 {
        return Ok(());
    }
    Err(error::Error::field(
        field,
        format!("`{value}` is too small; 1 and more are allowed"),
    ))
}
