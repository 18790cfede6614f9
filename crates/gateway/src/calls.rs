//! Calls to control, with timeouts.

use std::time::Duration;

use http::StatusCode;
use tokio::sync::{mpsc, oneshot};

use crate::{control, error};

/// Maximum time to wait until the completion of a claimed request is recorded. After it, the caller gets its response
/// anyway.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a call and waits for its reply.
pub(crate) async fn call<T>(
    handle: &control::Handle,
    timeout: Duration,
    path: &str,
    make_call: impl FnOnce(control::Reply<T>) -> control::Call,
) -> Result<T, error::Error> {
    let (sender, receiver) = oneshot::channel();
    send(handle, make_call(sender))?;
    match tokio::time::timeout(timeout, receiver).await {
        Ok(Ok(Ok(value))) => Ok(value),
        Ok(Ok(Err(refusal))) => Err(error::Error::refused(refusal, path)),
        Ok(Err(_)) => Err(no_reply("control ended the call without an answer")),
        Err(_) => Err(no_reply("control did not answer in time")),
    }
}

/// Claims a request id. A grant that arrives after the deadline is released again.
pub(crate) async fn claim(
    handle: &control::Handle,
    deadline: tokio::time::Instant,
    claim: &control::Claim,
) -> Result<control::Claimed, error::Error> {
    let (sender, mut receiver) = oneshot::channel();
    send(handle, control::Call::Claim(claim.clone(), sender))?;
    match tokio::time::timeout_at(deadline, &mut receiver).await {
        Ok(Ok(claimed)) => Ok(claimed),
        Ok(Err(_)) => Err(unavailable("the owner of the request id did not answer")),
        Err(_) => {
            let handle = handle.clone();
            let claim = claim.clone();
            tokio::spawn(async move {
                if let Ok(control::Claimed::Granted(number)) = receiver.await {
                    complete(&handle, claim, number, control::Completion::NotRun).await;
                }
            });
            Err(unavailable("the owner of the request id did not answer in time"))
        }
    }
}

/// Records the completion of a claimed request and waits until it is recorded.
///
/// Waits for space in the channel too, because a lost completion would leave the id in progress.
pub(crate) async fn complete(
    handle: &control::Handle,
    claim: control::Claim,
    number: u64,
    completion: control::Completion,
) {
    let (sender, receiver) = oneshot::channel();
    let call = control::Call::Complete(claim, number, completion, sender);
    if handle.calls.send(call).await.is_err() {
        log::warn!("gateway: control has stopped; the completion of a claimed request was not recorded");
        return;
    }
    // The result does not matter: control signals the end by dropping the sender.
    drop(tokio::time::timeout(RECORD_TIMEOUT, receiver).await);
}

fn send(handle: &control::Handle, call: control::Call) -> Result<(), error::Error> {
    handle.calls.try_send(call).map_err(|error| match error {
        mpsc::error::TrySendError::Full(_) => unavailable("too many calls wait for control"),
        mpsc::error::TrySendError::Closed(_) => unavailable("control has stopped"),
    })
}

fn unavailable(message: &str) -> error::Error {
    error::Error::not_run(StatusCode::SERVICE_UNAVAILABLE, "unavailable", message)
        .with_retry_after(Duration::from_secs(1))
}

fn no_reply(message: &str) -> error::Error {
    error::Error::unknown(StatusCode::GATEWAY_TIMEOUT, "unknown", message)
}
