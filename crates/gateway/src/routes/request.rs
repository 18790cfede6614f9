//! Requests to services and open queues, which are forwarded to targets.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bronzespoke_model::{id, team};
use bronzespoke_request::{admission, allotment, attempt as request_attempt, retry};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header, request::Parts, response};
use hyper::body::{Body as _, Incoming};
use tokio::sync::OwnedSemaphorePermit;

use crate::{attempt, balancer, body, error, filter, routes::claimed, server::context};

/// Responses of up to this length are buffered before they are sent to the caller, so that a truncated one can be
/// retried or replaced by an error.
pub(crate) const MAX_BUFFERED_BYTES: u64 = 64 * 1024;
/// Request headers that are forwarded to targets.
const FORWARDED_HEADERS: [HeaderName; 6] = [
    header::CONTENT_TYPE,
    header::CONTENT_ENCODING,
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    HeaderName::from_static("traceparent"),
    HeaderName::from_static("tracestate"),
];
/// Response headers that are not forwarded to callers, because they concern the connection to the target or the
/// gateway's protocol with it.
const STRIPPED_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TRAILER,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    attempt::ATTEMPT,
    attempt::RUN,
    attempt::LOAD,
    attempt::TEAM,
];

/// A request that passed the filters and is ready to be sent.
pub(crate) struct Prepared {
    /// Hash of the key, which is checked again before each attempt; requests to open queues have none.
    pub key: Option<team::KeyHash>,
    pub request: balancer::Request,
    pub message: attempt::Message,
    /// Permit for the memory of the body.
    #[expect(dead_code, reason = "held for its drop")]
    pub memory: OwnedSemaphorePermit,
}

/// Response of a target, buffered or ready to be streamed.
pub(crate) struct TargetResponse {
    pub head: response::Parts,
    pub body: ResponseBody,
}

/// Body of a target's response.
pub(crate) enum ResponseBody {
    Buffered(Bytes),
    Stream(Box<body::Stream>),
}

/// Parameters of a request, common to all versions of the API.
pub(crate) struct Params<'a> {
    pub granted: Option<&'a filter::key::Granted>,
    pub owner: admission::Owner,
    pub service: id::ServiceId,
    pub service_name: &'a str,
    pub weight: u32,
    /// Maximum number of requests that the owner may have in flight, over all entry VMs.
    pub limit: u32,
    pub time_limit: Duration,
    pub id: Option<String>,
    pub body: filter::body::Received,
}

/// Serves `POST /v2/services/{service}/requests`.
pub(crate) async fn service(
    context: &Arc<context::Context>,
    name: &str,
    head: &Parts,
    body: Incoming,
) -> Result<Response<body::Body>, error::Error> {
    filter::key::team(&context.handle, &head.headers)?;
    let view = Arc::clone(&context.handle.view.borrow());
    let service = view
        .services
        .get(name)
        .ok_or_else(|| unknown_name("service", name))?;
    let time_limit = filter::deadline::parse(&head.headers, view.config.request_deadline_ms)?;
    let id = filter::request_id::parse(&head.headers)?;
    let limit = view.config.request_body_bytes as usize;
    let body = filter::body::receive(
        &head.headers,
        body,
        limit,
        &context.body_memory,
        &context.settings,
    )
    .await?;
    // The key is checked again, because it may have been withdrawn while the body was received.
    let granted = filter::key::team(&context.handle, &head.headers)?;
    let team = &granted.team;
    let params = Params {
        granted: Some(&granted),
        owner: admission::Owner::Team(team.id),
        service: service.id,
        service_name: name,
        weight: team.quota.weight,
        limit: team.quota.requests,
        time_limit,
        id,
        body,
    };
    serve(context, head, params).await
}

/// Serves `POST /v2/queues/{queue}/requests`, which needs no key and no fresh view.
pub(crate) async fn queue(
    context: &Arc<context::Context>,
    name: &str,
    head: &Parts,
    body: Incoming,
) -> Result<Response<body::Body>, error::Error> {
    let view = Arc::clone(&context.handle.view.borrow());
    let queue = view.queues.get(name).ok_or_else(|| unknown_name("queue", name))?;
    if head.headers.contains_key(&filter::request_id::HEADER) {
        let message = "request ids belong to teams; an open queue takes requests without one";
        return Err(error::Error::field(filter::request_id::HEADER.as_str(), message));
    }
    let service = view.services.values().find(|service| service.id == queue.service);
    let service = service.ok_or_else(|| unknown_name("queue", name))?;
    let time_limit = filter::deadline::parse(&head.headers, view.config.request_deadline_ms)?;
    let limit = view.config.request_body_bytes as usize;
    let body = filter::body::receive(
        &head.headers,
        body,
        limit,
        &context.body_memory,
        &context.settings,
    )
    .await?;
    let params = Params {
        granted: None,
        owner: admission::Owner::Queue(queue.id),
        service: service.id,
        service_name: &service.name,
        weight: 1,
        limit: queue.requests,
        time_limit,
        id: None,
        body,
    };
    serve(context, head, params).await
}

