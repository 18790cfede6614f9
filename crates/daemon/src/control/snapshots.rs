//! Encodes and decodes snapshots on other threads, because that would block the control thread for too long.

use bronzespoke_control::error;
use bytes::Bytes;

use crate::control::{Inbox, Message};

/// Result of encoding or decoding a snapshot.
#[derive(Debug)]
pub enum Done<S> {
    /// Encoded state after an entry.
    Encoded {
        /// Index of the last entry that the state includes.
        index: u64,
        /// Encoded state.
        data: Bytes,
    },
    /// Decoded and validated state of a received snapshot.
    Decoded(Result<Box<S>, error::Error>),
}

/// Runs `work` on another thread and sends the resulting message to the inbox.
pub fn offload(inbox: &Inbox, work: impl FnOnce() -> Message + Send + 'static) {
    let inbox = inbox.clone();
    // The handle is not needed: the result arrives as a message.
    drop(tokio::task::spawn_blocking(move || inbox.send(work())));
}

/// Drops a large state on another thread, so that the control thread is not blocked.
pub fn discard<S: Send + 'static>(state: S) {
    drop(tokio::task::spawn_blocking(move || drop(state)));
}
