//! Requests to services and open queues: from a received body to the answer of a target.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bronzespoke_model::{id, team};
use bronzespoke_request::{admission, allotment, attempt as state, retry};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header, request::Parts, response};
use hyper::body::{Body as _, Incoming};
use tokio::sync::OwnedSemaphorePermit;

use crate::{attempt, body, error, filter, gate, routes::claimed, server::context};

/// Answers up to this length are received whole before the caller sees them, so that a cut can be answered.
pub(crate) const WHOLE_BYTES: u64 = 64 * 1024;
/// Request headers that are passed on to targets.
const PASSED_ON: [HeaderName; 6] = [
    header::CONTENT_TYPE,
    header::CONTENT_ENCODING,
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    HeaderName::from_static("traceparent"),
    HeaderName::from_static("tracestate"),
];
/// Headers of an answer that belong to the connection to the target.
const NOT_PASSED_BACK: [HeaderName; 9] = [
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

/// A request that passed the filters.
pub(crate) struct Work {
    /// Checked again when the request has waited; open queues have none.
    pub key: Option<team::KeyHash>,
    pub ask: gate::Ask,
    pub message: attempt::Message,
    /// Counts the body's memory until the work is dropped.
    #[expect(dead_code, reason = "held for its drop")]
    pub memory: OwnedSemaphorePermit,
}

/// The head of an answer and its body.
pub(crate) struct Ready {
    pub head: response::Parts,
    pub body: ReadyBody,
}

/// Body of an answer.
pub(crate) enum ReadyBody {
    Whole(Bytes),
    Stream(Box<body::Stream>),
}

/// A request as any version of the interface states it.
pub(crate) struct Order<'a> {
    pub granted: Option<&'a filter::key::Granted>,
    pub owner: admission::Owner,
    pub service: id::ServiceId,
    pub service_name: &'a str,
    pub weight: u32,
    /// Requests that the owner may have in flight fleet-wide.
    pub limit: u32,
    pub time: Duration,
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
    let time = filter::deadline::parse(&head.headers, view.config.request_deadline_ms)?;
    let id = filter::identity::parse(&head.headers)?;
    let limit = view.config.request_body_bytes as usize;
    let body = filter::body::receive(&head.headers, body, limit, &context.memory, &context.settings).await?;
    // The key is checked again, because the body may have taken longer than a withdrawal needs.
    let granted = filter::key::team(&context.handle, &head.headers)?;
    let team = &granted.team;
    let order = Order {
        granted: Some(&granted),
        owner: admission::Owner::Team(team.id),
        service: service.id,
        service_name: name,
        weight: team.quota.weight,
        limit: team.quota.requests,
        time,
        id,
        body,
    };
    serve(context, head, order).await
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
    if head.headers.contains_key(&filter::identity::HEADER) {
        let message = "request ids belong to teams; an open queue takes requests without one";
        return Err(error::Error::field(filter::identity::HEADER.as_str(), message));
    }
    let service = view.services.values().find(|service| service.id == queue.service);
    let service = service.ok_or_else(|| unknown_name("queue", name))?;
    let time = filter::deadline::parse(&head.headers, view.config.request_deadline_ms)?;
    let limit = view.config.request_body_bytes as usize;
    let body = filter::body::receive(&head.headers, body, limit, &context.memory, &context.settings).await?;
    let order = Order {
        granted: None,
        owner: admission::Owner::Queue(queue.id),
        service: service.id,
        service_name: &service.name,
        weight: 1,
        limit: queue.requests,
        time,
        id: None,
        body,
    };
    serve(context, head, order).await
}

/// Runs an order and answers it.
pub(crate) async fn serve(
    context: &Arc<context::Context>,
    head: &Parts,
    order: Order<'_>,
) -> Result<Response<body::Body>, error::Error> {
    let id = order.id.clone();
    let team = order.granted.map(|granted| granted.team.id);
    let work = prepare(context, head, order)?;
    match (team, id) {
        (Some(team), Some(id)) => claimed::serve(context, team, id, work).await,
        _ => Ok(respond(run(context, work, true).await?)),
    }
}

