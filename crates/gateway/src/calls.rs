//! Calls to control with a bound on waiting.

use std::time::Duration;

use http::StatusCode;
use tokio::sync::{mpsc, oneshot};

use crate::{control, error};

/// Longest wait until the end of a claimed request is recorded; after it, the caller gets its answer all the same.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a call and waits for its answer.
pub(crate) async fn ask<T>(
    handle: &control::Handle,
    timeout: Duration,
    path: &str,
    call: impl FnOnce(control::Reply<T>) -> control::Call,
) -> Result<T, error::Error> {
    let (sender, receiver) = oneshot::channel();
    send(handle, call(sender))?;
    match tokio::time::timeout(timeout, receiver).await {
        Ok(Ok(Ok(value))) => Ok(value),
        Ok(Ok(Err(refusal))) => Err(error::Error::refused(refusal, path)),
        Ok(Err(_)) => Err(no_answer("control ended the call without an answer")),
        Err(_) => Err(no_answer("control did not answer in time")),
    }
}

/// Records a request id; a grant that comes too late is given back.
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

/// Records how a claimed request ended, and waits until it is recorded; waits for room as well, because a lost completion leaves the id in progress.
pub(crate) async fn complete(
    handle: &control::Handle,
    claim: control::Claim,
    number: u64,
    completion: control::Completion,
) {
    let (sender, receiver) = oneshot::channel();
    let call = control::Call::Complete(claim, number, completion, sender);
    if handle.calls.send(call).await.is_err() {
        log::warn!("gateway: control is gone, the end of a claimed request was not recorded");
        return;
    }
    // Only the end of the wait counts: control drops the sender.
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

fn no_answer(message: &str) -> error::Error {
    error::Error::unknown(StatusCode::GATEWAY_TIMEOUT, "unknown", message)
}
