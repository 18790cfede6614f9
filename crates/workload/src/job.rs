//! Jobs of dependent steps.

use std::{fmt, time::Duration};

use bronzespoke_model::resource;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Id of a job, chosen by its caller.
pub type Key = u64;

/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 1_000;
/// Maximum number of tasks of a job, over all its steps.
pub const MAX_TASKS: u32 = 100_000;
/// Maximum length of a job's description in bytes.
pub const MAX_SPEC_BYTES: usize = 4_000;

/// Job as a caller submits it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Opaque description that is passed on to the workers.
    pub spec: Bytes,
    /// Steps; a step may depend on earlier ones.
    pub steps: Vec<Step>,
    /// Times at which the steps are repeated; `None` runs them once, immediately.
    pub schedule: Option<Schedule>,
}

/// Periodic repetition of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Due time of the first occurrence, since the Unix epoch.
    pub first: Duration,
    /// Time between the due times of two occurrences.
    pub interval: Duration,
    /// Number of occurrences, at least 1.
    pub times: u32,
}

/// Group of identical tasks in a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each property of a step is independent"
)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that one task uses.
    pub size: resource::Amount,
    /// The caller's rough estimate of the run time of one task.
    pub run_time: Duration,
    /// Indexes of earlier steps that have to be completed first.
    pub after: Vec<u16>,
    /// Whether tasks store checkpoints of their progress.
    pub checkpoints: bool,
    /// Whether the tasks form a gang: all of them have to run at the same time.
    pub gang: bool,
    /// Whether the tasks run longer when they are spread over several racks.
    pub one_rack: bool,
    /// Label that a worker must have.
    pub label: Option<String>,
    /// Rack that holds the data; tasks on other racks run longer.
    pub near_rack: Option<String>,
    /// Maximum number of tasks of the step on one worker; 0 means no limit.
    pub per_worker: u32,
    /// Whether several copies of a task may run at the same time.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// Image that the tasks run; tasks with the same image behave alike.
    pub image: Option<String>,
    /// Target for the tail of the response times of a lasting task.
    pub response_target: Option<Duration>,
    /// Whether the tasks use only processors that are otherwise idle.
    pub fills: bool,
    /// Number of tasks of a lasting step that the scheduler may leave unplaced at the same time.
    pub allowed_absences: Option<u32>,
}

/// State of a job as shown to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// No task has started.
    Queued,
    /// At least one task has started, and the job has not ended.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed in all its attempts.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// Why a submission is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The description is too long; contains its length in bytes.
    Spec(usize),
    /// There is no step, or there are too many; contains their number.
    Steps(usize),
    /// A step has no tasks, or the job has too many; contains the index of the step.
    Tasks(usize),
    /// A step depends on itself, a later step or a missing one; contains the index of the step and of its dependency.
    After(usize, u16),
    /// The schedule has no occurrence.
    Times,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Spec(bytes) => write!(f, "spec has {bytes} bytes; at most {MAX_SPEC_BYTES} are allowed"),
            Self::Steps(count) => write!(f, "the job has {count} steps; 1 to {MAX_STEPS} are allowed"),
            Self::Tasks(step) => {
                write!(
                    f,
                    "step {step}: 1 to {MAX_TASKS} tasks are allowed in all steps together"
                )
            }
            Self::After(step, other) => {
                write!(
                    f,
                    "step {step} comes after step {other}; only earlier steps are allowed"
                )
            }
            Self::Times => f.write_str("the schedule has no occurrence; at least 1 is needed"),
        }
    }
}

impl Schedule {
    /// Returns the due time of an occurrence in milliseconds since the Unix epoch. One beyond the range of the clock is
    /// never due.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        let after = self.interval.as_millis().saturating_mul(u128::from(occurrence));
        let due = self.first.as_millis().saturating_add(after);
        u64::try_from(due).unwrap_or(u64::MAX)
    }
}

impl Submission {
    /// Checks the limits and dependencies.
    pub fn verify(&self) -> Result<(), Error> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return Err(Error::Spec(self.spec.len()));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(Error::Steps(self.steps.len()));
        }
        let mut tasks = 0_u32;
        for (index, step) in self.steps.iter().enumerate() {
            tasks = tasks.saturating_add(step.tasks);
            if step.tasks == 0 || tasks > MAX_TASKS {
                return Err(Error::Tasks(index));
            }
            if let Some(other) = step.after.iter().find(|other| usize::from(**other) >= index) {
                return Err(Error::After(index, *other));
            }
        }
        match self.schedule {
            Some(schedule) if schedule.times == 0 => Err(Error::Times),
            _ => Ok(()),
        }
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Returns the number of tasks of one occurrence.
    pub fn tasks(&self) -> u32 {
        let tasks = self.steps.iter().map(|step| step.tasks);
        tasks.fold(0, u32::saturating_add)
    }

    /// Returns the length of the critical path: the longest chain of run times over dependent steps, where `expected`
    /// maps a stated run time to the expected one.
    pub fn chain(&self, expected: impl Fn(Duration) -> Duration) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let ready = step.after.iter().map(|other| ends[usize::from(*other)]).max();
            ends.push(ready.unwrap_or_default() + expected(step.run_time));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns whether any step runs until the job is cancelled.
    pub fn lasts(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }
}
