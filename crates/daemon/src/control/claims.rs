//! Claims of request ids, as the VM that sends the request makes them.
//!
//! A claim needs the grant of its owner, and shortly after a change of the zones also that of its former owner.
//! The gateway holds one number per claim; this table maps it to the numbers that the owners gave.

use std::collections::HashMap;

use bronzespoke_control::{request_id, zone};
use bronzespoke_gateway::control;
use bronzespoke_model::id;
use bytes::Bytes;
use tokio::sync::oneshot;

use crate::control::submissions;

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
pub fn answer(answer: zone::Answer) -> control::Answer {
    control::Answer {
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
