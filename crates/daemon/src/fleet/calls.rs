//! Calls that this daemon passes to the leader and has not answered; without I/O.
//!
//! Answers the time without a leader after a crash or a cut: a call waits a little for the next leader, which takes about
//! a second, and is then refused with a time to come back, so that no caller is held until its own deadline.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_model::id;
use bronzespoke_workload::call;

/// A call that got no reply in this time is sent again; covers two ways between regions, a commit and a busy leader.
const RESEND_AFTER: Duration = Duration::from_millis(700);
/// Pause before a call that a former leader sent back is sent to it once more.
const REJECTED_PAUSE: Duration = Duration::from_millis(100);
/// How long a call waits for a leader while none is known. A call that a lost leader got is then answered as of
/// unknown fate, so that its caller repeats it.
const LEADER_WAIT: Duration = Duration::from_millis(1_200);
/// When a caller that found no leader may come back: an election takes up to 1.6 s.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Calls that may wait; further ones are refused.
const MAX_PENDING: usize = 4_096;

/// A call under way.
#[derive(Debug)]
pub struct Pending<R> {
    /// Call.
    pub call: call::Call,
    responder: R,
    begun: Duration,
    deadline: Duration,
    sent: Option<(id::VmId, Duration)>,
    /// No sending before this time.
    pause_until: Duration,
    /// Multiple of the usual time after which it is sent again.
    resend_factor: u32,
    /// Whether every daemon that got it sent it back unexecuted.
    unexecuted: bool,
}

/// Calls under way. `R` is what takes the reply.
#[derive(Debug)]
pub struct Calls<R> {
    next: u64,
    pending: BTreeMap<u64, Pending<R>>,
}

impl<R> Default for Calls<R> {
    fn default() -> Self {
        Self {
            next: 0,
            pending: BTreeMap::new(),
        }
    }
}

/// Reply to a call that no leader took.
pub const fn no_leader() -> call::Reply {
    call::Reply::Refused {
        reason: call::Refusal::NoLeader,
        retry_after: RETRY_AFTER,
    }
}

impl<R> Calls<R> {
    /// Adds a call; it is refused at once when too many wait.
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

    /// Takes a reply; returns who waits for it.
    pub fn reply(&mut self, now: Duration, number: u64, reply: call::Reply) -> Option<(R, call::Reply)> {
        if reply == call::Reply::NotLeader {
            if let Some(pending) = self.pending.get_mut(&number) {
                // It was not taken there; the next leader gets it.
                pending.sent = None;
                pending.pause_until = now + REJECTED_PAUSE;
            }
            return None;
        }
        let pending = self.pending.remove(&number)?;
        let is_refused = matches!(reply, call::Reply::Refused { .. });
        // The leader may take another sending of the call after it has refused this one.
        let reply = if is_refused && !pending.unexecuted {
            call::Reply::Unknown
        } else {
            reply
        };
        Some((pending.responder, reply))
    }

    /// Returns the calls to send to the leader now.
    pub fn due(&mut self, now: Duration, leader: id::VmId) -> Vec<(u64, call::Call)> {
        let mut due = Vec::new();
        for (number, pending) in &mut self.pending {
            let wanted = match pending.sent {
                None => now >= pending.pause_until,
                Some((to, at)) => to != leader || now >= at + RESEND_AFTER * pending.resend_factor,
            };
            if wanted {
                // An earlier sending got no answer, so that its fate is not known.
                pending.unexecuted &= pending.sent.is_none();
                // A leader that does not keep up must not get more and more copies.
                if pending.sent.is_some_and(|(to, _)| to == leader) {
                    pending.resend_factor *= 2;
                }
                pending.sent = Some((leader, now));
                due.push((*number, pending.call.clone()));
            }
        }
        due
    }

    /// Takes out the calls whose time is over, each with its reply.
    pub fn expired(&mut self, now: Duration, has_leader: bool) -> Vec<(R, call::Reply)> {
        let over = |pending: &Pending<R>| {
            let stranded = !has_leader && now >= pending.begun + LEADER_WAIT;
            stranded || now >= pending.deadline
        };
        let numbers: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| over(pending))
            .map(|(number, _)| *number)
            .collect();
        let mut expired = Vec::new();
        for number in numbers {
            let Some(pending) = self.pending.remove(&number) else {
                continue;
            };
            // A call that was sent may have been taken, whatever happened to its reply.
            let reply = if pending.sent.is_none() && pending.unexecuted {
                no_leader()
            } else {
                call::Reply::Unknown
            };
            expired.push((pending.responder, reply));
        }
        expired
    }

    /// Number of calls that wait.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Tells whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
