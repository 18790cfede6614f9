//! Request ids that must not run twice.

use std::sync::Arc;

use bronzespoke_model::id;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    envelope,
    request_id::{self, Key},
    shared,
};

/// Most request ids that a zone group remembers; a claim beyond them is refused.
///
/// With the root state and the state of a witnessed zone, the table has to fit the 64 MB of a daemon.
pub const MAX_IDS: usize = 49_152;
/// Largest stored answer, in bytes of the body.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Most bytes of stored answers; the oldest answers are dropped first.
pub const MAX_ANSWERS_BYTES: usize = 16 * 1024 * 1024;
/// Expired ids that one command drops at most, which bounds the time of one application.
const MAX_EXPIRED_AT_ONCE: usize = 256;
/// Bytes counted for an answer beside its encoded form: its place in the map and its allocation.
const ANSWER_OVERHEAD_BYTES: usize = 60;

/// A stored answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Completion {
    /// The answer to store; an answer above [`MAX_ANSWER_BYTES`] is not stored, and the id becomes unknown.
    Answered(Answer),
    /// The request certainly did not run; the id is free again.
    NotRun,
    /// The request may have run; its answer is not known.
    Unknown,
}

/// Answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claimed {
    /// Recorded; the request may be sent once. Carries the number to complete it with.
    Granted(u64),
    /// Another attempt holds the id.
    InProgress,
    /// The first answer.
    Answered(Answer),
    /// The request may have run; its answer is not known.
    Unknown,
    /// The table is full; the request was not recorded and is not run.
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

const fn counted(encoded: &[u8]) -> usize {
    encoded.len() + ANSWER_OVERHEAD_BYTES
}

/// Table of request ids.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Claims {
    entries: shared::Map<Key, Entry>,
    /// Keys and claim times in seconds, by number; numbers and times grow together.
    order: shared::Map<u64, (Key, u32)>,
    /// Holders of claims that have not ended.
    held: shared::Map<u64, id::VmId>,
    /// Encoded answers, by number; a third of the bytes of the decoded form beside the texts.
    answers: shared::Map<u64, Arc<[u8]>>,
    answers_bytes: usize,
    next_number: u64,
}

impl Claims {
    /// Claims a key for a holder.
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

    /// Records the end of a claim. The number of a claim that is over already, or was never granted, changes nothing.
    ///
    /// A claim that became unknown because its holder seemed gone takes a late answer: it is the first one.
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
            Completion::Answered(answer) if answer.body.len() <= MAX_ANSWER_BYTES => {
                entry.state = State::Answered;
                let encoded: Arc<[u8]> = envelope::to_bytes(answer).as_ref().into();
                self.answers_bytes += counted(&encoded);
                self.answers.insert(number, encoded);
                self.drop_old_answers();
            }
            Completion::Answered(_) | Completion::Unknown => entry.state = State::Unknown,
        }
    }

    fn drop_old_answers(&mut self) {
        while self.answers_bytes > MAX_ANSWERS_BYTES {
            let Some((number, answer)) = self.answers.pop_first() else {
                break;
            };
            self.answers_bytes -= counted(&answer);
            let entry = self
                .order
                .get(&number)
                .and_then(|(key, _)| self.entries.get_mut(key));
            if let Some(entry) = entry {
                entry.state = State::Unknown;
            }
        }
    }

    /// Turns the open claims of a holder with numbers below `before` into unknown ones.
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

    /// Drops ids whose retention is over.
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
            if let Some(answer) = self.answers.remove(&number) {
                self.answers_bytes -= counted(&answer);
            }
        }
    }

    /// Returns the number of ids.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether there are no ids.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of stored answers.
    pub const fn answers_bytes(&self) -> usize {
        self.answers_bytes
    }

    /// Returns a number above that of every claim so far.
    pub const fn next_number(&self) -> u64 {
        self.next_number + 1
    }

    /// Returns the oldest claim that has not ended, when it was made `age_ms` before `now_ms` or earlier.
    pub fn overdue(&self, now_ms: u64, age_ms: u64) -> Option<u64> {
        let number = *self.held.first_key_value()?.0;
        let (_, at_s) = self.order.get(&number)?;
        (u64::from(*at_s) * 1000 + age_ms <= now_ms).then_some(number)
    }

    /// Returns the claims that have not ended, with their holders.
    pub fn held(&self) -> impl Iterator<Item = (u64, id::VmId)> {
        self.held.iter().map(|(number, holder)| (*number, *holder))
    }

    /// Returns the estimated bytes of memory.
    pub(super) fn memory(&self) -> usize {
        self.entries.memory() + self.order.memory() + self.held.memory() + self.answers_bytes
    }

    /// Checks that the indices agree and the bounds hold. Numbers are unique because each one leads back to its key.
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
        let bytes: usize = self.answers.values().map(|answer| counted(answer)).sum();
        if bytes != self.answers_bytes || bytes > MAX_ANSWERS_BYTES {
            return Err(format!(
                "answers take {bytes} bytes, counted {}",
                self.answers_bytes
            ));
        }
        let mut states = [0_usize; 2];
        for (key, entry) in self.entries.iter() {
            let known = match entry.state {
                State::Held => self.held.contains_key(&entry.number),
                State::Answered => self.answers.contains_key(&entry.number),
                State::Unknown => true,
            };
            states[0] += usize::from(entry.state == State::Held);
            states[1] += usize::from(entry.state == State::Answered);
            let ordered = self
                .order
                .get(&entry.number)
                .is_some_and(|(other, _)| other == key);
            if !known || !ordered || entry.number > self.next_number {
                return Err(format!("claim {} does not match the indices", entry.number));
            }
        }
        if states != [self.held.len(), self.answers.len()] {
            return Err(String::from("holders or answers belong to no claim"));
        }
        Ok(())
    }
}
