//! Starts that this replica has applied recently.
//!
//! Only the leader that sends a start learns whether the worker has acknowledged it. The next leader treats every start as
//! unacknowledged that was sent within the maximum delay of a directive before its election.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_workload::directive;

use crate::{dispatch, orphan};

/// Time after the record of a start in which it, or a repetition of it, may be carried out.
const WINDOW: Duration = dispatch::START_LEASE.saturating_add(orphan::MAX_DELAY);
/// Maximum number of starts that are remembered; the target of 2,500 starts per second needs 40,000.
const MAX_STARTS: usize = 1 << 16;

/// Starts that this replica has applied, with the local time of each. A replica applies a start after the leader has
/// recorded it, so that these times are never too early.
#[derive(Debug)]
pub struct Starts {
    /// Time since which no start was forgotten.
    complete_from: Duration,
    starts: VecDeque<(Duration, cell::Start)>,
}

impl Starts {
    /// Creates the record of a replica whose state was restored at a time: it does not know when earlier starts were
    /// recorded.
    pub const fn new(now: Duration) -> Self {
        Self {
            complete_from: now,
            starts: VecDeque::new(),
        }
    }

    /// Remembers the starts in a command that is applied now.
    pub fn observe(&mut self, now: Duration, command: &cell::Command) {
        let cell::Command::Start(starts) = command else {
            return;
        };
        let applied = starts.iter().map(|start| (now, *start));
        self.starts.extend(applied);
        let excess = self.starts.len().saturating_sub(MAX_STARTS);
        self.forget(excess);
        let expired = self
            .starts
            .partition_point(|(applied_at, ..)| now > *applied_at + WINDOW);
        self.forget(expired);
    }

    fn forget(&mut self, count: usize) {
        for (applied_at, ..) in self.starts.drain(..count) {
            self.complete_from = applied_at;
        }
    }

    /// Returns when the directives of runs were sent at the latest.
    pub(crate) fn sent(&self, now: Duration) -> Sent {
        let starts = self.starts.iter();
        Sent {
            now,
            complete_from: self.complete_from,
            starts: starts
                .map(|(applied_at, start)| ((start.task, start.run), (*applied_at, start.worker)))
                .collect(),
        }
    }
}

/// Times at which the directives of runs were sent at the latest.
#[derive(Debug)]
pub(crate) struct Sent {
    now: Duration,
    complete_from: Duration,
    starts: HashMap<(directive::Task, directive::Run), (Duration, cell::WorkerIndex)>,
}

impl Sent {
    /// Returns the time after which no leader has sent the start of a run.
    pub(crate) fn latest(&self, task: directive::Task, run: directive::Run) -> Duration {
        let known = self.starts.get(&(task, run));
        let applied_at = known.map_or(self.complete_from, |(applied_at, _)| *applied_at);
        self.now.min(applied_at.saturating_add(dispatch::START_LEASE))
    }

    /// Returns the worker to which the start of a run was sent, if that is known.
    pub(crate) fn worker(&self, task: directive::Task, run: directive::Run) -> Option<cell::WorkerIndex> {
        let (_, worker) = self.starts.get(&(task, run))?;
        Some(*worker)
    }
}