/// Sends a request to targets and returns the response.
pub(crate) async fn serve(
    context: &Arc<context::Context>,
    head: &Parts,
    params: Params<'_>,
) -> Result<Response<body::Body>, error::Error> {
    let id = params.id.clone();
    let team = params.granted.map(|granted| granted.team.id);
    let prepared = prepare(context, head, params)?;
    match (team, id) {
        (Some(team), Some(id)) => claimed::serve(context, team, id, prepared).await,
        _ => Ok(respond(run(context, prepared, true).await?)),
    }
}

fn prepare(context: &context::Context, head: &Parts, params: Params<'_>) -> Result<Prepared, error::Error> {
    let path = format!("/v2/services/{}/requests", params.service_name);
    let path = path
        .parse()
        .map_err(|_error| unknown_name("service", params.service_name))?;
    let mut headers = HeaderMap::with_capacity(FORWARDED_HEADERS.len() + 4);
    for name in FORWARDED_HEADERS {
        if let Some(value) = head.headers.get(&name) {
            headers.insert(name, value.clone());
        }
    }
    headers.insert(header::HOST, HeaderValue::from_static("target"));
    if let Some(name) = params
        .granted
        .and_then(|granted| HeaderValue::from_str(&granted.team.name).ok())
    {
        headers.insert(attempt::TEAM, name);
    }
    if let Some(id) = params.id.as_deref().and_then(|id| HeaderValue::from_str(id).ok()) {
        headers.insert(filter::request_id::HEADER, id);
    }
    let deadline = context.balancer.now() + params.time_limit;
    let entries = balancer::entries(&context.handle.view.borrow());
    Ok(Prepared {
        key: params.granted.map(|granted| granted.hash),
        request: balancer::Request {
            flow: admission::Flow {
                service: params.service,
                owner: params.owner,
            },
            weight: params.weight,
            limit: allotment::limit(params.limit, context.settings.vm, &entries),
            deadline,
            bytes: params.body.bytes.len() as u32 + 512,
        },
        message: attempt::Message {
            path,
            headers,
            body: params.body.bytes,
            deadline: context.balancer.instant(deadline),
        },
        memory: params.body.memory,
    })
}

/// Sends a request to targets until one responds or no further attempt is allowed.
pub(crate) async fn run(
    context: &Arc<context::Context>,
    prepared: Prepared,
    repeatable: bool,
) -> Result<TargetResponse, error::Error> {
    context.balancer.record_request(prepared.request.flow);
    let mut admitted = Some(context.balancer.admit(prepared.request).await?);
    let mut tried = Vec::new();
    let mut history = request_attempt::Execution::NotRun;
    let mut attempts = 0;
    loop {
        let (permit, pick) = match admitted.take() {
            Some(admitted) => admitted,
            None => context
                .balancer
                .admit(prepared.request)
                .await
                .map_err(|error| error.with_execution(history))?,
        };
        if let Some(hash) = &prepared.key {
            filter::key::check(&context.handle, hash).map_err(|error| error.with_execution(history))?;
        }
        attempts += 1;
        tried.push(pick.target);
        let (failure, permit) =
            match attempt_with_hedge(context, &prepared, pick, repeatable && attempts == 1).await {
                Ok((pick, started)) => {
                    match receive_response(context, &prepared, permit, pick, started).await {
                        Ok(response) => return Ok(response),
                        Err(failure) => (failure, None),
                    }
                }
                Err(failure) => (failure, Some(permit)),
            };
        let decision = context.balancer.decide(&retry::Attempt {
            flow: prepared.request.flow,
            repeatable,
            progress: failure.progress,
            history,
            attempts,
            response_started: false,
            deadline: prepared.request.deadline,
        });
        match decision {
            retry::Decision::Retry(known) => {
                history = known;
                let next = permit.and_then(|permit| {
                    let pick = context.balancer.pick(&prepared.request, &tried)?;
                    Some((permit, pick))
                });
                admitted = next;
                metrics::counter!("bronzespoke_retries_total").increment(1);
            }
            retry::Decision::GiveUp(known) => {
                if let Some(mut permit) = permit
                    && failure.overload
                {
                    permit.set_outcome(admission::Outcome::Overloaded);
                }
                return Err(final_error(&failure, known));
            }
        }
    }
}

type AttemptResult = (balancer::Pick, Result<attempt::Started, attempt::Failure>);

async fn run_attempt(
    context: Arc<context::Context>,
    message: attempt::Message,
    pick: balancer::Pick,
) -> AttemptResult {
    let number = context.next_attempt();
    let result = attempt::run(&context.pool, &pick, &message, number).await;
    (pick, result)
}

