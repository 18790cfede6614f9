//! The way into the control thread.
//!
//! The actor's mailbox has no bound of its own. Producers hold a permit for every message that waits, so that the
//! mailbox holds a bounded number of frames and calls and the sources slow down instead.

use std::sync::Arc;

use ractor::ActorRef;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::control::Message;

/// Frames and calls that may wait in the mailbox.
pub const CAPACITY: usize = 1024;

/// Room for one message; given back when the message was handled.
pub type Permit = OwnedSemaphorePermit;

/// Sends messages to the control thread.
#[derive(Debug, Clone)]
pub struct Inbox {
    actor: ActorRef<Message>,
    permits: Arc<Semaphore>,
}

impl Inbox {
    /// Returns the inbox of an actor.
    pub fn new(actor: ActorRef<Message>) -> Self {
        Self {
            actor,
            permits: Arc::new(Semaphore::new(CAPACITY)),
        }
    }

    /// Waits for room for one message; `None` when the control thread has stopped.
    pub async fn reserve(&self) -> Option<Permit> {
        Arc::clone(&self.permits).acquire_owned().await.ok()
    }

    /// Sends a message; it is lost when the control thread has stopped.
    pub fn send(&self, message: Message) {
        if self.actor.send_message(message).is_err() {
            log::debug!("control: A message came after the stop.");
        }
    }

    /// Sends a tick after a delay.
    pub fn tick_after(&self, delay: std::time::Duration) {
        // The handle of the timer task is not needed; the timer ends by itself.
        drop(self.actor.send_after(delay, || Message::Tick));
    }
}
