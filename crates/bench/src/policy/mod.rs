//! Policy measurements, one module per measured package.

use crate::measure;

pub mod consensus;
pub mod control;
pub mod dispatch;
pub mod gossip;
pub mod request;
pub mod schedule;

/// Runs all measurements and returns their rows, ordered by package.
pub fn rows(seed: u64, length: measure::Length) -> Vec<measure::Row> {
    let mut rows = Vec::new();
    rows.extend(consensus::rows(seed, length));
    rows.extend(control::rows(seed, length));
    rows.extend(dispatch::rows(length));
    rows.extend(gossip::rows(seed, length));
    rows.extend(request::rows(seed, length));
    rows.extend(schedule::rows(seed, length));
    rows
}
