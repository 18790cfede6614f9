//! Receives the body of a request within the limits.

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::fleet::intake::{Ticket, ledger::Reason};

/// First capacity of a body whose size is not known.
const FIRST_CAPACITY: usize = 4 * 1024;

/// Memory of a decoded value besides its text.
const VALUE_BYTES: usize = 32;
/// Share of the budget that the decoded values of one request count for at most.
const DECODED_SHARE: u64 = 3;

/// Why there is no body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// A limit is exceeded.
    Refused(Reason),
    /// The connection has ended, or the chunks are malformed.
    Malformed,
}

/// Accounts for what a body becomes when it is decoded: an empty text of three bytes takes several times as much.
fn check_values(ticket: &Ticket, body: &[u8], held: usize) -> Result<(), Error> {
    let values = body
        .iter()
        .filter(|byte| matches!(byte, b',' | b'{' | b'['))
        .count();
    let limits = ticket.limits();
    if values > limits.max_values {
        return Err(Error::Refused(Reason::Values));
    }
    // A single request within the limits is served in any budget.
    let share = usize::try_from(limits.budget / DECODED_SHARE).unwrap_or(usize::MAX);
    if ticket.hold(held + (values * VALUE_BYTES).min(share)) {
        Ok(())
    } else {
        Err(Error::Refused(Reason::Budget))
    }
}

/// Receives a body of at most `limit` bytes; `head` is what the connection holds besides. The bytes are copied out of
/// the buffers of the connection: a frame of one byte would keep the buffer that it was received in.
pub async fn receive(ticket: &Ticket, mut body: Incoming, head: usize, limit: usize) -> Result<Bytes, Error> {
    let declared = body
        .size_hint()
        .exact()
        .map(|size| usize::try_from(size).unwrap_or(usize::MAX));
    if declared.is_some_and(|size| size > limit) {
        return Err(Error::Refused(Reason::BodyTooLarge));
    }
    let mut received: Vec<u8> = Vec::new();
    let mut frames = 0;
    loop {
        let frame = tokio::select! {
            biased;
            reason = ticket.refused() => return Err(Error::Refused(reason)),
            frame = body.frame() => frame,
        };
        let data = match frame {
            None => {
                check_values(ticket, &received, head + received.capacity())?;
                return Ok(Bytes::from(received));
            }
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => return Err(Error::Malformed),
        };
        frames += 1;
        if frames > ticket.limits().max_chunks {
            return Err(Error::Refused(Reason::Chunks));
        }
        let length = received.len() + data.len();
        if length > limit {
            return Err(Error::Refused(Reason::BodyTooLarge));
        }
        if length > received.capacity() {
            let capacity = length.max(received.capacity() * 2).max(FIRST_CAPACITY);
            let capacity = capacity.min(declared.unwrap_or(limit).max(length));
            if !ticket.hold(head + capacity) {
                return Err(Error::Refused(Reason::Budget));
            }
            received.reserve_exact(capacity - received.len());
        }
        ticket.advance(data.len());
        received.extend_from_slice(data.chunk());
    }
}
