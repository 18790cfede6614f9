//! Claims of request ids, as the VM that sends the request makes them.
//!
//! A claim needs the grant of its owner, and shortly after a change of the zones also that of its former owner.
//! The gateway holds one number per claim; this table maps it to the numbers that the owners gave.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bronzespoke_control::{request_id, zone};
use bronzespoke_gateway::control;
use bronzespoke_model::id;
use bytes::Bytes;
use tokio::sync::oneshot;

use crate::control::{requests, submissions};

/// Time for which the end of a claim is sent again; a lost one leaves the id in progress.
const RECORD_DEADLINE: Duration = Duration::from_mins(1);
/// Longest time for which somebody waits until the end of a claim is recorded.
const WAIT: Duration = requests::DEADLINE;
/// Pause before an end that was not recorded is sent again; a refused one is refused again until the leader changes.
const PAUSE: Duration = Duration::from_millis(300);
/// Ends that may wait to be sent again; further ones are given up, and their ids stay in progress until they are
/// overdue.
const MAX_ENDS: usize = requests::MAX_OPEN;

/// Dropped when the end of a claim is recorded, or the wait for it is over.
pub type Done = Arc<dyn std::fmt::Debug + Send + Sync>;

/// A claim under way.
#[derive(Debug)]
pub struct Pending {
    /// Key of the id.
    pub key: request_id::Key,
    /// Owners that have not been asked.
    pub remaining: Vec<id::AvailabilityZoneId>,
    /// Owner that is asked now.
    pub asked: id::AvailabilityZoneId,
    /// Id of the command at that owner.
    pub command: id::CommandId,
    /// Owners that granted, with their numbers.
    pub granted: Vec<(id::AvailabilityZoneId, u64)>,
    /// Who waits.
    pub waiter: Waiter,
}

/// Who waits for a claim.
#[derive(Debug)]
pub enum Waiter {
    /// A request of the gateway.
    Request(oneshot::Sender<control::Claimed>),
    /// A job with a submission id.
    Submission(Box<submissions::Submission>),
}

/// The end of a claim at one of its owners.
#[derive(Debug)]
pub struct End {
    /// Owner.
    pub zone: id::AvailabilityZoneId,
    /// Number that the owner gave.
    pub number: u64,
    /// How the claim ended.
    pub completion: zone::Completion,
    /// Id of the command at the owner; every copy has the same.
    pub command: id::CommandId,
    done: Option<Done>,
    done_by: Duration,
    until: Duration,
}

impl End {
    /// Returns an end that is to be recorded from now on.
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
            done_by: now + WAIT,
            until: now + RECORD_DEADLINE,
        }
    }

    /// Returns how long one call may take. A call is made anew after that, because this VM may lead the group by then.
    pub fn request_timeout(&self, now: Duration) -> Duration {
        let end = if self.done.is_some() {
            self.done_by
        } else {
            self.until
        };
        end.saturating_sub(now).min(requests::DEADLINE)
    }
}

/// Ends of claims that were not recorded, with the time at which each one is sent again.
#[derive(Debug, Default)]
pub struct Ends {
    waiting: Vec<(Duration, End)>,
}

impl Ends {
    /// Keeps an end that was not recorded, or gives it up when its time is over.
    pub fn keep(&mut self, now: Duration, mut end: End) {
        if now >= end.until || self.waiting.len() >= MAX_ENDS {
            log::warn!(
                "claims: The end of claim {} in zone {} may not be recorded.",
                end.number,
                end.zone
            );
            return;
        }
        if now >= end.done_by {
            end.done = None;
        }
        self.waiting.push((now + PAUSE, end));
    }

    /// Takes the ends that are due.
    pub fn take_due(&mut self, now: Duration) -> Vec<End> {
        let due = self.waiting.extract_if(.., |(at, _)| *at <= now);
        due.map(|(_, end)| end).collect()
    }

    /// Tells whether no end waits.
    pub const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Claims that may wait for a zone to end those of former processes; further ones are refused with `not run`.
const MAX_WAITING: usize = 1024;

/// Where the claims of former processes of this VM are ended.
///
/// Claims name their holder by its VM id, which a data folder keeps over a restart. A process therefore has the open
/// claims under its id ended in each zone before it makes its first claim there: they are all of former processes.
#[derive(Debug, Default)]
pub struct Former {
    zones: HashMap<id::AvailabilityZoneId, Ending>,
}

/// The end of the claims of former processes in one zone.
#[derive(Debug)]
struct Ending {
    /// Every copy has the same id, so that a late one ends no claim of this process.
    command: id::CommandId,
    asked: bool,
    ended: bool,
    waiting: Vec<Pending>,
}

impl Former {
    fn ending(&mut self, zone: id::AvailabilityZoneId) -> &mut Ending {
        self.zones.entry(zone).or_insert_with(|| Ending {
            command: rand::random(),
            asked: false,
            ended: false,
            waiting: Vec::new(),
        })
    }

    /// Returns the id of the command that is to be sent to a zone now, if any.
    pub fn begin(&mut self, zone: id::AvailabilityZoneId) -> Option<id::CommandId> {
        let ending = self.ending(zone);
        let due = !ending.ended && !ending.asked;
        ending.asked |= due;
        due.then_some(ending.command)
    }

    /// Tells whether a zone has ended the claims of former processes.
    pub fn has_ended(&mut self, zone: id::AvailabilityZoneId) -> bool {
        self.ending(zone).ended
    }

    /// Lets a claim wait for its zone; a claim for which there is no room is returned.
    pub fn wait(&mut self, pending: Pending) -> Option<Pending> {
        let waiting = &mut self.ending(pending.asked).waiting;
        if waiting.len() >= MAX_WAITING {
            return Some(pending);
        }
        waiting.push(pending);
        None
    }

    /// Takes a zone's answer; returns the claims that waited for it.
    pub fn answered(&mut self, zone: id::AvailabilityZoneId, ended: bool) -> Vec<Pending> {
        let ending = self.ending(zone);
        ending.asked = false;
        ending.ended |= ended;
        std::mem::take(&mut ending.waiting)
    }
}

/// Grants that have not been completed.
#[derive(Debug, Default)]
pub struct Claims {
    next: u64,
    granted: HashMap<u64, Vec<(id::AvailabilityZoneId, u64)>>,
}

impl Claims {
    /// Keeps the grants of a claim; returns the number for the gateway.
    pub fn keep(&mut self, granted: Vec<(id::AvailabilityZoneId, u64)>) -> u64 {
        self.next += 1;
        self.granted.insert(self.next, granted);
        self.next
    }

    /// Takes the grants of a claim that ended.
    pub fn take(&mut self, number: u64) -> Vec<(id::AvailabilityZoneId, u64)> {
        self.granted.remove(&number).unwrap_or_default()
    }
}

/// Returns a stored answer as the gateway knows it.
pub fn answer(answer: zone::Answer) -> control::StoredResponse {
    control::StoredResponse {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body,
    }
}

/// Returns a completion as the zone group knows it.
pub fn completion(completion: &control::Completion) -> zone::Completion {
    match completion {
        control::Completion::Answered(answer) => zone::Completion::Answered(zone::Answer {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: Bytes::clone(&answer.body),
        }),
        control::Completion::NotRun => zone::Completion::NotRun,
        control::Completion::Unknown => zone::Completion::Unknown,
    }
}
