//! Runs that may exist on a worker although the leader does not count on them.
//!
//! Guards against directives that are carried out seconds late: a start without an answer may reach the next
//! incarnation of its worker, which has the same name and does not know the run. The new incarnation is therefore
//! directed to stop such runs before they exist, which makes it refuse them. Until it acknowledges this, their
//! resources count as used.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bronzespoke_model::resource;
use bronzespoke_workload::directive;

/// Maximum delay after which a directive without an answer may still be carried out; the platform states 12 s.
pub(crate) const MAX_DELAY: Duration = Duration::from_secs(13);
/// Pause before stops are sent again.
const STOP_RETRY: Duration = Duration::from_millis(500);
/// How long a reported run counts as active; the next report arrives sooner.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// A start that the worker has not acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// Task of the run.
    pub task: directive::Task,
    /// Number of the run.
    pub run: directive::Run,
    /// Resources that the run uses.
    pub size: resource::Amount,
    /// Latest time at which its directive may have been sent.
    pub sent: Duration,
}

impl Start {
    /// Returns the time after which the directive is not carried out any more.
    pub const fn expires_at(&self) -> Duration {
        self.sent.saturating_add(MAX_DELAY)
    }
}

/// Worker whose next incarnation may carry out an earlier start of a task, and the time until which it may.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Late {
    /// Name of the worker; empty if it is not known.
    pub worker: String,
    /// Time after which no start of the task is carried out any more.
    pub until: Duration,
}

/// Unacknowledged starts by name of the worker.
#[derive(Debug, Default)]
pub struct Unacknowledged {
    workers: HashMap<String, Vec<Start>>,
    /// The newest start of each task.
    tasks: HashMap<directive::Task, Late>,
}

impl Unacknowledged {
    /// Records a start that was not acknowledged.
    pub fn record(&mut self, worker: &str, start: Start) {
        let late = self.tasks.entry(start.task).or_insert(Late {
            worker: String::from(worker),
            until: Duration::ZERO,
        });
        if start.expires_at() > late.until {
            late.worker = String::from(worker);
            late.until = start.expires_at();
        }
        match self.workers.get_mut(worker) {
            Some(starts) => {
                starts.retain(|known| start.sent < known.sent + MAX_DELAY);
                starts.push(start);
            }
            None => {
                self.workers.insert(String::from(worker), vec![start]);
            }
        }
    }

    /// Returns the newest unacknowledged start of a run.
    pub fn newest(&self, worker: &str, task: directive::Task, run: directive::Run) -> Option<Start> {
        let starts = self.workers.get(worker)?;
        let mut newest = starts.iter().rev();
        newest
            .find(|start| start.task == task && start.run == run)
            .copied()
    }

    /// Returns where a start of a task may still be carried out.
    pub fn late(&self, task: directive::Task, now: Duration) -> Option<&Late> {
        self.tasks.get(&task).filter(|late| now < late.until)
    }

    /// Handles a report that lists the newest run of a task, or its end: its start counts as acknowledged for the next
    /// run. If the worker is lost, the start may still have been repeated.
    pub fn confirm(&mut self, task: directive::Task) {
        self.tasks.remove(&task);
    }

    /// Removes the starts to a worker that no next incarnation can receive.
    pub fn forget_worker(&mut self, worker: &str) {
        self.workers.remove(worker);
        self.tasks.retain(|_, late| late.worker != worker);
    }

    /// Removes the starts that are not carried out any more.
    pub fn forget_expired(&mut self, now: Duration) {
        self.tasks.retain(|_, late| now < late.until);
        self.workers.retain(|_, starts| {
            starts.retain(|start| now < start.expires_at());
            !starts.is_empty()
        });
    }

    /// Returns the starts that the next incarnation of a worker may still carry out.
    pub fn outstanding(&self, worker: &str, now: Duration) -> Vec<Start> {
        let starts = self.workers.get(worker).map(Vec::as_slice).unwrap_or_default();
        let open = starts.iter().filter(|start| now < start.expires_at());
        open.copied().collect()
    }
}

/// A run that should not be on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Orphan {
    size: resource::Amount,
    /// Time until which it counts at the latest.
    until: Duration,
    /// Whether the newest report lists it.
    is_listed: bool,
    /// Time at which the worker acknowledged the stop. The stop itself takes time, during which the resources remain
    /// in use.
    stop_acknowledged_at: Option<Duration>,
}

/// Runs that a worker has or may get although they should not be there.
#[derive(Debug, Default)]
pub struct Orphans {
    runs: BTreeMap<(directive::Task, directive::Run), Orphan>,
    stops_sent_at: Duration,
}

impl Orphans {
    /// Adds a start that may still take effect.
    pub fn expect(&mut self, start: &Start) {
        let orphan = Orphan {
            size: start.size,
            until: start.expires_at(),
            is_listed: false,
            stop_acknowledged_at: None,
        };
        self.runs.insert((start.task, start.run), orphan);
    }

    /// Updates the orphans from a report that was requested at `sent` and lists the given orphans with their sizes.
    pub fn observe(
        &mut self,
        now: Duration,
        sent: Duration,
        running: &[((directive::Task, directive::Run), resource::Amount)],
    ) {
        let is_there =
            |key: &(directive::Task, directive::Run)| running.iter().any(|(other, _)| other == key);
        self.runs.retain(|key, orphan| {
            let is_gone = orphan.stop_acknowledged_at.is_some_and(|at| sent > at) && !is_there(key);
            orphan.is_listed = is_there(key);
            now < orphan.until && !is_gone
        });
        for (key, size) in running {
            let until = now + MAX_REPORT_AGE;
            let orphan = self.runs.entry(*key).or_insert(Orphan {
                size: *size,
                until,
                is_listed: true,
                stop_acknowledged_at: None,
            });
            orphan.size = *size;
            orphan.until = orphan.until.max(until);
        }
    }

    /// Returns the runs that the newest report lists.
    pub fn listed(&self) -> impl Iterator<Item = (directive::Task, directive::Run)> {
        let listed = self.runs.iter().filter(|(_, orphan)| orphan.is_listed);
        listed.map(|(key, _)| *key)
    }

    /// Returns the runs for which a stop has to be sent now; it is repeated until the worker acknowledges it.
    pub fn due_stops(&mut self, now: Duration) -> Vec<(directive::Task, directive::Run)> {
        let open = self
            .runs
            .iter()
            .filter(|(_, orphan)| orphan.stop_acknowledged_at.is_none());
        let open: Vec<_> = open.map(|(key, _)| *key).collect();
        if open.is_empty() || now < self.stops_sent_at + STOP_RETRY {
            return Vec::new();
        }
        self.stops_sent_at = now;
        open
    }

    /// Records that the worker has acknowledged the stop of a run: it is stopping the run, or refuses it from now on.
    pub fn stop_acknowledged(&mut self, now: Duration, task: directive::Task, run: directive::Run) {
        if let Some(orphan) = self.runs.get_mut(&(task, run)) {
            orphan.stop_acknowledged_at.get_or_insert(now);
        }
    }

    /// Returns the resources that the orphans use.
    pub fn used(&self) -> resource::Amount {
        let sizes = self.runs.values().map(|orphan| orphan.size);
        sizes.fold(resource::Amount::ZERO, crate::worker::add)
    }
}
