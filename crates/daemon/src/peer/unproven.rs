//! Links that have not delivered a frame yet; their number is bounded.
//!
//! Handles clients that connect to the listener for frames, announce large frames and stop just short of their end. A
//! daemon sends its first frame when it connects, so the link that has been without one for longest is closed for a new
//! one.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio_util::sync::CancellationToken;

/// Links without a frame. Together with the largest frame they bound the memory that strangers can take. All peers of a
/// cell may connect at the same time after a partition; one that is displaced connects again.
const MAX_LINKS: usize = 64;

#[derive(Debug, Default)]
struct State {
    next: u64,
    open: BTreeMap<u64, CancellationToken>,
}

/// The links without a frame.
#[derive(Debug, Clone, Default)]
pub struct Links {
    state: Arc<Mutex<State>>,
}

/// A link without a frame; no longer counted when dropped.
#[derive(Debug)]
pub struct Link {
    links: Links,
    number: u64,
    closed: CancellationToken,
}

impl Links {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a link that `closed` closes; closes the oldest one if there are too many.
    pub fn add(&self, closed: CancellationToken) -> Link {
        let mut state = self.lock();
        state.next += 1;
        let number = state.next;
        state.open.insert(number, closed.clone());
        if state.open.len() > MAX_LINKS
            && let Some((_, oldest)) = state.open.pop_first()
        {
            metrics::counter!("bronzespoke_peer_links_displaced_total").increment(1);
            oldest.cancel();
        }
        drop(state);
        Link {
            links: self.clone(),
            number,
            closed,
        }
    }
}

impl Link {
    /// Returns the token that closes the link.
    pub fn closed(&self) -> CancellationToken {
        self.closed.clone()
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.links.lock().open.remove(&self.number);
    }
}
