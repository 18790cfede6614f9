//! Jobs of dependent steps.

use std::{fmt, time::Duration};

use bronzespoke_model::resource;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Id of a job, chosen by its caller.
pub type Key = u64;

/// Steps that a job may have.
pub const MAX_STEPS: usize = 1_000;
/// Tasks that all steps of a job may have together.
pub const MAX_TASKS: u32 = 100_000;
/// Bytes that the description of a job may have.
pub const MAX_SPEC_BYTES: usize = 4_000;

/// What a caller submits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Opaque description that the workers understand.
    pub spec: Bytes,
    /// Steps; a step may depend on earlier ones.
    pub steps: Vec<Step>,
    /// Repetition in time; `None` runs the steps once, at once.
    pub schedule: Option<Schedule>,
}

/// Repetition of a job in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Due time of the first occurrence, since the Unix epoch.
    pub first: Duration,
    /// Time between the due times of two occurrences.
    pub interval: Duration,
    /// Number of occurrences, at least 1.
    pub times: u32,
}

/// Tasks of one kind in a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each property of a step is independent"
)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// What one task uses.
    pub size: resource::Amount,
    /// Rough estimate of one task's run time by the caller.
    pub run_time: Duration,
    /// Earlier steps of which all tasks have to be done first.
    pub after: Vec<u16>,
    /// Whether tasks store their progress.
    pub checkpoints: bool,
    /// Whether all tasks work only together.
    pub gang: bool,
    /// Whether tasks on more than one rack run longer.
    pub one_rack: bool,
    /// Label that a worker must have.
    pub label: Option<String>,
    /// Rack near the data; tasks on other racks run longer.
    pub near_rack: Option<String>,
    /// Tasks of the step that may run on one worker; 0 means no bound.
    pub per_worker: u32,
    /// Whether copies of a task may run at the same time.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<String>,
    /// Tail of the response times that a lasting task must stay below.
    pub response_target: Option<Duration>,
    /// Whether the tasks use only processors that others leave idle.
    pub fills: bool,
    /// Tasks of a lasting step that the scheduler may keep away at the same time.
    pub allowed_absences: Option<u32>,
}

/// State that a caller is shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// Why a submission can never be taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The description is too long; its length in bytes.
    Spec(usize),
    /// There is no step, or too many; their number.
    Steps(usize),
    /// A step has no tasks, or the job has too many; the step.
    Tasks(usize),
    /// A step depends on itself, a later step or none; the step and what it names.
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

impl Submission {
    /// Checks bounds and dependencies.
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

    /// Number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Longest chain of run times over dependent steps, as `expected` corrects the stated ones.
    pub fn chain(&self, expected: impl Fn(Duration) -> Duration) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let ready = step.after.iter().map(|other| ends[usize::from(*other)]).max();
            ends.push(ready.unwrap_or_default() + expected(step.run_time));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Whether any step runs until the job is cancelled.
    pub fn lasts(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }
}
