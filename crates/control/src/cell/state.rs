//! Tables of the cell state, reads and snapshots.

use std::{
    borrow::Cow,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use bronzespoke_model::id;
use bronzespoke_workload::{catalog, directive, job, worker};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{former, learned, withdrawn};
use crate::{envelope, error};

/// Number of the format of snapshots, in their first byte.
const FORMAT: u8 = 4;
/// Number of the format before it, and how many collections and counters at the end of the state it lacks.
const THIRD_FORMAT: (u8, usize) = (3, 2);
/// The same of the format before that.
const SECOND_FORMAT: (u8, usize) = (2, 6);

/// Maximum number of occurrences of a job that begin with one start.
const MAX_BEGUN_TOGETHER: u32 = 256;

/// Index of an incarnation of a worker. Assigned consecutively and never reused.
pub type WorkerIndex = u32;

/// State of the cell after a prefix of its log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Newest configuration.
    pub(super) catalog: Option<Arc<catalog::Catalog>>,
    /// Document from which the catalog was decoded.
    pub(super) document: Bytes,
    /// Registered incarnations of workers.
    pub(super) workers: BTreeMap<WorkerIndex, Registered>,
    /// Index of the next incarnation to register.
    pub(super) next_worker: WorkerIndex,
    /// All jobs that are retained.
    pub(super) jobs: BTreeMap<job::Key, Job>,
    /// Jobs that are not in a final phase or have runs that have not ended.
    pub(super) active: BTreeSet<job::Key>,
    /// Number of jobs of each queue of which no task has started.
    pub(super) pending: BTreeMap<String, u64>,
    /// Addresses for connections between daemons, by VM.
    pub(super) peers: BTreeMap<id::VmId, SocketAddr>,
    /// Newest order about each availability zone that has been evacuated or readmitted.
    pub(super) zones: BTreeMap<String, ZoneOrder>,
    /// Number of orders about zones that were recorded.
    pub(super) zone_orders: u64,
    /// Observed speeds by the name of the machine.
    pub(super) speeds: BTreeMap<String, learned::Speed>,
    /// Past use by the name of the team.
    pub(super) past_use: BTreeMap<String, learned::PastUse>,
    /// Cancellations of jobs that do not exist.
    pub(super) withdrawn: withdrawn::Withdrawn,
}

/// Newest order about an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ZoneOrder {
    /// Number of the order among those about all zones.
    pub(super) number: u64,
    /// Wall time in milliseconds since the Unix epoch since which the zone is evacuated; `None` if it is not.
    pub(super) evacuated_ms: Option<u64>,
}

/// A registered incarnation of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registered {
    /// Name and start time of the process.
    #[serde(rename = "life")]
    pub incarnation: worker::Incarnation,
    /// Address, pool, place and capacity.
    pub worker: Arc<worker::Worker>,
    /// Whether the worker accepts no new tasks because it is leaving.
    pub draining: bool,
    /// Whether an earlier incarnation with the same name was still registered. Directives to that one may have reached
    /// this one.
    pub succeeds: bool,
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Id chosen by the caller.
    pub key: job::Key,
    /// Queue as configured at the submission.
    pub queue: Arc<catalog::Queue>,
    /// Team that submitted the job; `None` on an open queue.
    pub team: Option<String>,
    /// Steps and schedule of the job.
    pub submission: Arc<job::Submission>,
    /// Wall time of the submission in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Wall time at which the job finished in milliseconds since the Unix epoch; 0 until then.
    pub finished_ms: u64,
    /// Phase that is reported to callers.
    pub phase: job::Phase,
    /// Number of occurrences that have begun; those with this index and higher ones have no progress. A job without a
    /// schedule has one occurrence, which begins with the submission; others begin with their first start.
    pub begun: u32,
    /// Progress of the occurrences that have begun, except those that were completed before the job ended.
    pub open: BTreeMap<u32, Occurrence>,
    /// Runs that are placed and have not ended.
    pub placed: u32,
}

/// One occurrence of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    /// Progress of each step, in the order of the submission.
    pub steps: Vec<Step>,
}

/// Progress of a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks that are not done.
    #[serde(rename = "left")]
    pub remaining: u32,
    /// Number of tasks that are placed on a worker.
    pub placed: u32,
    /// Number of failed runs of a gang.
    pub failures: u32,
    /// Newest failed run of a gang, so that the failures of several members in one run count once.
    pub failed_run: directive::Run,
    /// Highest run number of any task. All members of a gang share a run number.
    pub run: directive::Run,
    /// Newest checkpoint of a gang, valid for every member.
    pub checkpoint: Option<Bytes>,
    /// Progress of each task, by index.
    pub tasks: Vec<Task>,
}

