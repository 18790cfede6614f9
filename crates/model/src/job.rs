//! Jobs as teams submit them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{id, resource};

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 10_000;
/// Maximum length of the command of a task, in bytes.
pub const MAX_COMMAND_BYTES: usize = 4096;

/// How the tasks of a job are run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Long-running tasks; a task that ends is replaced.
    Service,
    /// Independent tasks, each of which runs to completion.
    Batch,
    /// Tasks that all start together or not at all.
    Gang,
}

/// How soon a job must start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Scheduled by fair share.
    #[default]
    Normal,
    /// Starts within 1.6 s; other tasks are preempted if necessary.
    Urgent,
}

/// Specification of a job, as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Execution model of the tasks.
    pub kind: Kind,
    /// Scheduling priority.
    #[serde(default)]
    pub priority: Priority,
    /// Number of tasks, 1 to [`MAX_TASKS`].
    pub tasks: u32,
    /// Declared size of each task.
    pub size: resource::Amount,
    /// Kind of accelerator that each task requires; 0 for none.
    #[serde(default)]
    pub accelerator: id::AcceleratorKind,
    /// Declared run time of each task; zero for a service.
    #[serde(default)]
    pub run_time: Duration,
    /// Whether a task can be checkpointed and resumed.
    #[serde(default)]
    pub checkpoint: bool,
    /// Command that the worker runs; opaque to the scheduler.
    #[serde(default)]
    pub command: String,
}

/// Reason why a job can never run as specified.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Impossible {
    /// One task is larger than every worker.
    LargerThanAnyWorker,
    /// No worker has accelerators of the required kind.
    NoSuchAccelerator,
    /// The job requires more at one time than the team's upper limit.
    OverTeamLimit,
    /// All tasks together are larger than the fleet.
    LargerThanFleet,
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepted; no task has started.
    Waiting,
    /// At least one task has started.
    Running,
    /// Every task succeeded.
    Succeeded,
    /// The retry budget is exhausted.
    Failed,
    /// Cancelled by its team or an operator.
    Cancelled,
    /// Can never run as specified.
    Impossible(Impossible),
}

impl State {
    /// Returns whether the state is terminal.
    pub const fn is_terminal(self) -> bool {
        match self {
            Self::Waiting | Self::Running => false,
            Self::Succeeded | Self::Failed | Self::Cancelled | Self::Impossible(_) => true,
        }
    }
}
