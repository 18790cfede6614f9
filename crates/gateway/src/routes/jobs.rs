//! Jobs: submit, read and cancel.

use bronzespoke_model::{id, job};
use http::{Response, StatusCode, request::Parts};
use hyper::body::Incoming;
use serde_json::json;

use crate::{body, calls, control, error, filter, routes, server::context};

/// Handles the submission of a job.
pub(crate) async fn submit(
    context: &context::Context,
    head: &Parts,
    body: Incoming,
) -> Result<Response<body::Body>, error::Error> {
    filter::key::team(&context.handle, &head.headers)?;
    let id = filter::request_id::parse(&head.headers)?;
    let spec: job::Spec = routes::receive_json(context, head, body).await?;
    // The key is checked again, because it may have been withdrawn while the body was received.
    let team = filter::key::team(&context.handle, &head.headers)?.team;
    let job = accept(context, head, team.id, id, spec).await?;
    Ok(routes::json(StatusCode::ACCEPTED, &json!({ "job": job })))
}

/// Validates a job and submits it to control.
pub(crate) async fn accept(
    context: &context::Context,
    head: &Parts,
    team: id::TeamId,
    id: Option<String>,
    spec: job::Spec,
) -> Result<id::JobId, error::Error> {
    check(&spec)?;
    let path = head.uri.path();
    let timeout = context.settings.call_timeout;
    calls::call(&context.handle, timeout, path, |reply| {
        control::Call::Submit(team, id, spec, reply)
    })
    .await
}

/// Handles a request for the status of a job, with its results if `results` is set.
pub(crate) async fn read(
    context: &context::Context,
    head: &Parts,
    job: id::JobId,
    results: bool,
) -> Result<Response<body::Body>, error::Error> {
    let team = filter::key::team(&context.handle, &head.headers)?.team;
    let status = status(context, head, team.id, job, results).await?;
    Ok(routes::json(StatusCode::OK, &status))
}

/// Reads the status of a job from control.
pub(crate) async fn status(
    context: &context::Context,
    head: &Parts,
    team: id::TeamId,
    job: id::JobId,
    results: bool,
) -> Result<control::JobStatus, error::Error> {
    let path = head.uri.path();
    let timeout = context.settings.call_timeout;
    calls::call(&context.handle, timeout, path, |reply| {
        control::Call::Job(team, job, results, reply)
    })
    .await
}

/// Handles the cancellation of a job.
pub(crate) async fn cancel(
    context: &context::Context,
    head: &Parts,
    job: id::JobId,
) -> Result<Response<body::Body>, error::Error> {
    let team = filter::key::team(&context.handle, &head.headers)?.team;
    let path = head.uri.path();
    let timeout = context.settings.call_timeout;
    let call = |reply| control::Call::Cancel(team.id, job, reply);
    let status = calls::call(&context.handle, timeout, path, call).await?;
    Ok(routes::json(StatusCode::OK, &status))
}

fn check(spec: &job::Spec) -> Result<(), error::Error> {
    if spec.tasks == 0 || spec.tasks > job::MAX_TASKS {
        let message = format!(
            "`{}` is out of range; 1 to {} are allowed",
            spec.tasks,
            job::MAX_TASKS
        );
        return Err(error::Error::field("tasks", message));
    }
    if spec.size.is_zero() {
        let message = "every dimension is 0; at least one above 0 is needed";
        return Err(error::Error::field("size", message));
    }
    if spec.command.len() > job::MAX_COMMAND_BYTES {
        let length = spec.command.len();
        let max = job::MAX_COMMAND_BYTES;
        let message = format!("the command has {length} bytes, at most {max} are allowed");
        return Err(error::Error::field("command", message));
    }
    Ok(())
}
