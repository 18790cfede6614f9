//! Pending requests to the leaders of groups that this process does not lead.
//!
//! A request is resent until a reply arrives or its deadline passes. Every command sent this way has a command id or is
//! idempotent, so a resend is safe.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_model::id;

use crate::{
    control::{context, responder},
    peer::{self, wire},
};

/// Maximum number of pending requests; further ones fail with `NotDone`.
pub const MAX_OPEN: usize = 8192;
/// Interval at which a request without a reply is resent; several round trips between regions.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Default time after which a request without a reply fails.
pub const DEADLINE: Duration = Duration::from_secs(3);

struct Open {
    group: id::GroupId,
    request: wire::Request,
    then: responder::Callback,
    deadline: Duration,
    resend_at: Duration,
    /// Copies that were sent and may have taken effect; a reply that nothing was done subtracts one.
    copies: u32,
}

/// A request for a group that this VM leads by now, to be served locally.
#[derive(Debug)]
pub struct Own {
    /// Number of the request; its reply goes to [`Requests::receive`].
    pub number: u64,
    /// Group that the request is for.
    pub group: id::GroupId,
    /// The request itself.
    pub request: wire::Request,
}

/// Pending requests of this process.
pub struct Requests {
    next: u64,
    open: BTreeMap<u64, Open>,
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            next: peer::first_number(),
            open: BTreeMap::new(),
        }
    }
}

impl std::fmt::Debug for Requests {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Requests")
            .field("open", &self.open.len())
            .finish_non_exhaustive()
    }
}

impl Requests {
    /// Sends a request to `leader`, if known, and calls `then` with the reply, or with a failure after `deadline`.
    pub fn open(
        &mut self,
        context: &context::Context,
        group: id::GroupId,
        request: wire::Request,
        deadline: Duration,
        leader: Option<id::VmId>,
        then: responder::Callback,
    ) {
        if self.open.len() >= MAX_OPEN {
            then(wire::Reply::NotDone(String::from(
                "too many calls to other VMs are open",
            )));
            return;
        }
        self.next += 1;
        let now = context.now();
        let deadline = now + deadline;
        let mut open = Open {
            group,
            request,
            then,
            deadline,
            resend_at: now,
            copies: 0,
        };
        // This VM is the leader but does not hold its lease yet: the next resend serves the request locally.
        let leader = leader.filter(|leader| *leader != context.me.id);
        send(context, self.next, &mut open, leader);
        self.open.insert(self.next, open);
    }

    /// Returns whether no request is pending.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Handles a reply. Late and duplicate replies are ignored.
    pub fn receive(&mut self, context: &context::Context, number: u64, reply: wire::Reply) {
        let Some(open) = self.open.get_mut(&number) else {
            return;
        };
        let not_leader = matches!(reply, wire::Reply::NotLeader);
        if not_leader || (is_refusal(&reply) && open.copies > 1) {
            open.copies = open.copies.saturating_sub(1);
            // Wait a little before the next try, since the new leader may not be known yet.
            open.resend_at = context.now() + RESEND_INTERVAL / 3;
            return;
        }
        if let Some(open) = self.open.remove(&number) {
            (open.then)(reply);
        }
    }

    /// Resends requests that are due and fails those past their deadline. Returns the requests that this VM has to
    /// serve itself, because it became the leader.
    pub fn tick(
        &mut self,
        context: &context::Context,
        leader: &dyn Fn(id::GroupId) -> Option<id::VmId>,
    ) -> Vec<Own> {
        let now = context.now();
        let overdue: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| now >= open.deadline)
            .map(|(number, _)| *number)
            .collect();
        for number in overdue {
            if let Some(open) = self.open.remove(&number) {
                (open.then)(expired(open.copies > 0));
            }
        }
        let mut own = Vec::new();
        for (number, open) in &mut self.open {
            if now >= open.resend_at {
                let leader = leader(open.group);
                own.extend(send(context, *number, open, leader));
            }
        }
        own
    }
}

/// Returns whether a reply states that its copy of the request had no effect. Another copy may still have had one.
const fn is_refusal(reply: &wire::Reply) -> bool {
    matches!(reply, wire::Reply::NotDone(_) | wire::Reply::Impossible(_))
}

/// Returns the reply for a request past its deadline; `open` means that a copy may still take effect.
fn expired(open: bool) -> wire::Reply {
    if open {
        wire::Reply::Unknown
    } else {
        wire::Reply::NotDone(String::from("no leader can be reached"))
    }
}

/// Sends a copy to the leader, or returns it when this VM is the leader.
fn send(context: &context::Context, number: u64, open: &mut Open, leader: Option<id::VmId>) -> Option<Own> {
    open.resend_at = context.now() + RESEND_INTERVAL;
    let leader = leader?;
    open.copies = open.copies.saturating_add(1);
    let (group, request) = (open.group, open.request.clone());
    if leader == context.me.id {
        return Some(Own {
            number,
            group,
            request,
        });
    }
    context.send(leader, wire::Body::Request(number, group, request));
    None
}
