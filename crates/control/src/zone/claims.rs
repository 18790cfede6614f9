//! Request ids: ensures that a request with an id runs at most once, and stores its response for retries.

use std::sync::Arc;

use bronzespoke_model::id;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    envelope,
    request_id::{self, Key},
    shared,
};

/// Maximum number of request ids that a zone group retains; further claims are refused.
///
/// The table has to fit the 64 MB of a daemon together with the root state and the state of a zone that it is a witness
/// of.
pub const MAX_IDS: usize = 49_152;
/// Maximum body size of a stored response, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Maximum size of all stored responses, in bytes; the oldest are evicted first.
pub const MAX_RESPONSES_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of expired ids that one command drops, which bounds the time to apply it.
const MAX_EXPIRED_AT_ONCE: usize = 256;
/// Bytes counted for a response in addition to its encoded form: the map entry and the allocation.
const RESPONSE_OVERHEAD_BYTES: usize = 60;

/// A stored response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Response body.
    pub body: Bytes,
}

/// Result of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Completion {
    /// The target answered. A response above [`MAX_RESPONSE_BYTES`] is not stored, and the result of the id becomes
    /// unknown.
    Answered(StoredResponse),
    /// The request is known not to have run; the id may be claimed again.
    NotRun,
    /// The request may have run; its response is not known.
    Unknown,
}

/// Result of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claimed {
    /// The claim was recorded and the request may be sent once. Holds the number for
    /// [`crate::zone::Command::Complete`].
    Granted(u64),
    /// The id is claimed by an attempt that has not completed.
    InProgress,
    /// The stored response of the first attempt.
    Answered(StoredResponse),
    /// The request may have run; its response is not known.
    Unknown,
    /// The table is full; the claim was not recorded and the request must not be sent.
    Full,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    Held,
    Answered,
    Unknown,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Entry {
    number: u64,
    state: State,
}

const fn accounted_bytes(encoded: &[u8]) -> usize {
    encoded.len() + RESPONSE_OVERHEAD_BYTES
}

/// Table of request ids.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Claims {
    entries: shared::Map<Key, Entry>,
    /// Keys and claim times in seconds, by number. Times do not decrease as numbers grow.
    order: shared::Map<u64, (Key, u32)>,
    /// Holders of the claims that have not completed.
    held: shared::Map<u64, id::VmId>,
    /// Encoded responses, by number. Apart from the texts, they take a third of the memory of the decoded form.
    answers: shared::Map<u64, Arc<[u8]>>,
    answers_bytes: usize,
    next_number: u64,
}

impl Claims {
    /// Claims a key for a holder. With `once`, a known key is not granted again.
    pub(super) fn claim(&mut self, key: Key, holder: id::VmId, now_ms: u64, once: bool) -> Claimed {
        if let Some(entry) = self.entries.get(&key)
            && once
        {
            return match entry.state {
                State::Held => Claimed::InProgress,
                State::Unknown => Claimed::Unknown,
                State::Answered => self
                    .answers
                    .get(&entry.number)
                    .and_then(|bytes| envelope::from_bytes(bytes).ok())
                    .map_or(Claimed::Unknown, Claimed::Answered),
            };
        }
        if self.entries.len() >= MAX_IDS {
            return Claimed::Full;
        }
        self.next_number += 1;
        let number = self.next_number;
        self.entries.insert(
            key,
            Entry {
                number,
                state: State::Held,
            },
        );
        self.order.insert(number, (key, (now_ms / 1000) as u32));
        self.held.insert(number, holder);
        Claimed::Granted(number)
    }

    /// Completes a claim. A number that was never granted, or whose claim is already answered or free, has no effect.
    ///
    /// A claim that became unknown because its holder was presumed lost accepts a late response; it is the first one.
    pub(super) fn complete(&mut self, number: u64, completion: &Completion) {
        let Some(key) = self.order.get(&number).map(|(key, _)| *key) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if entry.number != number || entry.state == State::Answered {
            return;
        }
        self.held.remove(&number);
        match completion {
            Completion::NotRun => {
                self.entries.remove(&key);
                self.order.remove(&number);
            }
            Completion::Answered(response) if response.body.len() <= MAX_RESPONSE_BYTES => {
                entry.state = State::Answered;
                let encoded: Arc<[u8]> = envelope::to_bytes(response).as_ref().into();
                self.answers_bytes += accounted_bytes(&encoded);
                self.answers.insert(number, encoded);
                self.evict_answers();
            }
            Completion::Answered(_) | Completion::Unknown => entry.state = State::Unknown,
        }
    }

