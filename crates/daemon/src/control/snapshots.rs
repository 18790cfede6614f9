//! Work on snapshots that would hold up the control thread: encoding, and decoding with its checks.

use bronzespoke_control::error;
use bytes::Bytes;

use crate::control::{Inbox, Message};

/// What came of such work.
#[derive(Debug)]
pub enum Done<S> {
    /// The state after an index, encoded.
    Encoded {
        /// Last index that is part of the state.
        index: u64,
        /// Encoded state.
        data: Bytes,
    },
    /// A received state, checked.
    Decoded(Result<Box<S>, error::Error>),
}

/// Does work on another thread; its message comes through the inbox.
pub fn offload(inbox: &Inbox, work: impl FnOnce() -> Message + Send + 'static) {
    let inbox = inbox.clone();
    // The handle is not needed; the work ends with its message.
    drop(tokio::task::spawn_blocking(move || inbox.send(work())));
}

/// Drops a large state on another thread.
pub fn discard<S: Send + 'static>(state: S) {
    drop(tokio::task::spawn_blocking(move || drop(state)));
}
