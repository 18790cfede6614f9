//! Calls to the leaders of groups that this process does not lead.
//!
//! A call is sent again until it is answered or its time is over. Every command that travels this way has a command
//! id or is idempotent by itself, so that a resend does no harm.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_model::id;

use crate::{
    control::{context, responder},
    peer::wire,
};

/// Calls that may be open; further ones are answered with `NotDone`.
pub const MAX_OPEN: usize = 8192;
/// Time after which an unanswered call is sent again; several round trips between regions.
const RESEND: Duration = Duration::from_millis(300);
/// Time after which an unanswered call is over.
pub const DEADLINE: Duration = Duration::from_secs(3);

/// Numbers between the first numbers of two lives of a process.
const NUMBER_BITS: u32 = 24;

struct Open {
    group: id::GroupId,
    request: wire::Request,
    then: responder::Callback,
    deadline: Duration,
    resend_at: Duration,
    /// Copies that were sent and not answered with the statement that nothing was done.
    copies: u32,
}

/// A copy of a call for a group that this VM leads by now.
#[derive(Debug)]
pub struct Own {
    /// Number of the call; its answer goes to `Requests::answer`.
    pub number: u64,
    /// Group.
    pub group: id::GroupId,
    /// Call.
    pub request: wire::Request,
}

/// Open calls of this process.
pub struct Requests {
    next: u64,
    open: BTreeMap<u64, Open>,
}

impl Default for Requests {
    /// The first number is drawn, so that a late answer to a former life of this process finds no call.
    fn default() -> Self {
        Self {
            next: u64::from(rand::random::<u32>()) << NUMBER_BITS,
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
    /// Opens a call; `leader` is the leader that is known now.
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
        // A leader that does not hold its lease yet serves the call at the next resend.
        let leader = leader.filter(|leader| *leader != context.me.id);
        send(context, self.next, &mut open, leader);
        self.open.insert(self.next, open);
    }

    /// Tells whether no call is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Takes an answer. Late and repeated answers change nothing.
    pub fn receive(&mut self, context: &context::Context, number: u64, reply: wire::Reply) {
        let Some(open) = self.open.get_mut(&number) else {
            return;
        };
        let not_led = matches!(reply, wire::Reply::NotLeader);
        if not_led || (is_refusal(&reply) && open.copies > 1) {
            open.copies = open.copies.saturating_sub(1);
            // The next leader may not be known yet.
            open.resend_at = context.now() + RESEND / 3;
            return;
        }
        if let Some(open) = self.open.remove(&number) {
            (open.then)(reply);
        }
    }

    /// Sends calls again and ends those whose time is over; returns the copies that this VM has to serve itself,
    /// because it became the leader.
    pub fn tick(
        &mut self,
        context: &context::Context,
        leader: &dyn Fn(id::GroupId) -> Option<id::VmId>,
    ) -> Vec<Own> {
        let now = context.now();
        let over: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| now >= open.deadline)
            .map(|(number, _)| *number)
            .collect();
        for number in over {
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

/// Tells whether an answer says that its copy of the call did nothing. Another copy may have done it all the same.
const fn is_refusal(reply: &wire::Reply) -> bool {
    matches!(reply, wire::Reply::NotDone(_) | wire::Reply::Impossible(_))
}

/// Returns the answer to a call whose time is over; `open` tells whether a copy may still be done.
fn expired(open: bool) -> wire::Reply {
    if open {
        wire::Reply::Unknown
    } else {
        wire::Reply::NotDone(String::from("no leader can be reached"))
    }
}

/// Sends a copy to the leader; returns it when this VM leads.
fn send(context: &context::Context, number: u64, open: &mut Open, leader: Option<id::VmId>) -> Option<Own> {
    open.resend_at = context.now() + RESEND;
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
