//! Request bodies, received within limits of size, time and memory.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::{error, settings};

/// Bodies up to this size may use the part of the memory that is reserved for them.
const SMALL_BYTES: usize = 16 * 1024;
/// Share of the memory that is reserved for small bodies: large ones that stop just short of their end hold theirs for
/// up to the time limit of a body.
const SMALL_SHARE: usize = 8;

/// A received body, which holds its memory permit until it is dropped.
#[derive(Debug)]
pub(crate) struct Received {
    pub bytes: Bytes,
    pub memory: OwnedSemaphorePermit,
}

/// Receives a body of at most `limit` bytes.
pub(crate) async fn receive(
    headers: &HeaderMap,
    body: Incoming,
    limit: usize,
    memory: &Arc<Semaphore>,
    settings: &settings::Settings,
) -> Result<Received, error::Error> {
    let length = content_length(headers)?;
    if let Some(length) = length.filter(|length| *length > limit as u64) {
        return Err(too_large(&format!("{length} bytes"), limit));
    }
    let reserved = length.map_or(limit, |length| length as usize);
    let kept = if reserved > SMALL_BYTES {
        settings.body_memory_bytes / SMALL_SHARE
    } else {
        0
    };
    let has_room = memory.available_permits() >= reserved.saturating_add(kept);
    let permit = has_room.then(|| Arc::clone(memory).try_acquire_many_owned(reserved as u32));
    let Some(Ok(permit)) = permit else {
        return Err(error::Error::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "memory",
            "the memory for request bodies is in use",
        )
        .with_retry_after(Duration::from_secs(1)));
    };
    let read = read(body, limit, settings.stall_timeout);
    let bytes = tokio::time::timeout(settings.body_timeout, read)
        .await
        .unwrap_or_else(|_elapsed| {
            Err(slow_body(
                "the body did not arrive in time",
                settings.body_timeout,
            ))
        })?;
    Ok(Received {
        bytes,
        memory: permit,
    })
}

async fn read(mut body: Incoming, limit: usize, stall: Duration) -> Result<Bytes, error::Error> {
    let mut received = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(stall, body.frame())
            .await
            .map_err(|_elapsed| slow_body("the body paused for too long", stall))?;
        let Some(frame) = frame else {
            return Ok(received.freeze());
        };
        let frame =
            frame.map_err(|error| error::Error::field("body", format!("the body is broken: {error}")))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if received.len() + data.len() > limit {
            return Err(too_large(&format!("more than {limit} bytes"), limit));
        }
        received.extend_from_slice(&data);
    }
}

fn content_length(headers: &HeaderMap) -> Result<Option<u64>, error::Error> {
    let Some(value) = headers.get(header::CONTENT_LENGTH) else {
        return Ok(None);
    };
    let shown = String::from_utf8_lossy(value.as_bytes());
    shown.parse().map(Some).map_err(|_error| {
        error::Error::field(
            "content-length",
            format!("`{shown}` is not a length; whole bytes are allowed"),
        )
    })
}

fn too_large(length: &str, limit: usize) -> error::Error {
    let message = format!("the body has {length}, at most {limit} are allowed");
    error::Error::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message).with_field("body")
}

fn slow_body(message: &str, allowed: Duration) -> error::Error {
    let message = format!("{message}; {} ms are allowed", allowed.as_millis());
    error::Error::not_run(StatusCode::REQUEST_TIMEOUT, "slow_body", message).with_field("body")
}
