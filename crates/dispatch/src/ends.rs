//! Ends that a worker has reported, until they are recorded in the replicated state.
//!
//! A worker forgets an end that is acknowledged, and the next leader knows only what is recorded. An end is therefore
//! acknowledged only if it and all earlier ones are recorded: each commit is matched with the ends that it contains, and
//! never with a position in a queue, since proposals may be rejected while earlier ones are being committed.

use std::collections::BTreeMap;

use bronzespoke_control::cell;

/// Reported ends of one incarnation of a worker.
#[derive(Debug, Default)]
pub struct Ends {
    /// Highest number that was reported.
    reported: u64,
    /// Ends that are not recorded, by number.
    unrecorded: BTreeMap<u64, cell::End>,
}

impl Ends {
    /// Returns whether an end is reported for the first time.
    pub const fn is_new(&self, number: u64) -> bool {
        number > self.reported
    }

    /// Adds an end that is reported for the first time.
    pub fn add(&mut self, number: u64, end: cell::End) {
        self.reported = self.reported.max(number);
        self.unrecorded.insert(number, end);
    }

    /// Handles the commit of ends. Of equal ends, each is recorded.
    pub fn commit(&mut self, ends: &[cell::End]) {
        self.unrecorded.retain(|_, unrecorded| !ends.contains(unrecorded));
    }

    /// Returns the number up to which all ends are recorded.
    pub fn recorded(&self) -> u64 {
        match self.unrecorded.first_key_value() {
            Some((number, _)) => number - 1,
            None => self.reported,
        }
    }
}
