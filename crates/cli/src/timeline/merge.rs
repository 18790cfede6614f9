//! Merges the readings of all processes.

use std::{collections::BTreeMap, net::SocketAddr};

use bronzespoke_model::event;
use serde::{Deserialize, Serialize};

use super::read;

/// The merged timeline.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Events in order of stamp, process and sequence number, each once.
    pub events: Vec<event::Event>,
    /// Processes whose ring has lost events.
    pub lost: Vec<Loss>,
    /// Processes that did not answer.
    pub unreachable: Vec<Unreachable>,
}

/// Events that a ring has lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// Name of the VM.
    pub process: String,
    /// Number of events.
    pub count: u64,
}

/// A process that did not answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unreachable {
    /// Name of the VM, or its address when the name is not known.
    pub name: String,
    /// Address that was tried.
    pub address: SocketAddr,
    /// Why there is no answer.
    pub reason: String,
}

impl Loss {
    /// Says what was lost.
    pub fn sentence(&self) -> String {
        format!("the ring of {} has lost {} events", self.process, self.count)
    }
}

impl Unreachable {
    /// Says who did not answer.
    pub fn sentence(&self) -> String {
        format!(
            "{} at {} does not answer: {}",
            self.name, self.address, self.reason
        )
    }
}

/// Merges readings. Events that two readings of one process share appear once; gaps are counted as lost.
///
/// Two readings of one process happen when it is in the directory under another address than the given one.
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
