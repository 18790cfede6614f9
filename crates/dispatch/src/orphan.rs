//! Starts that may take effect though nobody counts on them.
//!
//! Answers orders that are carried out seconds late: a start without an answer may reach the next life of its worker, which has
//! the same name and knows nothing of it. The new life is told to stop such runs before it has them, which makes it refuse them, and
//! until that is answered their room counts as used.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bronzespoke_model::resource;
use bronzespoke_workload::directive;

/// How long an unanswered order may still be carried out; the platform states 12 s.
const LATEST: Duration = Duration::from_secs(13);

/// A start that got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// Task.
    pub task: directive::Task,
    /// Number of the start.
    pub run: directive::Run,
    /// What it uses.
    pub size: resource::Amount,
    /// When its order may have been sent last.
    pub sent: Duration,
}

impl Start {
    /// Time after which the order is not carried out any more.
    pub const fn expires_at(&self) -> Duration {
        self.sent.saturating_add(LATEST)
    }
}

/// Unanswered starts by name of the worker.
#[derive(Debug, Default)]
pub struct Unacknowledged {
    workers: HashMap<String, Vec<Start>>,
}

impl Unacknowledged {
    /// Notes a start that got no answer.
    pub fn record(&mut self, worker: &str, start: Start) {
        match self.workers.get_mut(worker) {
            Some(starts) => {
                starts.retain(|known| start.sent < known.sent + LATEST);
                starts.push(start);
            }
            None => {
                self.workers.insert(String::from(worker), vec![start]);
            }
        }
    }

    /// Returns the newest start of a run that got no answer.
    pub fn newest(&self, worker: &str, task: directive::Task, run: directive::Run) -> Option<Start> {
        let starts = self.workers.get(worker)?;
        let mut newest = starts.iter().rev();
        newest
            .find(|start| start.task == task && start.run == run)
            .copied()
    }

    /// Returns the starts that the next life of a worker may still carry out.
    pub fn of(&self, worker: &str, now: Duration) -> Vec<Start> {
        let starts = self.workers.get(worker).map(Vec::as_slice).unwrap_or_default();
        let open = starts.iter().filter(|start| now < start.expires_at());
        open.copied().collect()
    }
}

/// A run that is not meant to be there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Orphan {
    size: resource::Amount,
    /// It counts until this time at the latest.
    until: Duration,
    /// When the worker answered the order to stop it. The stop itself takes time, and the room is taken until then.
    stopped: Option<Duration>,
}

/// Runs that a worker has or may get without being meant to.
#[derive(Debug, Default)]
pub struct Orphans {
    runs: BTreeMap<(directive::Task, directive::Run), Orphan>,
    told: Duration,
}

impl Orphans {
    /// Adds a start that may still take effect.
    pub fn expect(&mut self, start: &Start) {
        let orphan = Orphan {
            size: start.size,
            until: start.expires_at(),
            stopped: None,
        };
        self.runs.insert((start.task, start.run), orphan);
    }

    /// Takes from a report, which was asked for at `sent`, which unmeant runs are there, with their sizes.
    pub fn observe(
        &mut self,
        now: Duration,
        sent: Duration,
        running: &[((directive::Task, directive::Run), resource::Amount)],
    ) {
        let is_there =
            |key: &(directive::Task, directive::Run)| running.iter().any(|(other, _)| other == key);
        self.runs.retain(|key, orphan| {
            let gone = orphan.stopped.is_some_and(|at| sent > at) && !is_there(key);
            now < orphan.until && !gone
        });
        for (key, size) in running {
            let until = now + REPORT_AGE;
            let orphan = self.runs.entry(*key).or_insert(Orphan {
                size: *size,
                until,
                stopped: None,
            });
            orphan.size = *size;
            orphan.until = orphan.until.max(until);
        }
    }

    /// Returns the runs that the worker has to be told to stop now, and again until it answers.
    pub fn due(&mut self, now: Duration) -> Vec<(directive::Task, directive::Run)> {
        let open = self.runs.iter().filter(|(_, orphan)| orphan.stopped.is_none());
        let open: Vec<_> = open.map(|(key, _)| *key).collect();
        if open.is_empty() || now < self.told + RETRY {
            return Vec::new();
        }
        self.told = now;
        open
    }

    /// Notes that the worker has taken the order to stop a run: it refuses the run from now on, or is stopping it.
    pub fn settle(&mut self, now: Duration, task: directive::Task, run: directive::Run) {
        if let Some(orphan) = self.runs.get_mut(&(task, run)) {
            orphan.stopped.get_or_insert(now);
        }
    }

    /// Room that they take.
    pub fn used(&self) -> resource::Amount {
        let sizes = self.runs.values().map(|orphan| orphan.size);
        sizes.fold(resource::Amount::ZERO, crate::worker::add)
    }
}

/// Pause before a worker is told again.
const RETRY: Duration = Duration::from_millis(500);

/// How long a run counts as at work that a report has listed; the next report comes sooner.
pub(crate) const REPORT_AGE: Duration = Duration::from_secs(3);
