//! What the state holds.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use bronzespoke_model::id;
use bronzespoke_workload::{catalog, directive, job, worker};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{envelope, error};

/// Dense number of a life of a worker; never used twice.
pub type WorkerIndex = u32;

/// The state of the cell after an entry of its log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Newest configuration.
    pub(super) catalog: Option<Arc<catalog::Catalog>>,
    /// The operator's document of that configuration.
    pub(super) document: Bytes,
    /// Known lives of workers.
    pub(super) workers: BTreeMap<WorkerIndex, Registered>,
    /// Number of the next life.
    pub(super) next_worker: WorkerIndex,
    /// Jobs that are not forgotten.
    pub(super) jobs: BTreeMap<job::Key, Job>,
    /// Jobs that have not reached a final state, or have runs that have not ended.
    pub(super) active: BTreeSet<job::Key>,
    /// Jobs of each queue of which no task has started.
    pub(super) pending: BTreeMap<String, u64>,
    /// Peer addresses of VMs.
    pub(super) peers: BTreeMap<id::VmId, SocketAddr>,
}

/// A life of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registered {
    /// Life.
    pub life: worker::Incarnation,
    /// What it is.
    pub worker: Arc<worker::Worker>,
    /// Whether it leaves.
    pub draining: bool,
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Id.
    pub key: job::Key,
    /// Queue as it was at the submission.
    pub queue: Arc<catalog::Queue>,
    /// Team.
    pub team: Option<String>,
    /// What to run.
    pub submission: Arc<job::Submission>,
    /// Wall time of the submission in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Wall time of the final state in milliseconds since the Unix epoch; 0 before it.
    pub finished_ms: u64,
    /// State.
    pub phase: job::Phase,
    /// Occurrences.
    pub occurrences: Vec<Occurrence>,
    /// Runs that are placed and have not ended.
    pub placed: u32,
}

/// One occurrence of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    /// Steps in the order of the submission.
    pub steps: Vec<Step>,
}

/// Progress of a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Tasks that are not done.
    #[serde(rename = "left")]
    pub remaining: u32,
    /// Tasks that are placed.
    pub placed: u32,
    /// Failed runs of a gang as a whole.
    pub failures: u32,
    /// Newest failed run of a gang, so that several members count once.
    pub failed_run: directive::Run,
    /// Highest run of any task; all members of a gang share one.
    pub run: directive::Run,
    /// Newest progress of a gang, valid for every member.
    pub checkpoint: Option<Bytes>,
    /// Tasks.
    pub tasks: Vec<Task>,
}

/// Progress of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Task {
    /// Number of the newest start; 0 before the first.
    pub run: directive::Run,
    /// Failed runs.
    pub failures: u32,
    /// Newest failed run.
    pub failed_run: directive::Run,
    /// Whether it is done.
    pub done: bool,
    /// Worker on which the newest run is placed, until that run has ended.
    pub placed: Option<WorkerIndex>,
    /// Progress to resume from.
    pub checkpoint: Option<Bytes>,
}

impl State {
    /// Newest configuration.
    pub fn catalog(&self) -> Option<&Arc<catalog::Catalog>> {
        self.catalog.as_ref()
    }

    /// The operator's document of the newest configuration.
    pub fn document(&self) -> &Bytes {
        &self.document
    }

    /// Known lives of workers.
    pub fn workers(&self) -> &BTreeMap<WorkerIndex, Registered> {
        &self.workers
    }

    /// Returns the newest life of a name.
    pub fn worker_named(&self, name: &str) -> Option<(WorkerIndex, &Registered)> {
        let mut newest = self.workers.iter().rev();
        let found = newest.find(|(_, registered)| registered.life.name == name);
        found.map(|(index, registered)| (*index, registered))
    }

    /// Returns a job.
    pub fn job(&self, key: job::Key) -> Option<&Job> {
        self.jobs.get(&key)
    }

    /// All jobs that are not forgotten.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Jobs with work remaining or runs that have not ended.
    pub fn active(&self) -> impl Iterator<Item = &Job> {
        self.active.iter().filter_map(|key| self.jobs.get(key))
    }

    /// Number of jobs of a queue of which no task has started.
    pub fn pending(&self, queue: &str) -> u64 {
        self.pending.get(queue).copied().unwrap_or_default()
    }

    /// Peer addresses of VMs.
    pub fn peers(&self) -> &BTreeMap<id::VmId, SocketAddr> {
        &self.peers
    }

    /// Returns the queue of a job as it is configured now, or as it was at the submission.
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

    /// Returns what a task's step was submitted as.
    pub fn spec(&self, task: directive::Task) -> Option<&job::Step> {
        let steps = &self.jobs.get(&task.job)?.submission.steps;
        steps.get(usize::from(task.step))
    }

    /// Returns the progress of a step.
    pub fn step(&self, job: job::Key, occurrence: u32, step: u16) -> Option<&Step> {
        let occurrence = self.jobs.get(&job)?.occurrences.get(occurrence as usize)?;
        occurrence.steps.get(usize::from(step))
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Bytes {
        envelope::to_bytes(self)
    }

    /// Decodes a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, error::Error> {
        envelope::from_bytes(bytes)
    }
}

impl Job {
    /// Tells whether no task may be started any more.
    pub const fn is_final(&self) -> bool {
        matches!(
            self.phase,
            job::Phase::Completed | job::Phase::Failed | job::Phase::Cancelled
        )
    }

    /// Tells whether all steps that a step comes after are done.
    pub fn is_ready(&self, occurrence: u32, step: u16) -> bool {
        let steps = &self.occurrences[occurrence as usize].steps;
        let after = &self.submission.steps[usize::from(step)].after;
        after
            .iter()
            .all(|other| steps[usize::from(*other)].remaining == 0)
    }

    /// Creates an accepted job.
    pub(super) fn new(
        key: job::Key,
        queue: Arc<catalog::Queue>,
        team: Option<String>,
        submission: Arc<job::Submission>,
        at_ms: u64,
    ) -> Self {
        let steps = submission.steps.iter().map(Step::new).collect();
        let occurrence = Occurrence { steps };
        let occurrences = vec![occurrence; submission.occurrences() as usize];
        Self {
            key,
            queue,
            team,
            submission,
            submitted_ms: at_ms,
            finished_ms: 0,
            phase: job::Phase::Queued,
            occurrences,
            placed: 0,
        }
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