/// Progress of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Task {
    /// Number of the newest run; 0 before the first.
    pub run: directive::Run,
    /// Number of failed runs.
    pub failures: u32,
    /// Highest number of a failed run, so that a repeated report is not counted again.
    pub failed_run: directive::Run,
    /// Whether a run of the task succeeded.
    pub done: bool,
    /// Worker on which the newest run is placed, until that run has ended.
    pub placed: Option<WorkerIndex>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Bytes>,
}

impl State {
    /// Returns the newest configuration.
    pub fn catalog(&self) -> Option<&Arc<catalog::Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the document of the newest configuration.
    pub fn document(&self) -> &Bytes {
        &self.document
    }

    /// Returns the registered incarnations of workers.
    pub fn workers(&self) -> &BTreeMap<WorkerIndex, Registered> {
        &self.workers
    }

    /// Returns the job with an id.
    pub fn job(&self, key: job::Key) -> Option<&Job> {
        self.jobs.get(&key)
    }

    /// Returns all jobs that are retained.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns the jobs that are not in a final phase or have runs that have not ended.
    pub fn active(&self) -> impl Iterator<Item = &Job> {
        self.active.iter().filter_map(|key| self.jobs.get(key))
    }

    /// Returns the number of jobs of a queue of which no task has started.
    pub fn pending(&self, queue: &str) -> u64 {
        self.pending.get(queue).copied().unwrap_or_default()
    }

    /// Returns the peer addresses of VMs.
    pub fn peers(&self) -> &BTreeMap<id::VmId, SocketAddr> {
        &self.peers
    }

    /// Returns the availability zones whose evacuation is in force, each with the wall time in milliseconds since the
    /// Unix epoch at which it was ordered.
    pub fn evacuated(&self) -> impl Iterator<Item = (&str, u64)> {
        let zones = self.zones.iter();
        zones.filter_map(|(zone, order)| Some((zone.as_str(), order.evacuated_ms?)))
    }

