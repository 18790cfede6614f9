//! Bounded inbox of the control thread.
//!
//! The mailbox of the actor is unbounded. Producers therefore acquire a permit for every frame or call, which bounds
//! the number of waiting messages and applies back-pressure to their sources.

use std::sync::Arc;

use ractor::ActorRef;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::control::Message;

/// Maximum number of frames and calls that wait in the mailbox.
pub const CAPACITY: usize = 1024;

/// Permit for one message in the mailbox; released when the message has been handled.
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

    /// Waits for a permit for one message; returns `None` when the control thread has stopped.
    pub async fn reserve(&self) -> Option<Permit> {
        Arc::clone(&self.permits).acquire_owned().await.ok()
    }

    /// Sends a message; it is lost when the control thread has stopped.
    pub fn send(&self, message: Message) {
        if self.actor.send_message(message).is_err() {
            log::debug!("control: A message arrived after the control thread had stopped.");
        }
    }

    /// Sends a tick after a delay.
    pub fn tick_after(&self, delay: std::time::Duration) {
        // The handle of the timer task is not needed: the task ends after sending.
        drop(self.actor.send_after(delay, || Message::Tick));
    }
}