/// Makes one attempt, and hedges it if `hedge` is set and the response is late.
async fn attempt_with_hedge(
    context: &Arc<context::Context>,
    prepared: &Prepared,
    pick: balancer::Pick,
    hedge: bool,
) -> Result<(balancer::Pick, attempt::Started), attempt::Failure> {
    let first_target = pick.target;
    let lost_hedge = pick.lost_hedge();
    let mut first = Box::pin(run_attempt(Arc::clone(context), prepared.message.clone(), pick));
    let delay = context
        .balancer
        .hedge_delay(prepared.request.flow.service)
        .filter(|_| hedge);
    let Some(delay) = delay.filter(|delay| *delay < attempt::remaining(prepared.message.deadline)) else {
        return report_failure(first.await);
    };
    tokio::select! {
        biased;
        result = &mut first => return report_failure(result),
        () = tokio::time::sleep(delay) => {}
    }
    let Some(pick) = context.balancer.pick_hedge(&prepared.request, &[first_target]) else {
        return report_failure(first.await);
    };
    metrics::counter!("bronzespoke_hedges_total").increment(1);
    let mut second = Box::pin(run_attempt(Arc::clone(context), prepared.message.clone(), pick));
    // Dropping the attempt that did not complete first closes its connection, and its guard reports its outcome.
    let (result, other, hedge_won) = tokio::select! {
        biased;
        result = &mut first => (result, second, false),
        result = &mut second => (result, first, true),
    };
    let failure = match report_failure(result) {
        Ok(won) => {
            lost_hedge.store(hedge_won, Ordering::Release);
            return Ok(won);
        }
        Err(failure) => failure,
    };
    report_failure(other.await).map_err(|last| attempt::Failure {
        progress: last.progress.max(failure.progress),
        ..last
    })
}

/// Reports a failed attempt to the balancer.
fn report_failure(
    (pick, result): AttemptResult,
) -> Result<(balancer::Pick, attempt::Started), attempt::Failure> {
    match result {
        Ok(started) => Ok((pick, started)),
        Err(mut failure) => {
            if failure.outcome == request_attempt::Outcome::TimedOut && !pick.is_late() {
                failure.overload = false;
            }
            pick.finish(failure.outcome, 0);
            Err(failure)
        }
    }
}

/// Buffers a short response; a long one is left to be streamed.
async fn receive_response(
    context: &Arc<context::Context>,
    prepared: &Prepared,
    permit: balancer::Permit,
    pick: balancer::Pick,
    started: attempt::Started,
) -> Result<TargetResponse, attempt::Failure> {
    let (mut head, incoming) = started.response.into_parts();
    for name in STRIPPED_HEADERS {
        head.headers.remove(name);
    }
    let exchange = body::Exchange {
        permit,
        pick,
        connection: started.connection,
        pool: Arc::clone(&context.pool),
        load: started.load,
        server_error: head.status.is_server_error(),
    };
    let length = incoming.size_hint().exact();
    let mut stream = body::Stream::new(incoming, prepared.message.deadline, exchange);
    let Some(length) = length.filter(|length| *length <= MAX_BUFFERED_BYTES) else {
        let body = ResponseBody::Stream(Box::new(stream));
        return Ok(TargetResponse { head, body });
    };
    let mut buffer = BytesMut::with_capacity(length as usize);
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(truncated)?;
        if buffer.is_empty() && chunk.len() as u64 == length {
            let body = ResponseBody::Buffered(chunk);
            return Ok(TargetResponse { head, body });
        }
        buffer.extend_from_slice(&chunk);
    }
    let body = ResponseBody::Buffered(buffer.freeze());
    Ok(TargetResponse { head, body })
}

const fn truncated(error: body::Error) -> attempt::Failure {
    let (outcome, message) = match error {
        body::Error::Target => (
            request_attempt::Outcome::Failed,
            "the target broke off its answer",
        ),
        body::Error::Deadline => (
            request_attempt::Outcome::TimedOut,
            "the deadline passed during the answer",
        ),
    };
    attempt::Failure::new(request_attempt::Progress::ResponseStarted, outcome, message)
}

/// Converts the response of a target to the response to the caller.
pub(crate) fn respond(response: TargetResponse) -> Response<body::Body> {
    let body = match response.body {
        ResponseBody::Buffered(bytes) => body::Body::full(bytes),
        ResponseBody::Stream(stream) => body::Body::stream(stream),
    };
    Response::from_parts(response.head, body)
}

/// Returns the error for a request whose last attempt failed.
fn final_error(failure: &attempt::Failure, known: request_attempt::Execution) -> error::Error {
    let timed_out = failure.outcome == request_attempt::Outcome::TimedOut;
    let (status, code) = match (known, timed_out) {
        (request_attempt::Execution::NotRun, _) => (StatusCode::SERVICE_UNAVAILABLE, "not_run"),
        (_, true) => (StatusCode::GATEWAY_TIMEOUT, "deadline"),
        (_, false) => (StatusCode::BAD_GATEWAY, "target_failed"),
    };
    let error = error::Error::not_run(status, code, failure.message).with_execution(known);
    if known == request_attempt::Execution::NotRun {
        return error.with_retry_after(Duration::from_secs(1));
    }
    error
}

/// Returns the error for a service or queue that is not in the view.
pub(crate) fn unknown_name(field: &'static str, name: &str) -> error::Error {
    let shown: String = name.chars().take(64).collect();
    let message = format!("`{shown}` is not a {field}; names that operators configured are allowed");
    error::Error::not_run(StatusCode::NOT_FOUND, "unknown_name", message).with_field(field)
}
