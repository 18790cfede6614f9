//! Jobs as teams submit them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{id, resource};

/// Most tasks that one job may have.
pub const MAX_TASKS: u32 = 10_000;
/// Longest command line of a task, in bytes.
pub const MAX_COMMAND_BYTES: usize = 4096;

/// How the tasks of a job are run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Long-running; replaced whenever a task ends.
    Service,
    /// Each task runs to its end on its own.
    Batch,
    /// All tasks start together or none does.
    Gang,
}

/// How soon a job has to start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// In the order of fair share.
    #[default]
    Normal,
    /// Within 1.6 s, stopping others where needed.
    Urgent,
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Policy for the tasks.
    pub kind: Kind,
    /// Urgency.
    #[serde(default)]
    pub priority: Priority,
    /// Number of tasks, 1 to [`MAX_TASKS`].
    pub tasks: u32,
    /// Declared size of each task.
    pub size: resource::Amount,
    /// Accelerator kind that each task needs; 0 for none.
    #[serde(default)]
    pub accelerator: id::AcceleratorKind,
    /// Declared run time of each task; zero for a service.
    #[serde(default)]
    pub run_time: Duration,
    /// Whether a task can be checkpointed and resumed.
    #[serde(default)]
    pub checkpoint: bool,
    /// What the worker runs; opaque to the scheduler.
    #[serde(default)]
    pub command: String,
}

/// Why a job can never run as it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Impossible {
    /// One task is larger than every worker.
    LargerThanAnyWorker,
    /// No worker has the accelerator kind.
    NoSuchAccelerator,
    /// The job needs more at once than the team's upper limit.
    OverTeamLimit,
    /// All tasks together are larger than the fleet.
    LargerThanFleet,
}

/// State of a whole job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepted; no task has started.
    Waiting,
    /// At least one task has started.
    Running,
    /// Every task succeeded.
    Succeeded,
    /// The retry budget is spent.
    Failed,
    /// Cancelled by its team or an operator.
    Cancelled,
    /// Can never run as it is.
    Impossible(Impossible),
}

impl State {
    /// Tells whether the job has reached its last state.
    pub const fn is_terminal(self) -> bool {
        match self {
            Self::Waiting | Self::Running => false,
            Self::Succeeded | Self::Failed | Self::Cancelled | Self::Impossible(_) => true,
        }
    }
}