fn prepare(context: &context::Context, head: &Parts, order: Order<'_>) -> Result<Work, error::Error> {
    let path = format!("/v2/services/{}/requests", order.service_name);
    let path = path
        .parse()
        .map_err(|_error| unknown_name("service", order.service_name))?;
    let mut headers = HeaderMap::with_capacity(PASSED_ON.len() + 4);
    for name in PASSED_ON {
        if let Some(value) = head.headers.get(&name) {
            headers.insert(name, value.clone());
        }
    }
    headers.insert(header::HOST, HeaderValue::from_static("target"));
    if let Some(name) = order
        .granted
        .and_then(|granted| HeaderValue::from_str(&granted.team.name).ok())
    {
        headers.insert(attempt::TEAM, name);
    }
    if let Some(id) = order.id.as_deref().and_then(|id| HeaderValue::from_str(id).ok()) {
        headers.insert(filter::identity::HEADER, id);
    }
    let deadline = context.gate.now() + order.time;
    let entries = gate::entries(&context.handle.view.borrow());
    Ok(Work {
        key: order.granted.map(|granted| granted.hash),
        ask: gate::Ask {
            flow: admission::Flow {
                service: order.service,
                owner: order.owner,
            },
            weight: order.weight,
            limit: allotment::limit(order.limit, context.settings.vm, &entries),
            deadline,
            bytes: order.body.bytes.len() as u32 + 512,
        },
        message: attempt::Message {
            path,
            headers,
            body: order.body.bytes,
            deadline: context.gate.instant(deadline),
        },
        memory: order.body.memory,
    })
}

/// Has targets run the work until one answers or nothing more may be tried.
pub(crate) async fn run(
    context: &Arc<context::Context>,
    work: Work,
    repeatable: bool,
) -> Result<Ready, error::Error> {
    context.gate.started(work.ask.flow);
    let mut admitted = Some(context.gate.admit(work.ask).await?);
    let mut tried = Vec::new();
    let mut history = state::Execution::NotRun;
    let mut attempts = 0;
    loop {
        let (permit, pick) = match admitted.take() {
            Some(admitted) => admitted,
            None => context
                .gate
                .admit(work.ask)
                .await
                .map_err(|fault| fault.with_run(history))?,
        };
        if let Some(hash) = &work.key {
            filter::key::check(&context.handle, hash).map_err(|fault| fault.with_run(history))?;
        }
        attempts += 1;
        tried.push(pick.target);
        let (failure, permit) = match tries(context, &work, pick, repeatable && attempts == 1).await {
            Ok((pick, got)) => match finish(context, &work, permit, pick, got).await {
                Ok(ready) => return Ok(ready),
                Err(failure) => (failure, None),
            },
            Err(failure) => (failure, Some(permit)),
        };
        let decision = context.gate.decide(&retry::Attempt {
            flow: work.ask.flow,
            repeatable,
            progress: failure.state,
            history,
            attempts,
            response_started: false,
            deadline: work.ask.deadline,
        });
        match decision {
            retry::Decision::Retry(known) => {
                history = known;
                let next = permit.and_then(|permit| {
                    let pick = context.gate.pick(&work.ask, &tried)?;
                    Some((permit, pick))
                });
                admitted = next;
                metrics::counter!("bronzespoke_retries_total").increment(1);
            }
            retry::Decision::GiveUp(known) => {
                if let Some(mut permit) = permit
                    && failure.overload
                {
                    permit.set(admission::Outcome::Overloaded);
                }
                return Err(stopped(&failure, known));
            }
        }
    }
}

type Tried = (gate::Pick, Result<attempt::Got, attempt::Failure>);

async fn one(context: Arc<context::Context>, message: attempt::Message, pick: gate::Pick) -> Tried {
    let number = context.next_attempt();
    let result = attempt::run(&context.pool, &pick, &message, number).await;
    (pick, result)
}

/// Makes one attempt, and a second copy when the first is late and `hedge` allows it.
async fn tries(
    context: &Arc<context::Context>,
    work: &Work,
    pick: gate::Pick,
    hedge: bool,
) -> Result<(gate::Pick, attempt::Got), attempt::Failure> {
    let first_target = pick.target;
    let overtaken = pick.overtaken();
    let mut first = Box::pin(one(Arc::clone(context), work.message.clone(), pick));
    let late = context.gate.hedge_delay(work.ask.flow.service).filter(|_| hedge);
    let Some(late) = late.filter(|late| *late < attempt::left(work.message.deadline)) else {
        return settle(first.await);
    };
    tokio::select! {
        biased;
        tried = &mut first => return settle(tried),
        () = tokio::time::sleep(late) => {}
    }
    let Some(pick) = context.gate.pick_hedge(&work.ask, &[first_target]) else {
        return settle(first.await);
    };
    metrics::counter!("bronzespoke_hedges_total").increment(1);
    let mut second = Box::pin(one(Arc::clone(context), work.message.clone(), pick));
    // The copy that is dropped closes its connection, and its guard reports it as abandoned.
    let (tried, other, second_won) = tokio::select! {
        biased;
        tried = &mut first => (tried, second, false),
        tried = &mut second => (tried, first, true),
    };
    let failure = match settle(tried) {
        Ok(won) => {
            overtaken.store(second_won, Ordering::Release);
            return Ok(won);
        }
        Err(failure) => failure,
    };
    settle(other.await).map_err(|last| attempt::Failure {
        state: last.state.max(failure.state),
        ..last
    })
}

