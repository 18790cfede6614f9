//! Requests with an idempotency key, which must not run twice.
//!
//! The request id is claimed before the first byte is sent to a target. The request continues when its caller
//! disconnects, so that a resend gets its response.

use std::sync::Arc;

use bronzespoke_model::id;
use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Response, StatusCode, header, response};
use tokio::sync::{mpsc, oneshot};

use crate::{body, calls, control, error, routes::request, server::context};

/// Maximum number of response chunks buffered for a slow caller.
const BUFFERED_CHUNKS: usize = 4;

type HandlerResult = Result<Response<body::Body>, error::Error>;

/// Serves a request with an id in its own task.
pub(crate) async fn serve(
    context: &Arc<context::Context>,
    team: id::TeamId,
    request: String,
    prepared: request::Prepared,
) -> HandlerResult {
    let (sender, receiver) = oneshot::channel();
    let claim = control::Claim { team, request };
    let task = run(Arc::clone(context), claim, prepared, sender);
    context.tracker.spawn(task);
    receiver.await.unwrap_or_else(|_closed| {
        Err(error::Error::unknown(
            StatusCode::INTERNAL_SERVER_ERROR,
            "internal",
            "the request was lost",
        ))
    })
}

async fn run(
    context: Arc<context::Context>,
    claim: control::Claim,
    prepared: request::Prepared,
    sender: oneshot::Sender<HandlerResult>,
) {
    let deadline = prepared.message.deadline;
    let number = match calls::claim(&context.handle, deadline, &claim).await {
        Ok(control::Claimed::Granted(number)) => number,
        Ok(other) => return reply(sender, replay(other)),
        Err(error) => return reply(sender, Err(error)),
    };
    let complete = |completion| calls::complete(&context.handle, claim, number, completion);
    match request::run(&context, prepared, false).await {
        Err(error) => {
            let completion = match error.run {
                error::Execution::NotRun => control::Completion::NotRun,
                error::Execution::Unknown | error::Execution::Run => control::Completion::Unknown,
            };
            complete(completion).await;
            reply(sender, Err(error));
        }
        Ok(response) => {
            let relayed = relay(response.head, response.body, sender).await;
            match relayed {
                Relayed::Buffered(head, bytes, sender) => {
                    // Stored before it is sent, so that a resend after the caller got the response always finds it.
                    complete(control::Completion::Answered(to_stored(&head, &bytes))).await;
                    reply(sender, Ok(Response::from_parts(head, body::Body::full(bytes))));
                }
                Relayed::Streamed => complete(control::Completion::Unknown).await,
                Relayed::Truncated(sender) => {
                    complete(control::Completion::Unknown).await;
                    let message = "the target broke off its answer";
                    let error = error::Error::unknown(StatusCode::BAD_GATEWAY, "target_failed", message);
                    reply(sender, Err(error));
                }
            }
        }
    }
}

enum Relayed {
    /// The response is complete and short enough to be stored; it is not sent yet.
    Buffered(response::Parts, Bytes, oneshot::Sender<HandlerResult>),
    /// The response is too long to be stored; what was received of it was sent.
    Streamed,
    /// The response was truncated before anything was sent.
    Truncated(oneshot::Sender<HandlerResult>),
}

async fn relay(
    head: response::Parts,
    body: request::ResponseBody,
    sender: oneshot::Sender<HandlerResult>,
) -> Relayed {
    let mut stream = match body {
        request::ResponseBody::Buffered(bytes) => return Relayed::Buffered(head, bytes, sender),
        request::ResponseBody::Stream(stream) => stream,
    };
    let mut start = BytesMut::new();
    while start.len() as u64 <= request::MAX_BUFFERED_BYTES {
        match stream.next().await {
            None => return Relayed::Buffered(head, start.freeze(), sender),
            Some(Ok(chunk)) => start.extend_from_slice(&chunk),
            Some(Err(_)) => return Relayed::Truncated(sender),
        }
    }
    let (chunks, receiver) = mpsc::channel(BUFFERED_CHUNKS);
    let body = body::Body::channel(receiver);
    reply(sender, Ok(Response::from_parts(head, body)));
    let mut next = Some(Ok(start.freeze()));
    while let Some(chunk) = next {
        // If the caller has disconnected, the rest is still read and dropped, so that the request runs to its end.
        drop(chunks.send(chunk).await);
        next = stream.next().await;
    }
    Relayed::Streamed
}

fn to_stored(head: &response::Parts, body: &Bytes) -> control::StoredResponse {
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or("");
    control::StoredResponse {
        status: head.status.as_u16(),
        content_type: content_type.to_owned(),
        body: body.clone(),
    }
}

/// Returns the response to a request whose id was claimed earlier.
fn replay(claimed: control::Claimed) -> HandlerResult {
    match claimed {
        control::Claimed::Answered(stored) => {
            let mut response = Response::new(body::Body::full(stored.body));
            *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
            if let Ok(value) = HeaderValue::try_from(stored.content_type)
                && !value.is_empty()
            {
                response.headers_mut().insert(header::CONTENT_TYPE, value);
            }
            Ok(response)
        }
        control::Claimed::InProgress => {
            let message = "a request with this id is in progress";
            Err(error::Error::unknown(
                StatusCode::CONFLICT,
                "in progress",
                message,
            ))
        }
        control::Claimed::NotRun(message) => {
            Err(
                error::Error::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_run", message)
                    .with_retry_after(std::time::Duration::from_secs(1)),
            )
        }
        control::Claimed::Granted(_) | control::Claimed::Unknown => {
            let message = "a request with this id may have run and its answer is not known";
            Err(error::Error::unknown(StatusCode::CONFLICT, "unknown", message))
        }
    }
}

fn reply(sender: oneshot::Sender<HandlerResult>, result: HandlerResult) {
    // If the caller has disconnected, a resend gets the stored response.
    drop(sender.send(result));
}
