//! One attempt: sends a request to a target on one connection and checks the head of the response.

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

use crate::{balancer, pool};

/// Number of the attempt. A target may echo it, so that the gateway detects a response to another request.
pub(crate) const ATTEMPT: HeaderName = HeaderName::from_static("bronzespoke-attempt");
/// Set to `not run` by a target that did not run the request.
pub(crate) const RUN: HeaderName = HeaderName::from_static("bronzespoke-run");
/// Number of the target's requests in flight, without the one it responds to.
pub(crate) const LOAD: HeaderName = HeaderName::from_static("bronzespoke-load");
/// Time remaining until the deadline of the request, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("bronzespoke-deadline-ms");
/// Name of the team that sent the request.
pub(crate) const TEAM: HeaderName = HeaderName::from_static("bronzespoke-team");
/// Maximum number of pooled connections that one attempt tries and finds closed by the target.
const MAX_STALE_CONNECTIONS: u32 = 8;

/// A request in the form that is sent to targets.
#[derive(Debug, Clone)]
pub(crate) struct Message {
    pub path: http::uri::PathAndQuery,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub deadline: tokio::time::Instant,
}

/// A response whose head was received, and the connection that carries its body.
pub(crate) struct Started {
    pub response: Response<Incoming>,
    pub connection: pool::Connection,
    pub load: Option<u32>,
}

/// An attempt that failed before a usable response started.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Failure {
    pub progress: attempt::Progress,
    pub outcome: attempt::Outcome,
    pub message: &'static str,
    /// Whether the failure indicates that the service is overloaded.
    pub overload: bool,
}

impl Failure {
    pub(crate) const fn new(
        progress: attempt::Progress,
        outcome: attempt::Outcome,
        message: &'static str,
    ) -> Self {
        Self {
            progress,
            outcome,
            message,
            overload: matches!(
                outcome,
                attempt::Outcome::TimedOut | attempt::Outcome::Busy { .. }
            ),
        }
    }
}

/// Sends `message` to the picked target and waits for the head of the response.
pub(crate) async fn run(
    pool: &Arc<pool::Pool>,
    pick: &balancer::Pick,
    message: &Message,
    number: u64,
) -> Result<Started, Failure> {
    // Shared with `exchange`, so that it is known after a timeout whether the target may have read bytes.
    let sent = AtomicBool::new(false);
    let exchange = exchange(pool, pick, message, number, &sent);
    match tokio::time::timeout_at(message.deadline, exchange).await {
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
    pick: &balancer::Pick,
    message: &Message,
    number: u64,
    sent: &AtomicBool,
) -> Result<Started, Failure> {
    for _ in 0..MAX_STALE_CONNECTIONS {
        sent.store(false, Ordering::Relaxed);
        let mut connection = pool
            .acquire(pick.target, pick.address, pick.connections)
            .await
            .map_err(connect_failure)?;
        sent.store(true, Ordering::Relaxed);
        match connection
            .sender
            .try_send_request(build_request(message, number))
            .await
        {
            Ok(response) => return check_response(response, connection, number),
            // hyper returned the complete request, so no byte of it was written and the target cannot have read any.
            Err(error) if error.message().is_some() => {
                if !connection.reused {
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

fn check_response(
    response: Response<Incoming>,
    connection: pool::Connection,
    number: u64,
) -> Result<Started, Failure> {
    let invalid = |message| Failure::new(attempt::Progress::Sent, attempt::Outcome::Failed, message);
    let headers = response.headers();
    if let Some(echo) = headers.get(&ATTEMPT)
        && echo.to_str().ok().and_then(|text| text.parse().ok()) != Some(number)
    {
        return Err(invalid("the target answered another request"));
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
    if !has_framing(&response) {
        return Err(Failure::new(
            attempt::Progress::ResponseStarted,
            attempt::Outcome::Failed,
            "the target's answer has neither a length nor chunks, so a cut could not be noticed",
        ));
    }
    Ok(Started {
        response,
        connection,
        load,
    })
}

/// Returns whether a complete response can be distinguished from one truncated by a closed connection.
fn has_framing(response: &Response<Incoming>) -> bool {
    let status = response.status();
    let headers = response.headers();
    status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

fn build_request(message: &Message, number: u64) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(message.body.clone()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from(message.path.clone());
    let remaining = message
        .deadline
        .saturating_duration_since(tokio::time::Instant::now());
    let headers = request.headers_mut();
    headers.clone_from(&message.headers);
    headers.insert(ATTEMPT, HeaderValue::from(number));
    headers.insert(DEADLINE, HeaderValue::from(remaining.as_millis() as u64));
    request
}

const fn not_sent(message: &'static str) -> Failure {
    Failure::new(attempt::Progress::NotSent, attempt::Outcome::Failed, message)
}

fn connect_failure(error: pool::Error) -> Failure {
    match error {
        pool::Error::Exhausted => Failure::new(
            attempt::Progress::NotSent,
            attempt::Outcome::Abandoned,
            "this VM's part of the target's connections is in use",
        ),
        pool::Error::ConnectFailed => not_sent("the target did not accept a connection"),
    }
}

/// Returns the time remaining until `deadline`.
pub(crate) fn remaining(deadline: tokio::time::Instant) -> Duration {
    deadline.saturating_duration_since(tokio::time::Instant::now())
}
