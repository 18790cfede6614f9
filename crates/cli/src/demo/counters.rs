//! Counters of the demo: work accepted, completed, lost and run twice, and checks that failed.

use std::time::Duration;

/// Counters and check results of one run of the demo.
#[derive(Debug, Default)]
pub struct Counters {
    /// Number of accepted requests and jobs.
    pub accepted: u64,
    /// Number of accepted requests and jobs that completed with a full answer.
    pub completed: u64,
    /// Number of repeated runs of work that must run only once.
    pub doubled: u64,
    /// Guarantees that were violated.
    pub violations: Vec<String>,
    /// Fraction of the processors of a full zone that were in use while work waited; `None` if not measured.
    pub packing: Option<f64>,
    /// Team, its share by weight, and its measured share while all teams had work waiting.
    pub shares: Vec<(&'static str, f64, f64)>,
    /// Kind and waiting time of each request and job.
    pub waits: Vec<(&'static str, Duration)>,
}

impl Counters {
    /// Records an accepted request or job, and whether it was completed.
    pub fn record(&mut self, kind: &'static str, completed: bool, wait: Duration) {
        self.accepted += 1;
        self.completed += u64::from(completed);
        self.waits.push((kind, wait));
        if !completed {
            self.violations
                .push(format!("one {kind} was accepted and not completed"));
        }
    }

    /// Records and prints whether a guarantee held.
    pub fn check(&mut self, holds: bool, guarantee: &str) {
        println!("  {} {guarantee}", if holds { "held:  " } else { "BROKEN:" });
        if !holds {
            self.violations.push(String::from(guarantee));
        }
    }

    /// Returns the number of accepted requests and jobs that were not completed.
    pub const fn lost(&self) -> u64 {
        self.accepted - self.completed
    }

    /// Returns whether all guarantees held.
    pub const fn holds(&self) -> bool {
        self.violations.is_empty() && self.lost() == 0 && self.doubled == 0
    }

    /// Returns the number of waits of a kind, and the median and largest waiting time.
    pub fn wait_summary(&self, kind: &str) -> Option<(usize, Duration, Duration)> {
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
