//! Directives to workers and their answers.

use std::{fmt, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::job;

/// Number of a run, which is one start of a task; grows with each start of the task.
pub type Run = u32;
/// Fencing token; a worker refuses directives with a token below the highest that it has received.
pub type Token = u64;

/// One task of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Task {
    /// Job that the task belongs to.
    pub job: job::Key,
    /// Index of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step in the job, from 0.
    pub step: u16,
    /// Index of the task in the step, from 0.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job:016x}.{occurrence}.{step}.{index}")
    }
}

/// Directive from the leader to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Directive {
    /// Starts a task.
    Start {
        /// Task of the run.
        task: Task,
        /// Number of the run.
        run: Run,
        /// Description of the job.
        spec: Bytes,
        /// New end of the lease on the worker's clock.
        lease_end: Duration,
        /// Checkpoint to resume from.
        checkpoint: Option<Bytes>,
        /// Ticket that the eligibility service issued.
        ticket: Option<Bytes>,
    },
    /// Stops a run.
    Stop {
        /// Task of the run.
        task: Task,
        /// Number of the run.
        run: Run,
    },
    /// Renews the lease and requests a report.
    Renew {
        /// New end of the lease on the worker's clock; `None` while that clock is unknown.
        lease_end: Option<Duration>,
        /// Ends up to this number are recorded and need not be reported again.
        acknowledged: u64,
        /// How long the worker may hold the answer back while no run ends.
        wait: Duration,
    },
    /// Limits a run to a share of its speed.
    Throttle {
        /// Task of the run.
        task: Task,
        /// Number of the run.
        run: Run,
        /// Share of the full speed, in percent.
        percent: u8,
    },
}

/// A worker's answer to a directive. A directive without an answer may have been carried out, or may still be, much
/// later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The directive was carried out.
    Done {
        /// Time on the worker's clock.
        clock: Duration,
    },
    /// Report in answer to [`Directive::Renew`].
    Report(Report),
    /// The directive was refused and has no effect.
    Refused {
        /// Why the worker refused.
        reason: Refusal,
        /// Time on the worker's clock, if the answer states it.
        clock: Option<Duration>,
    },
    /// The answer cannot be decoded; the directive may have been carried out.
    Unreadable,
    /// No connection to the worker could be made, so the directive did not reach it.
    NotSent,
}

/// Why a worker refused a directive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The worker has received a higher fencing token.
    Fenced,
    /// A run of the task with this number or a higher one was started, was stopped or has ended.
    Outdated,
    /// The lease had already expired on the worker's clock.
    Late,
    /// The task does not fit into the worker's free resources.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// Another incarnation answers at the address.
    #[serde(rename = "OtherLife")]
    OtherIncarnation,
    /// The worker is unhealthy or overloaded.
    Unhealthy,
    /// The directive is malformed.
    Malformed,
}

/// Report of the runs on a worker and of those that have ended.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Report {
    /// Time on the worker's clock.
    pub clock: Duration,
    /// Start time of the worker's process in milliseconds since the Unix epoch, if the report states it.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
    /// Runs that are active or being stopped.
    pub running: Vec<Running>,
    /// Ends that have not been acknowledged, oldest first.
    pub ended: Vec<Ended>,
    /// Whether further ends may follow in the next reports. A run that such a report does not list may have ended.
    pub truncated: bool,
}

/// An active run on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Task of the run.
    pub task: Task,
    /// Number of the run.
    pub run: Run,
    /// Newest checkpoint.
    pub checkpoint: Option<Bytes>,
    /// Completed share of the work, in percent; 100 for a lasting task that is up.
    pub percent: u8,
    /// Tail of the response times in ms for a serving task; processors in use for others.
    pub load: Option<u64>,
}

/// End of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Sequence number of the end within the worker's incarnation, from 1.
    pub number: u64,
    /// Task of the run.
    pub task: Task,
    /// Number of the run.
    pub run: Run,
    /// Outcome of the run.
    pub outcome: Outcome,
    /// Newest checkpoint.
    pub checkpoint: Option<Bytes>,
}

/// Outcome of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The work is complete.
    Done,
    /// The task or the worker failed.
    Failed,
    /// The run was stopped by a directive.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
    /// It is known that the run never started.
    NeverStarted,
    /// The worker failed or left, or its lease expired.
    Lost,
}