/// Reports a failed attempt to routing.
fn settle((pick, result): Tried) -> Result<(gate::Pick, attempt::Got), attempt::Failure> {
    match result {
        Ok(got) => Ok((pick, got)),
        Err(mut failure) => {
            if failure.end == state::Outcome::TimedOut && !pick.is_late() {
                failure.overload = false;
            }
            pick.end(failure.end, 0);
            Err(failure)
        }
    }
}

/// Receives a short answer whole; a long one is passed on as it comes.
async fn finish(
    context: &Arc<context::Context>,
    work: &Work,
    permit: gate::Permit,
    pick: gate::Pick,
    got: attempt::Got,
) -> Result<Ready, attempt::Failure> {
    let (mut head, incoming) = got.response.into_parts();
    for name in NOT_PASSED_BACK {
        head.headers.remove(name);
    }
    let running = body::Running {
        permit,
        pick,
        lease: got.lease,
        pool: Arc::clone(&context.pool),
        load: got.load,
        server_error: head.status.is_server_error(),
    };
    let length = incoming.size_hint().exact();
    let mut stream = body::Stream::new(incoming, work.message.deadline, running);
    let Some(length) = length.filter(|length| *length <= WHOLE_BYTES) else {
        let body = ReadyBody::Stream(Box::new(stream));
        return Ok(Ready { head, body });
    };
    let mut whole = BytesMut::with_capacity(length as usize);
    while let Some(piece) = stream.next().await {
        let piece = piece.map_err(cut)?;
        if whole.is_empty() && piece.len() as u64 == length {
            let body = ReadyBody::Whole(piece);
            return Ok(Ready { head, body });
        }
        whole.extend_from_slice(&piece);
    }
    let body = ReadyBody::Whole(whole.freeze());
    Ok(Ready { head, body })
}

const fn cut(cut: body::Error) -> attempt::Failure {
    let (end, message) = match cut {
        body::Error::Target => (state::Outcome::Failed, "the target broke off its answer"),
        body::Error::Deadline => (state::Outcome::TimedOut, "the deadline passed during the answer"),
    };
    attempt::Failure::new(state::Progress::ResponseStarted, end, message)
}

/// Returns the answer for the caller.
pub(crate) fn respond(ready: Ready) -> Response<body::Body> {
    let body = match ready.body {
        ReadyBody::Whole(bytes) => body::Body::full(bytes),
        ReadyBody::Stream(stream) => body::Body::stream(stream),
    };
    Response::from_parts(ready.head, body)
}

fn stopped(failure: &attempt::Failure, known: state::Execution) -> error::Error {
    let timed_out = failure.end == state::Outcome::TimedOut;
    let (status, code) = match (known, timed_out) {
        (state::Execution::NotRun, _) => (StatusCode::SERVICE_UNAVAILABLE, "not_run"),
        (_, true) => (StatusCode::GATEWAY_TIMEOUT, "deadline"),
        (_, false) => (StatusCode::BAD_GATEWAY, "target_failed"),
    };
    let fault = error::Error::not_run(status, code, failure.message).with_run(known);
    if known == state::Execution::NotRun {
        return fault.with_retry_after(Duration::from_secs(1));
    }
    fault
}

/// Returns the fault for a service or queue that is not in the view.
pub(crate) fn unknown_name(field: &'static str, name: &str) -> error::Error {
    let shown: String = name.chars().take(64).collect();
    let message = format!("`{shown}` is not a {field}; names that operators configured are allowed");
    error::Error::not_run(StatusCode::NOT_FOUND, "unknown_name", message).with_field(field)
}
