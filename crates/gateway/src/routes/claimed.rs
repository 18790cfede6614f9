//! Requests that must not be repeated: the id is claimed before the first byte goes to a target, and the work goes
//! on when the caller goes away, so that a resend finds its answer.

use std::sync::Arc;

use bronzespoke_model::id;
use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Response, StatusCode, header, response};
use tokio::sync::{mpsc, oneshot};

use crate::{body, calls, control, error, routes::request, server::context};

/// Pieces of an answer that may wait for a slow caller.
const PIECES: usize = 4;

type Answer = Result<Response<body::Body>, error::Error>;

/// Serves a claimed request in its own task.
pub(crate) async fn serve(
    context: &Arc<context::Context>,
    team: id::TeamId,
    request: String,
    work: request::Work,
) -> Answer {
    let (sender, receiver) = oneshot::channel();
    let claim = control::Claim { team, request };
    let task = run(Arc::clone(context), claim, work, sender);
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
    work: request::Work,
    sender: oneshot::Sender<Answer>,
) {
    let deadline = work.message.deadline;
    let number = match calls::claim(&context.handle, deadline, &claim).await {
        Ok(control::Claimed::Granted(number)) => number,
        Ok(other) => return reply(sender, first_answer(other)),
        Err(fault) => return reply(sender, Err(fault)),
    };
    let complete = |completion| calls::complete(&context.handle, claim, number, completion);
    match request::run(&context, work, false).await {
        Err(fault) => {
            let completion = match fault.run {
                error::Execution::NotRun => control::Completion::NotRun,
                error::Execution::Unknown | error::Execution::Run => control::Completion::Unknown,
            };
            complete(completion).await;
            reply(sender, Err(fault));
        }
        Ok(ready) => {
            let completion = pass_on(ready.head, ready.body, sender).await;
            match completion {
                Passed::Whole(head, bytes, sender) => {
                    // Stored before the caller sees it, so that a resend never finds less than the caller has.
                    complete(control::Completion::Answered(stored(&head, &bytes))).await;
                    reply(sender, Ok(Response::from_parts(head, body::Body::full(bytes))));
                }
                Passed::Unstored => complete(control::Completion::Unknown).await,
                Passed::Cut(sender) => {
                    complete(control::Completion::Unknown).await;
                    let message = "the target broke off its answer";
                    let fault = error::Error::unknown(StatusCode::BAD_GATEWAY, "target_failed", message);
                    reply(sender, Err(fault));
                }
            }
        }
    }
}

enum Passed {
    /// Short enough to be stored; not yet sent.
    Whole(response::Parts, Bytes, oneshot::Sender<Answer>),
    /// Too long to be stored; sent as far as it came.
    Unstored,
    /// Broken off before anything was sent.
    Cut(oneshot::Sender<Answer>),
}

async fn pass_on(head: response::Parts, body: request::ReadyBody, sender: oneshot::Sender<Answer>) -> Passed {
    let mut stream = match body {
        request::ReadyBody::Whole(bytes) => return Passed::Whole(head, bytes, sender),
        request::ReadyBody::Stream(stream) => stream,
    };
    let mut start = BytesMut::new();
    while start.len() as u64 <= request::WHOLE_BYTES {
        match stream.next().await {
            None => return Passed::Whole(head, start.freeze(), sender),
            Some(Ok(piece)) => start.extend_from_slice(&piece),
            Some(Err(_)) => return Passed::Cut(sender),
        }
    }
    let (pieces, receiver) = mpsc::channel(PIECES);
    let body = body::Body::channel(receiver);
    reply(sender, Ok(Response::from_parts(head, body)));
    let mut next = Some(Ok(start.freeze()));
    while let Some(piece) = next {
        // A caller that is gone does not end the work: the rest is read and dropped.
        drop(pieces.send(piece).await);
        next = stream.next().await;
    }
    Passed::Unstored
}

fn stored(head: &response::Parts, body: &Bytes) -> control::StoredResponse {
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or("");
    control::StoredResponse {
        status: head.status.as_u16(),
        content_type: content_type.to_owned(),
        body: body.clone(),
    }
}

/// Answers a request whose id was claimed before.
fn first_answer(claimed: control::Claimed) -> Answer {
    match claimed {
        control::Claimed::Answered(first) => {
            let mut response = Response::new(body::Body::full(first.body));
            *response.status_mut() = StatusCode::from_u16(first.status).unwrap_or(StatusCode::OK);
            if let Ok(value) = HeaderValue::try_from(first.content_type)
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

fn reply(sender: oneshot::Sender<Answer>, answer: Answer) {
    // The caller may be gone; the answer is stored for a resend.
    drop(sender.send(answer));
}
