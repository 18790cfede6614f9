//! Ends that a worker has reported, until they are recorded in the replicated state.
//!
//! A worker forgets an end that is acknowledged, and the next leader knows only what is recorded. An end is therefore
//! acknowledged only if it and all earlier ones are recorded: each commit is matched with the ends that it contains, and
//! never with a position in a queue, since proposals may be rejected while earlier ones are being committed.

use std::collections::BTreeMap;

use bronzespoke_control::cell;

/// An end that is not recorded.
#[derive(Debug)]
struct Unrecorded {
    end: cell::End,
    /// Whether its record is proposed and not rejected.
    is_proposed: bool,
}

/// Reported ends of one incarnation of a worker.
#[derive(Debug, Default)]
pub struct Ends {
    /// Highest number that was reported.
    reported: u64,
    unrecorded: BTreeMap<u64, Unrecorded>,
}

impl Ends {
    /// Returns whether the record of an end has to be proposed: it is reported for the first time, or the proposal of its
    /// record was rejected.
    pub fn is_due(&self, number: u64) -> bool {
        match self.unrecorded.get(&number) {
            Some(unrecorded) => !unrecorded.is_proposed,
            None => number > self.reported,
        }
    }

    /// Adds an end whose record is proposed, and returns whether it is reported for the first time.
    pub fn propose(&mut self, number: u64, end: cell::End) -> bool {
        self.reported = self.reported.max(number);
        let is_proposed = true;
        let earlier = self.unrecorded.insert(number, Unrecorded { end, is_proposed });
        earlier.is_none()
    }

    /// Handles the commit of ends. Equal ends are recorded by either proposal.
    pub fn commit(&mut self, ends: &[cell::End]) {
        self.unrecorded
            .retain(|_, unrecorded| !ends.contains(&unrecorded.end));
    }

    /// Handles the rejection of a proposal of ends, and returns those of them that the worker has not reported.
    pub fn reject(&mut self, ends: &[cell::End]) -> Vec<cell::End> {
        let mut others = Vec::from(ends);
        for unrecorded in self.unrecorded.values_mut() {
            let before = others.len();
            others.retain(|end| *end != unrecorded.end);
            if others.len() < before {
                unrecorded.is_proposed = false;
            }
        }
        others
    }

    /// Returns the number up to which all ends are recorded.
    pub fn recorded(&self) -> u64 {
        match self.unrecorded.first_key_value() {
            Some((number, _)) => number - 1,
            None => self.reported,
        }
    }
}
