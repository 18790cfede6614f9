//! Counts of the demo: what was accepted, completed, lost and doubled, and which promises held.

use std::time::Duration;

/// Counts and findings.
#[derive(Debug, Default)]
pub struct Tally {
    /// Requests and jobs that were accepted.
    pub accepted: u64,
    /// Accepted ones that were completed and answered in full.
    pub completed: u64,
    /// Work that ran more than once although it must not.
    pub doubled: u64,
    /// Promises that did not hold.
    pub broken: Vec<String>,
    /// Share of the processors of a full zone in use while work waited.
    pub packing: Option<f64>,
    /// Team, its weighted share and the share that it got while work of all teams waited.
    pub shares: Vec<(&'static str, f64, f64)>,
    /// Waiting time of each request and job, by kind.
    pub waits: Vec<(&'static str, Duration)>,
}

impl Tally {
    /// Counts one accepted request or job.
    pub fn count(&mut self, kind: &'static str, completed: bool, wait: Duration) {
        self.accepted += 1;
        self.completed += u64::from(completed);
        self.waits.push((kind, wait));
        if !completed {
            self.broken
                .push(format!("one {kind} was accepted and not completed"));
        }
    }

    /// Notes whether a promise held.
    pub fn check(&mut self, holds: bool, promise: &str) {
        println!("  {} {promise}", if holds { "held:  " } else { "BROKEN:" });
        if !holds {
            self.broken.push(String::from(promise));
        }
    }

    /// Accepted work that was not completed.
    pub const fn lost(&self) -> u64 {
        self.accepted - self.completed
    }

    /// Tells whether every promise held.
    pub const fn holds(&self) -> bool {
        self.broken.is_empty() && self.lost() == 0 && self.doubled == 0
    }

    /// Median and largest waiting time of a kind.
    pub fn wait_of(&self, kind: &str) -> Option<(usize, Duration, Duration)> {
        let mut waits: Vec<_> = self
            .waits
            .iter()
            .filter(|wait| wait.0 == kind)
            .map(|wait| wait.1)
            .collect();
        waits.sort_unstable();
        let largest = *waits.last()?;
        Some((waits.len(), waits[waits.len() / 2], largest))
    }
}