    /// Returns whether the evacuation of an availability zone is in force.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let order = self.zones.get(zone);
        order.is_some_and(|order| order.evacuated_ms.is_some())
    }

    /// Returns whether an order about an availability zone was recorded and is remembered.
    pub fn has_zone_order(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Returns the number of orders about zones that were recorded; orders that a daemon received at this state name it.
    pub const fn zone_orders(&self) -> u64 {
        self.zone_orders
    }

    /// Returns the milliseconds for which a submission is refused, because its job was cancelled before.
    pub fn withdrawn_for(&self, at_ms: u64, key: job::Key, team: Option<&str>) -> Option<u64> {
        let until_ms = self.withdrawn.until(at_ms, key, team)?;
        Some(until_ms - at_ms)
    }

    /// Returns the observed speeds by the name of the machine.
    pub fn speeds(&self) -> &BTreeMap<String, learned::Speed> {
        &self.speeds
    }

    /// Returns the past use by the name of the team.
    pub fn past_use(&self) -> &BTreeMap<String, learned::PastUse> {
        &self.past_use
    }

    /// Returns the queue of a job as configured now or, if it was removed, as configured at the submission.
    pub fn queue_of<'a>(&'a self, job: &'a Job) -> &'a catalog::Queue {
        let current = self.catalog.as_ref();
        let found = current.and_then(|catalog| catalog.queue(&job.queue.name));
        found.unwrap_or(&job.queue)
    }

    /// Returns the progress of a task.
    pub fn task(&self, task: directive::Task) -> Option<&Task> {
        let step = self.step(task.job, task.occurrence, task.step)?;
        step.tasks.get(task.index as usize)
    }

    /// Returns the submitted specification of a task's step.
    pub fn spec(&self, task: directive::Task) -> Option<&job::Step> {
        let steps = &self.jobs.get(&task.job)?.submission.steps;
        steps.get(usize::from(task.step))
    }

    /// Returns the progress of a step.
    pub fn step(&self, job: job::Key, occurrence: u32, step: u16) -> Option<&Step> {
        let occurrence = self.jobs.get(&job)?.open.get(&occurrence)?;
        occurrence.steps.get(usize::from(step))
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Bytes {
        envelope::to_bytes(&(FORMAT, self))
    }

    /// Decodes the state from a snapshot, also from one in a former format.
    pub fn decode(bytes: &[u8]) -> Result<Self, error::Error> {
        match bytes.split_first() {
            Some((&FORMAT, rest)) => envelope::from_bytes(rest),
            Some((format, rest)) if *format == THIRD_FORMAT.0 => extended(rest, THIRD_FORMAT.1),
            Some((format, rest)) if *format == SECOND_FORMAT.0 => extended(rest, SECOND_FORMAT.1),
            // The first format has no number. It begins with an optional configuration: 0 or 1.
            Some((0 | 1, _)) => envelope::from_bytes::<former::State>(bytes).map(Self::from),
            Some((format, _)) => {
                let detail =
                    format!("the format of the snapshot is {format}; {FORMAT} and older ones are read");
                Err(error::Error::Format(detail))
            }
            None => Err(error::Error::Format(String::from("the snapshot is empty"))),
        }
    }
}

/// Decodes a state without its last fields. An empty collection is encoded as its length, and a counter as its value: 0.
fn extended(bytes: &[u8], missing: usize) -> Result<State, error::Error> {
    let mut extended = bytes.to_vec();
    extended.resize(bytes.len() + missing, 0);
    envelope::from_bytes(&extended)
}

impl Job {
    /// Returns whether a team, or a caller without one, may see and cancel the job.
    pub fn is_visible(&self, team: Option<&str>) -> bool {
        self.team.is_none() || self.team.as_deref() == team
    }

    /// Returns whether the job is in a final phase, in which no task is started.
    pub const fn is_final(&self) -> bool {
        matches!(
            self.phase,
            job::Phase::Completed | job::Phase::Failed | job::Phase::Cancelled
        )
    }

    /// Returns whether all steps that a step depends on are done.
    pub fn is_ready(&self, occurrence: u32, step: u16) -> bool {
        let after = &self.submission.steps[usize::from(step)].after;
        match self.open.get(&occurrence) {
            Some(progress) => {
                let mut before = after.iter().map(|other| &progress.steps[usize::from(*other)]);
                before.all(|step| step.remaining == 0)
            }
            None => after.is_empty(),
        }
    }

    /// Returns the progress of a step; `None` if its occurrence is completed or does not exist.
    pub fn progress(&self, occurrence: u32, step: u16) -> Option<Cow<'_, Step>> {
        let step = usize::from(step);
        if occurrence < self.begun {
            return self.open.get(&occurrence)?.steps.get(step).map(Cow::Borrowed);
        }
        let spec = self.submission.steps.get(step)?;
        (occurrence < self.submission.occurrences()).then(|| Cow::Owned(Step::new(spec)))
    }

    /// Returns whether an occurrence can begin.
    ///
    /// Occurrences begin in the order of their due times, and the progress of all that are open takes no more room than
    /// that of the largest job without a schedule.
    pub fn may_begin(&self, occurrence: u32) -> bool {
        let Some(earlier) = occurrence.checked_sub(self.begun) else {
            return false;
        };
        if occurrence >= self.submission.occurrences() || earlier >= MAX_BEGUN_TOGETHER {
            return false;
        }
        let open = self.open.len() as u64 + u64::from(earlier) + 1;
        open == 1 || open * u64::from(self.submission.tasks()) <= u64::from(job::MAX_TASKS)
    }

    /// Begins an occurrence, and the earlier ones that have not begun.
    pub(super) fn begin(&mut self, occurrence: u32) {
        for begun in self.begun..=occurrence {
            let occurrence = Occurrence::new(&self.submission);
            self.open.insert(begun, occurrence);
        }
        self.begun = self.begun.max(occurrence + 1);
    }

    /// Returns a job that was accepted at `at_ms` and of which no task has started.
    pub(super) fn new(
        key: job::Key,
        queue: Arc<catalog::Queue>,
        team: Option<String>,
        submission: Arc<job::Submission>,
        at_ms: u64,
    ) -> Self {
        let is_immediate = submission.schedule.is_none();
        let mut job = Self {
            key,
            queue,
            team,
            submission,
            submitted_ms: at_ms,
            finished_ms: 0,
            phase: job::Phase::Queued,
            begun: 0,
            open: BTreeMap::new(),
            placed: 0,
        };
        if is_immediate {
            job.begin(0);
        }
        job
    }
}

impl Occurrence {
    fn new(submission: &job::Submission) -> Self {
        Self {
            steps: submission.steps.iter().map(Step::new).collect(),
        }
    }

    /// Returns whether all tasks are done.
    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.remaining == 0)
    }

    /// Returns whether all tasks are done and no run is left.
    pub(super) fn is_completed(&self) -> bool {
        self.is_done() && self.steps.iter().all(|step| step.placed == 0)
    }
}

impl Step {
    fn new(step: &job::Step) -> Self {
        Self {
            remaining: step.tasks,
            placed: 0,
            failures: 0,
            failed_run: 0,
            run: 0,
            checkpoint: None,
            tasks: vec![Task::default(); step.tasks as usize],
        }
    }
}
