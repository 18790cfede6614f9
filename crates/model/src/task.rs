//! Tasks, the units of work that a worker runs under a lease.

use serde::{Deserialize, Serialize};

use crate::id;

/// Maximum size of the result of a task, in bytes.
pub const MAX_RESULT_BYTES: usize = 64 * 1024;

/// Reference to a task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ref {
    /// Job that the task belongs to.
    pub job: id::JobId,
    /// Index in the job, from 0.
    pub index: id::TaskIndex,
}

/// Outcome of a run of a task, as reported by the worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Completed; holds the result, of at most [`MAX_RESULT_BYTES`].
    Succeeded(String),
    /// Completed with an error.
    Failed,
    /// Stopped on request.
    Stopped,
    /// Saved a checkpoint and stopped on request.
    Checkpointed,
    /// The lease expired without a renewal.
    LeaseExpired,
}

/// Instruction to a worker. The enum is internally tagged, so JSON is its only encoding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "directive", rename_all = "snake_case")]
pub enum Directive {
    /// Start a task under a new lease.
    Start {
        /// Task to start.
        task: Ref,
        /// Token of the new lease.
        token: id::Token,
        /// Maximum amount that the task may use.
        granted: crate::resource::Amount,
        /// Command to run.
        command: String,
    },
    /// Stop a task.
    Stop {
        /// Task to stop.
        task: Ref,
        /// Token of its lease.
        token: id::Token,
    },
    /// Save a checkpoint of a task, then stop the task.
    Checkpoint {
        /// Task to checkpoint.
        task: Ref,
        /// Token of its lease.
        token: id::Token,
    },
    /// Limit a task to a share of its granted processors.
    Throttle {
        /// Task to throttle.
        task: Ref,
        /// Token of its lease.
        token: id::Token,
        /// Thousandths of the granted processors; 1000 lifts the throttle.
        share_milli: u32,
    },
}
