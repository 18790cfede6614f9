//! Merges the events of all processes into one timeline.

use std::{collections::BTreeMap, net::SocketAddr};

use bronzespoke_model::event;
use serde::{Deserialize, Serialize};

use super::read;

/// The merged timeline.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Events without duplicates, in order of stamp, process and sequence number.
    pub events: Vec<event::Event>,
    /// Processes whose event ring has overwritten events before they were read.
    pub lost: Vec<Loss>,
    /// Processes whose timeline could not be read.
    pub unreachable: Vec<Unreachable>,
}

/// Number of events that the ring of one process has lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// Name of the VM that the process runs on.
    pub process: String,
    /// Number of lost events.
    pub count: u64,
}

/// Process whose timeline could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unreachable {
    /// Name of the VM, or its address if the name is unknown.
    pub name: String,
    /// Address that was tried.
    pub address: SocketAddr,
    /// Cause of the failure.
    pub reason: String,
}

impl Loss {
    /// Returns the message for people.
    pub fn message(&self) -> String {
        format!("the ring of {} has lost {} events", self.process, self.count)
    }
}

impl Unreachable {
    /// Returns the message for people.
    pub fn message(&self) -> String {
        format!(
            "{} at {} does not answer: {}",
            self.name, self.address, self.reason
        )
    }
}

/// Merges readings. An event that is in two readings appears once; missing sequence numbers count as lost events.
///
/// A process is read twice if the directory lists it under an address other than the one given by the operator.
pub fn merge(readings: Vec<Result<read::Reading, Unreachable>>) -> History {
    let mut history = History::default();
    let mut lost = BTreeMap::<String, u64>::new();
    for reading in readings {
        match reading {
            Ok(reading) => {
                let gaps = reading.lost + gaps(&reading.events);
                let count = lost.entry(reading.process).or_default();
                *count = gaps.max(*count);
                history.events.extend(reading.events);
            }
            Err(unreachable) => history.unreachable.push(unreachable),
        }
    }
    history.events.sort_by(|left, right| key(left).cmp(&key(right)));
    history.events.dedup_by(|left, right| key(left) == key(right));
    history
        .unreachable
        .sort_by(|left, right| left.name.cmp(&right.name));
    let lost = lost.into_iter().filter(|(_, count)| *count > 0);
    history.lost = lost.map(|(process, count)| Loss { process, count }).collect();
    history
}

/// Counts sequence numbers that are missing between events of one process.
fn gaps(events: &[event::Event]) -> u64 {
    let pairs = events.iter().zip(events.iter().skip(1));
    pairs
        .map(|(left, right)| right.sequence.saturating_sub(left.sequence + 1))
        .sum()
}

fn key(event: &event::Event) -> (bronzespoke_model::stamp::Stamp, &str, u64) {
    (event.stamp, &event.process, event.sequence)
}
