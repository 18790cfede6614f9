//! Claims of request ids, on the VM that forwards the request.
//!
//! A claim needs a grant from its owner zone and, for a while after the set of zones changed, also from the previous
//! owner. The gateway holds one number per claim; this table maps it to the numbers that the owners assigned.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bronzespoke_control::{request_id, zone};
use bronzespoke_gateway::control;
use bronzespoke_model::id;
use bytes::Bytes;
use tokio::sync::oneshot;

use crate::control::{requests, submissions};

/// How long the end of a claim is resent; an end that is never recorded leaves the id in progress.
const RECORD_DEADLINE: Duration = Duration::from_mins(1);
/// Maximum time for which a caller waits until the end of a claim is recorded.
const CALLER_TIMEOUT: Duration = requests::DEADLINE;
/// Pause before an end that was not recorded is resent; after a refusal, resends are refused until the leader changes.
const RESEND_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of ends that wait to be resent. Further ones are dropped, and their ids stay in progress until the
/// owner ends them as overdue.
const MAX_ENDS: usize = requests::MAX_OPEN;

/// Guard that is dropped when the end of a claim is recorded, or the wait for that times out.
pub type Done = Arc<dyn std::fmt::Debug + Send + Sync>;

/// A claim in progress.
#[derive(Debug)]
pub struct Pending {
    /// Key of the request id.
    pub key: request_id::Key,
    /// Owners whose grant is still to be requested.
    pub remaining: Vec<id::AvailabilityZoneId>,
    /// Owner whose grant is being requested.
    pub owner: id::AvailabilityZoneId,
    /// Command id of the claim at that owner.
    pub command: id::CommandId,
    /// Owners that granted the claim, with the numbers they assigned.
    pub granted: Vec<(id::AvailabilityZoneId, u64)>,
    /// Receiver of the outcome.
    pub waiter: Waiter,
}

/// Receiver of the outcome of a claim.
#[derive(Debug)]
pub enum Waiter {
    /// A request of the gateway.
    Request(oneshot::Sender<control::Claimed>),
    /// A job submission with a submission id.
    Submission(Box<submissions::Submission>),
}

/// The end of a claim at one of its owners.
#[derive(Debug)]
pub struct End {
    /// Zone that owns the request id.
    pub zone: id::AvailabilityZoneId,
    /// Number that the owner assigned to the claim.
    pub number: u64,
    /// Outcome to record.
    pub completion: zone::Completion,
    /// Command id at the owner; the same in every copy, so that resends are idempotent.
    pub command: id::CommandId,
    done: Option<Done>,
    done_by: Duration,
    until: Duration,
}

impl End {
    /// Returns an end whose time limits start at `now`.
    pub fn new(
        now: Duration,
        (zone, number): (id::AvailabilityZoneId, u64),
        completion: zone::Completion,
        done: Option<Done>,
    ) -> Self {
        Self {
            zone,
            number,
            completion,
            command: rand::random(),
            done,
            done_by: now + CALLER_TIMEOUT,
            until: now + RECORD_DEADLINE,
        }
    }

    /// Returns the timeout of one request. After it a new request is made, because this VM may lead the group by then.
    pub fn request_timeout(&self, now: Duration) -> Duration {
        let end = if self.done.is_some() {
            self.done_by
        } else {
            self.until
        };
        end.saturating_sub(now).min(requests::DEADLINE)
    }
}

/// Ends of claims that were not recorded, with the time at which each one is resent.
#[derive(Debug, Default)]
pub struct Ends {
    waiting: Vec<(Duration, End)>,
}

impl Ends {
    /// Queues an end that was not recorded, or drops it when its time limit has passed.
    pub fn keep(&mut self, now: Duration, mut end: End) {
        if now >= end.until || self.waiting.len() >= MAX_ENDS {
            log::warn!(
                "claims: The end of claim {} in zone {} may be unrecorded; giving up.",
                end.number,
                end.zone
            );
            return;
        }
        if now >= end.done_by {
            end.done = None;
        }
        self.waiting.push((now + RESEND_PAUSE, end));
    }

