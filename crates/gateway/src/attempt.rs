//! One attempt to have a target run a request: the request goes out on one connection and the head of the answer
//! is checked.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bronzespoke_request::attempt;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::{gate, pool};

/// Number of an attempt; a target that echoes it lets the gateway notice an answer to another request.
pub(crate) const ATTEMPT: HeaderName = HeaderName::from_static("bronzespoke-attempt");
/// Set by a target to `not run` when it did not run the request.
pub(crate) const RUN: HeaderName = HeaderName::from_static("bronzespoke-run");
/// Set by a target to its requests in flight, the answered one excluded.
pub(crate) const LOAD: HeaderName = HeaderName::from_static("bronzespoke-load");
/// Time that is left for the request, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("bronzespoke-deadline-ms");
/// Name of the team that sent the request.
pub(crate) const TEAM: HeaderName = HeaderName::from_static("bronzespoke-team");
/// Dead pooled connections that one attempt may meet.
const MAX_DEAD: u32 = 8;

/// A request as it goes to targets.
#[derive(Debug, Clone)]
pub(crate) struct Message {
    pub path: http::uri::PathAndQuery,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub deadline: tokio::time::Instant,
}

/// The head of an answer, and the connection that carries its body.
pub(crate) struct Got {
    pub response: Response<Incoming>,
    pub lease: pool::Lease,
    pub load: Option<u32>,
}

/// An attempt without an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Failure {
    pub state: attempt::Progress,
    pub end: attempt::Outcome,
    pub message: &'static str,
    /// Whether it is a sign that the service has too much to do.
    pub overload: bool,
}

impl Failure {
    pub(crate) const fn new(state: attempt::Progress, end: attempt::Outcome, message: &'static str) -> Self {
        Self {
            state,
            end,
            message,
            overload: matches!(end, attempt::Outcome::TimedOut | attempt::Outcome::Busy { .. }),
        }
    }
}

/// Sends `message` to the picked target and waits for the head of the answer.
pub(crate) async fn run(
    pool: &Arc<pool::Pool>,
    pick: &gate::Pick,
    message: &Message,
    number: u64,
) -> Result<Got, Failure> {
    // Shared with the work below, so that a passed deadline still tells whether bytes may have been read.
    let sent = AtomicBool::new(false);
    let work = exchange(pool, pick, message, number, &sent);
    match tokio::time::timeout_at(message.deadline, work).await {
        Ok(result) => result,
        Err(_) => Err(Failure::new(
            if sent.load(Ordering::Relaxed) {
                attempt::Progress::Sent
            } else {
                attempt::Progress::NotSent
            },
            attempt::Outcome::TimedOut,
            "the deadline passed before the target answered",
        )),
    }
}

async fn exchange(
    pool: &Arc<pool::Pool>,
    pick: &gate::Pick,
    message: &Message,
    number: u64,
    sent: &AtomicBool,
) -> Result<Got, Failure> {
    for _ in 0..MAX_DEAD {
        sent.store(false, Ordering::Relaxed);
        let mut lease = pool
            .lease(pick.target, pick.address, pick.connections)
            .await
            .map_err(no_connection)?;
        sent.store(true, Ordering::Relaxed);
        match lease.sender.try_send_request(request(message, number)).await {
            Ok(response) => return check(response, lease, number),
            // The request came back whole, so no byte of it was written and the target cannot have read any.
            Err(error) if error.message().is_some() => {
                if !lease.reused {
                    return Err(not_sent(
                        "the target closed the connection before the request was sent",
                    ));
                }
            }
            Err(_) => {
                return Err(Failure::new(
                    attempt::Progress::Sent,
                    attempt::Outcome::Failed,
                    "the target closed the connection without an answer",
                ));
            }
        }
    }
    Err(not_sent("every pooled connection to the target was closed"))
}

fn check(response: Response<Incoming>, lease: pool::Lease, number: u64) -> Result<Got, Failure> {
    let broken = |message| Failure::new(attempt::Progress::Sent, attempt::Outcome::Failed, message);
    let headers = response.headers();
    if let Some(echo) = headers.get(&ATTEMPT)
        && echo.to_str().ok().and_then(|text| text.parse().ok()) != Some(number)
    {
        return Err(broken("the target answered another request"));
    }
    let load = headers
        .get(&LOAD)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    if headers
        .get(&RUN)
        .is_some_and(|value| value.as_bytes() == b"not run")
    {
        return Err(Failure::new(
            attempt::Progress::NotSent,
            attempt::Outcome::Busy { load },
            "the target did not run the request",
        ));
    }
    if !has_end_mark(&response) {
        return Err(Failure::new(
            attempt::Progress::ResponseStarted,
            attempt::Outcome::Failed,
            "the target's answer has neither a length nor chunks, so a cut could not be noticed",
        ));
    }
    Ok(Got {
        response,
        lease,
        load,
    })
}

/// Tells whether the end of the answer can be told from a closed connection.
fn has_end_mark(response: &Response<Incoming>) -> bool {
    let status = response.status();
    let headers = response.headers();
    status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

fn request(message: &Message, number: u64) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(message.body.clone()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from(message.path.clone());
    let left = message
        .deadline
        .saturating_duration_since(tokio::time::Instant::now());
    let headers = request.headers_mut();
    headers.clone_from(&message.headers);
    headers.insert(ATTEMPT, HeaderValue::from(number));
    headers.insert(DEADLINE, HeaderValue::from(left.as_millis() as u64));
    request
}

const fn not_sent(message: &'static str) -> Failure {
    Failure::new(attempt::Progress::NotSent, attempt::Outcome::Failed, message)
}

fn no_connection(error: pool::Error) -> Failure {
    match error {
        pool::Error::Exhausted => Failure::new(
            attempt::Progress::NotSent,
            attempt::Outcome::Abandoned,
            "this VM's part of the target's connections is in use",
        ),
        pool::Error::Refused => not_sent("the target did not accept a connection"),
    }
}

/// Returns the time from now until `deadline`, for messages.
pub(crate) fn left(deadline: tokio::time::Instant) -> Duration {
    deadline.saturating_duration_since(tokio::time::Instant::now())
}
