//! Tasks: the unit that a worker runs under a lease.

use serde::{Deserialize, Serialize};

use crate::id;

/// Longest result of a task, in bytes.
pub const MAX_RESULT_BYTES: usize = 64 * 1024;

/// Names one task of one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ref {
    /// The job.
    pub job: id::JobId,
    /// Index in the job, from 0.
    pub index: id::TaskIndex,
}

/// How a run of a task ended, as the worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Ran to its end; carries the result, at most [`MAX_RESULT_BYTES`].
    Succeeded(String),
    /// Ended with an error.
    Failed,
    /// Stopped on request.
    Stopped,
    /// Saved its progress and stopped on request.
    Checkpointed,
    /// The lease ran out without a report.
    LeaseExpired,
}

/// What a worker is told to do. Internally tagged, so it travels as JSON only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "directive", rename_all = "snake_case")]
pub enum Directive {
    /// Start the task under this token.
    Start {
        /// Task to start.
        task: Ref,
        /// Token of the new lease.
        token: id::Token,
        /// Most that the task may use.
        granted: crate::resource::Amount,
        /// What to run.
        command: String,
    },
    /// Stop the task.
    Stop {
        /// Task to stop.
        task: Ref,
        /// Token of its lease.
        token: id::Token,
    },
    /// Save the task's progress, then stop it.
    Checkpoint {
        /// Task to checkpoint.
        task: Ref,
        /// Token of its lease.
        token: id::Token,
    },
    /// Hold the task to this share of its granted processors.
    Throttle {
        /// Task to throttle.
        task: Ref,
        /// Token of its lease.
        token: id::Token,
        /// Thousandths of the granted processors; 1000 lifts the throttle.
        share_milli: u32,
    },
}
