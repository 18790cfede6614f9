//! Calls that this daemon has forwarded to the leader and not answered yet; without I/O.
//!
//! Handles the time without a leader after a crash or a network partition: a call waits a short time for the next
//! leader, whose election takes about a second, and is then refused with a retry time, so that no caller is held until
//! its own deadline.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_model::id;
use bronzespoke_workload::call;

use crate::peer;

/// A call without a reply for this long is resent; covers two one-way trips between regions, a commit and a busy
/// leader.
const RESEND_AFTER: Duration = Duration::from_millis(700);
/// Pause before a call is resent to a daemon that rejected it because it does not lead.
const REJECTED_PAUSE: Duration = Duration::from_millis(100);
/// How long a call waits while no leader is known. A call that was sent to a leader that failed is then answered as of
/// unknown outcome, so that its caller retries it.
const LEADER_WAIT: Duration = Duration::from_millis(1_200);
/// Retry time for callers that found no leader: an election takes up to 1.6 s.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Upper bound on pending calls; further ones are refused.
const MAX_PENDING: usize = 4_096;

/// A call in flight.
#[derive(Debug)]
pub struct Pending<R> {
    /// Call to forward.
    pub call: call::Call,
    responder: R,
    begun: Duration,
    deadline: Duration,
    sent: Option<(id::VmId, Duration)>,
    /// Not sent before this time.
    pause_until: Duration,
    /// Multiple of `RESEND_AFTER` after which the call is resent.
    resend_factor: u32,
    /// Whether all copies before the newest were rejected, so that none of them can have been executed.
    unexecuted: bool,
}

impl<R> Pending<R> {
    /// Returns the daemon that the newest copy was sent to, and when.
    pub const fn sent(&self) -> Option<(id::VmId, Duration)> {
        self.sent
    }
}

/// Calls in flight. `R` receives the reply.
#[derive(Debug)]
pub struct Calls<R> {
    next: u64,
    pending: BTreeMap<u64, Pending<R>>,
}

impl<R> Default for Calls<R> {
    fn default() -> Self {
        Self {
            next: peer::first_number(),
            pending: BTreeMap::new(),
        }
    }
}

/// Returns the reply to a call that no leader accepted.
pub const fn no_leader() -> call::Reply {
    call::Reply::Refused {
        reason: call::Refusal::NoLeader,
        retry_after: RETRY_AFTER,
    }
}

impl<R> Calls<R> {
    /// Returns a call in flight.
    pub fn pending(&self, number: u64) -> Option<&Pending<R>> {
        self.pending.get(&number)
    }

    /// Adds a call; it is refused immediately when too many are pending.
    pub fn add(
        &mut self,
        now: Duration,
        deadline: Duration,
        call: call::Call,
        responder: R,
    ) -> Result<u64, (R, call::Reply)> {
        if self.pending.len() >= MAX_PENDING {
            return Err((responder, no_leader()));
        }
        self.next += 1;
        let pending = Pending {
            call,
            responder,
            begun: now,
            deadline,
            sent: None,
            pause_until: now,
            resend_factor: 1,
            unexecuted: true,
        };
        self.pending.insert(self.next, pending);
        Ok(self.next)
    }

    /// Handles a reply; returns the receiver and its reply, or `None` if the call is resent or has ended.
    pub fn reply(&mut self, now: Duration, number: u64, reply: call::Reply) -> Option<(R, call::Reply)> {
        if matches!(reply, call::Reply::NotLeader | call::Reply::Outdated) {
            if let Some(pending) = self.pending.get_mut(&number) {
                // This copy was not executed; the next leader, or the same one, gets another.
                pending.sent = None;
                pending.pause_until = now + REJECTED_PAUSE;
            }
            return None;
        }
        let pending = self.pending.remove(&number)?;
        // A rejection says nothing of the other copies: one of them may have been executed under an earlier leader or
        // configuration, or may still be.
        let is_settled = pending.unexecuted || pending.call.is_read() || reply == call::Reply::Done;
        let reply = if is_settled { reply } else { call::Reply::Unknown };
        Some((pending.responder, reply))
    }

    /// Returns the calls to send to the leader now.
    pub fn due(&mut self, now: Duration, leader: id::VmId) -> Vec<(u64, call::Call)> {
        let mut due = Vec::new();
        for (number, pending) in &mut self.pending {
            let is_due = match pending.sent {
                None => now >= pending.pause_until,
                Some((to, at)) => to != leader || now >= at + RESEND_AFTER * pending.resend_factor,
            };
            if is_due {
                // An earlier copy was not answered, so its outcome is unknown.
                pending.unexecuted &= pending.sent.is_none();
                // A leader that falls behind must not receive ever more copies.
                if pending.sent.is_some_and(|(to, _)| to == leader) {
                    pending.resend_factor *= 2;
                }
                pending.sent = Some((leader, now));
                due.push((*number, pending.call.clone()));
            }
        }
        due
    }

    /// Removes the orders about zones whose operator waits no more, so that no later copy of them is sent. A call that was
    /// not answered is over for its daemon, and might take effect after an order that the operator issued since.
    pub fn drop_abandoned(&mut self, is_abandoned: impl Fn(&R) -> bool) {
        self.pending.retain(|_, pending| {
            !matches!(pending.call, call::Call::Evacuate { .. }) || !is_abandoned(&pending.responder)
        });
    }

    /// Removes the calls that have expired and returns each with its reply.
    pub fn expired(&mut self, now: Duration, has_leader: bool) -> Vec<(R, call::Reply)> {
        let is_expired = |pending: &Pending<R>| {
            let is_leaderless = !has_leader && now >= pending.begun + LEADER_WAIT;
            is_leaderless || now >= pending.deadline
        };
        let numbers: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| is_expired(pending))
            .map(|(number, _)| *number)
            .collect();
        let mut expired = Vec::new();
        for number in numbers {
            let Some(pending) = self.pending.remove(&number) else {
                continue;
            };
            // A call that was sent may have been executed even if its reply was lost.
            let reply = if pending.sent.is_none() && pending.unexecuted {
                no_leader()
            } else {
                call::Reply::Unknown
            };
            expired.push((pending.responder, reply));
        }
        expired
    }

    /// Returns the number of pending calls.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no call is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