    fn evict_answers(&mut self) {
        while self.answers_bytes > MAX_RESPONSES_BYTES {
            let Some((number, response)) = self.answers.pop_first() else {
                break;
            };
            self.answers_bytes -= accounted_bytes(&response);
            let entry = self
                .order
                .get(&number)
                .and_then(|(key, _)| self.entries.get_mut(key));
            if let Some(entry) = entry {
                entry.state = State::Unknown;
            }
        }
    }

    /// Marks the open claims of a holder with numbers below `before` as unknown.
    pub(super) fn holder_gone(&mut self, holder: id::VmId, before: u64) {
        let numbers: Vec<u64> = self
            .held
            .range(..before)
            .filter(|(_, other)| **other == holder)
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            self.complete(number, &Completion::Unknown);
        }
    }

    /// Drops ids whose retention has expired.
    pub(super) fn expire(&mut self, now_ms: u64) {
        for _ in 0..MAX_EXPIRED_AT_ONCE {
            let Some((number, (key, at_s))) = self.order.first_key_value().map(|(n, o)| (*n, *o)) else {
                break;
            };
            if u64::from(at_s) * 1000 + request_id::RETENTION_MS + 1000 > now_ms {
                break;
            }
            self.order.remove(&number);
            self.entries.remove(&key);
            self.held.remove(&number);
            if let Some(response) = self.answers.remove(&number) {
                self.answers_bytes -= accounted_bytes(&response);
            }
        }
    }

    /// Returns the number of retained ids.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no ids are retained.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the size of all stored responses, in bytes.
    pub const fn answers_bytes(&self) -> usize {
        self.answers_bytes
    }

    /// Returns the number of the next claim, which is above that of every earlier claim.
    pub const fn next_number(&self) -> u64 {
        self.next_number + 1
    }

    /// Returns the oldest claim that has not completed, if it is at least `age_ms` old at `now_ms`.
    pub fn overdue(&self, now_ms: u64, age_ms: u64) -> Option<u64> {
        let number = *self.held.first_key_value()?.0;
        let (_, at_s) = self.order.get(&number)?;
        (u64::from(*at_s) * 1000 + age_ms <= now_ms).then_some(number)
    }

    /// Returns the claims that have not completed, with their holders.
    pub fn held(&self) -> impl Iterator<Item = (u64, id::VmId)> {
        self.held.iter().map(|(number, holder)| (*number, *holder))
    }

    /// Returns the estimated memory in bytes.
    pub(super) fn memory(&self) -> usize {
        self.entries.memory() + self.order.memory() + self.held.memory() + self.answers_bytes
    }

    /// Checks that the indices agree and the limits hold. Numbers are unique because each one maps back to its key.
    pub fn verify(&self) -> Result<(), String> {
        if self.entries.len() > MAX_IDS || self.entries.len() != self.order.len() {
            return Err(format!(
                "request ids: {} entries, {} in order, at most {MAX_IDS}",
                self.entries.len(),
                self.order.len()
            ));
        }
        self.entries.verify()?;
        self.order.verify()?;
        self.held.verify()?;
        self.answers.verify()?;
        let bytes: usize = self
            .answers
            .values()
            .map(|response| accounted_bytes(response))
            .sum();
        if bytes != self.answers_bytes || bytes > MAX_RESPONSES_BYTES {
            return Err(format!(
                "answers take {bytes} bytes, counted {}",
                self.answers_bytes
            ));
        }
        let mut counts = [0_usize; 2];
        for (key, entry) in self.entries.iter() {
            let known = match entry.state {
                State::Held => self.held.contains_key(&entry.number),
                State::Answered => self.answers.contains_key(&entry.number),
                State::Unknown => true,
            };
            counts[0] += usize::from(entry.state == State::Held);
            counts[1] += usize::from(entry.state == State::Answered);
            let ordered = self
                .order
                .get(&entry.number)
                .is_some_and(|(other, _)| other == key);
            if !known || !ordered || entry.number > self.next_number {
                return Err(format!("claim {} does not match the indices", entry.number));
            }
        }
        if counts != [self.held.len(), self.answers.len()] {
            return Err(String::from(
                "the table of holders or answers has entries without a claim",
            ));
        }
        Ok(())
    }
}