    /// Takes the ends that are due.
    pub fn take_due(&mut self, now: Duration) -> Vec<End> {
        let due = self.waiting.extract_if(.., |(at, _)| *at <= now);
        due.map(|(_, end)| end).collect()
    }

    /// Returns whether no end waits to be resent.
    pub const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Maximum number of claims that wait for a zone to end the claims of earlier incarnations; further ones are refused
/// with `not run`.
const MAX_WAITING: usize = 1024;

/// Progress of ending the claims of earlier incarnations of this VM's process, by zone.
///
/// A claim names its holder by VM id, which a VM with a data folder keeps over a restart. A process therefore ends all
/// open claims under its id in a zone before it makes its first claim there: they belong to earlier incarnations.
#[derive(Debug, Default)]
pub struct EarlierClaims {
    zones: HashMap<id::AvailabilityZoneId, Ending>,
}

/// State of ending the claims of earlier incarnations in one zone.
#[derive(Debug)]
struct Ending {
    /// The same in every copy, so that a late copy ends no claim of this process.
    command: id::CommandId,
    requested: bool,
    ended: bool,
    waiting: Vec<Pending>,
}

impl EarlierClaims {
    fn ending(&mut self, zone: id::AvailabilityZoneId) -> &mut Ending {
        self.zones.entry(zone).or_insert_with(|| Ending {
            command: rand::random(),
            requested: false,
            ended: false,
            waiting: Vec::new(),
        })
    }

    /// Returns the id of the command to send to a zone now, unless it is pending or done.
    pub fn begin(&mut self, zone: id::AvailabilityZoneId) -> Option<id::CommandId> {
        let ending = self.ending(zone);
        let due = !ending.ended && !ending.requested;
        ending.requested |= due;
        due.then_some(ending.command)
    }

    /// Returns whether a zone has ended the claims of earlier incarnations.
    pub fn has_ended(&mut self, zone: id::AvailabilityZoneId) -> bool {
        self.ending(zone).ended
    }

    /// Queues a claim until its zone is ready; returns the claim when the queue is full.
    pub fn wait(&mut self, pending: Pending) -> Option<Pending> {
        let waiting = &mut self.ending(pending.owner).waiting;
        if waiting.len() >= MAX_WAITING {
            return Some(pending);
        }
        waiting.push(pending);
        None
    }

    /// Records the result for a zone; returns the claims that waited for it.
    pub fn answered(&mut self, zone: id::AvailabilityZoneId, ended: bool) -> Vec<Pending> {
        let ending = self.ending(zone);
        ending.requested = false;
        ending.ended |= ended;
        std::mem::take(&mut ending.waiting)
    }
}

/// Granted claims that have not ended.
#[derive(Debug, Default)]
pub struct Claims {
    next: u64,
    granted: HashMap<u64, Vec<(id::AvailabilityZoneId, u64)>>,
}

impl Claims {
    /// Stores the grants of a claim; returns the number under which the gateway refers to it.
    pub fn keep(&mut self, granted: Vec<(id::AvailabilityZoneId, u64)>) -> u64 {
        self.next += 1;
        self.granted.insert(self.next, granted);
        self.next
    }

    /// Removes and returns the grants of a claim that ended.
    pub fn take(&mut self, number: u64) -> Vec<(id::AvailabilityZoneId, u64)> {
        self.granted.remove(&number).unwrap_or_default()
    }
}

/// Converts a stored response to the type of the gateway.
pub fn stored_response(answer: zone::StoredResponse) -> control::StoredResponse {
    control::StoredResponse {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body,
    }
}

/// Converts a completion to the type of the zone group.
pub fn completion(completion: &control::Completion) -> zone::Completion {
    match completion {
        control::Completion::Answered(answer) => zone::Completion::Answered(zone::StoredResponse {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: Bytes::clone(&answer.body),
        }),
        control::Completion::NotRun => zone::Completion::NotRun,
        control::Completion::Unknown => zone::Completion::Unknown,
    }
}
