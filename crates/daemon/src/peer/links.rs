//! Bounds on the accepted links and on the frames that they are receiving; without I/O.
//!
//! Handles clients that connect to the listener for frames, deliver no frame or one, announce large frames and stop just
//! short of their end. A daemon sends its first frame when it connects and an announcement at least every second, so the
//! links that have been without progress for longest are closed first, and those without any frame before the others.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio_util::sync::CancellationToken;

/// Links without a frame. All peers of a cell may connect at the same time after a partition; one that is displaced
/// connects again.
const MAX_UNPROVEN: usize = 64;
/// Links that have delivered a frame, if the descriptors of the VM are not known.
const DEFAULT_LINKS: usize = 1_024;
/// Bytes of frames that are being received, if the memory of the VM is not known.
const DEFAULT_HELD_BYTES: usize = 64 << 20;

/// Limits on accepted links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Links that have delivered a frame.
    pub links: usize,
    /// Bytes of frames that all links together are receiving.
    pub held_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            links: DEFAULT_LINKS,
            held_bytes: DEFAULT_HELD_BYTES,
        }
    }
}

#[derive(Debug)]
struct Account {
    held: usize,
    closed: CancellationToken,
}

#[derive(Debug, Default)]
struct State {
    /// Number of the newest link, frame or part of a frame.
    newest: u64,
    held: usize,
    /// Links without a frame, by the number of their last progress.
    unproven: BTreeMap<u64, Account>,
    /// The other links, by the number of their last frame or progress.
    proven: BTreeMap<u64, Account>,
}

impl State {
    const fn next(&mut self) -> u64 {
        self.newest += 1;
        self.newest
    }

    fn remove(&mut self, number: u64) -> Option<Account> {
        let removed = self.unproven.remove(&number);
        let removed = removed.or_else(|| self.proven.remove(&number));
        if let Some(account) = &removed {
            self.held -= account.held;
        }
        removed
    }

    fn close(&mut self, number: u64, reason: &'static str) {
        if let Some(account) = self.remove(number) {
            metrics::counter!("bronzespoke_peer_links_displaced_total", "reason" => reason).increment(1);
            account.closed.cancel();
        }
    }

    /// Returns the link with part of a frame that is closed first.
    fn oldest_holder(&self) -> Option<u64> {
        let all = self.unproven.iter().chain(&self.proven);
        all.filter(|(_, account)| account.held > 0)
            .map(|(number, _)| *number)
            .next()
    }
}

/// The accepted links.
#[derive(Debug, Clone)]
pub struct Links {
    limits: Limits,
    state: Arc<Mutex<State>>,
}

/// An accepted link; no longer counted when dropped.
#[derive(Debug)]
pub struct Link {
    links: Links,
    number: u64,
    closed: CancellationToken,
}

impl Links {
    /// Returns a table without links.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            state: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a link that `closed` closes; closes the oldest one without a frame if there are too many.
    pub fn add(&self, closed: CancellationToken) -> Link {
        let mut state = self.lock();
        let number = state.next();
        let account = Account {
            held: 0,
            closed: closed.clone(),
        };
        state.unproven.insert(number, account);
        if state.unproven.len() > MAX_UNPROVEN
            && let Some(oldest) = state.unproven.keys().next().copied()
        {
            state.close(oldest, "unproven");
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

    /// Sets the bytes of the frame that is being received. Closes the links that hold parts of frames and have been
    /// without progress for longest if the sum is too large; returns whether this link is still open.
    pub fn hold(&mut self, bytes: usize) -> bool {
        let mut guard = self.links.lock();
        let state = &mut *guard;
        let is_proven = state.proven.contains_key(&self.number);
        let Some(mut account) = state.remove(self.number) else {
            return false;
        };
        account.held = bytes;
        state.held += bytes;
        self.number = state.next();
        let links = if is_proven {
            &mut state.proven
        } else {
            &mut state.unproven
        };
        links.insert(self.number, account);
        while state.held > self.links.limits.held_bytes
            && let Some(oldest) = state.oldest_holder()
        {
            state.close(oldest, "held_bytes");
        }
        drop(guard);
        !self.closed.is_cancelled()
    }

    /// Records a frame; closes the link that has been without one for longest if there are too many. Returns whether this
    /// link is still open.
    pub fn record_frame(&mut self) -> bool {
        let mut state = self.links.lock();
        let Some(mut account) = state.remove(self.number) else {
            return false;
        };
        account.held = 0;
        self.number = state.next();
        state.proven.insert(self.number, account);
        if state.proven.len() > self.links.limits.links
            && let Some(oldest) = state.proven.keys().next().copied()
        {
            state.close(oldest, "links");
        }
        true
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.links.lock().remove(self.number);
    }
}
