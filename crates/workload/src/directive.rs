//! Orders to workers and their answers.

use std::{fmt, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::job;

/// Number of a start of a task; grows with every start.
pub type Run = u32;
/// Fencing token; a worker obeys no token below the highest that it has seen.
pub type Token = u64;

/// One task of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Task {
    /// Job.
    pub job: job::Key,
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u16,
    /// Index in the step, from 0.
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

/// What a worker is told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Directive {
    /// Start a task.
    Start {
        /// Task.
        task: Task,
        /// Number of the start.
        run: Run,
        /// The job's description.
        spec: Bytes,
        /// New end of the lease on the worker's clock.
        lease_end: Duration,
        /// Progress to resume from.
        checkpoint: Option<Bytes>,
        /// Permission of the eligibility service.
        ticket: Option<Bytes>,
    },
    /// Stop a run.
    Stop {
        /// Task.
        task: Task,
        /// Number of the start.
        run: Run,
    },
    /// Renew the lease and report.
    Renew {
        /// New end of the lease on the worker's clock; `None` before the clock is known.
        lease_end: Option<Duration>,
        /// Ends up to this number are recorded and need not be reported again.
        acknowledged: u64,
        /// How long the answer may wait for an end.
        wait: Duration,
    },
    /// Let a run work at a share of its speed.
    Throttle {
        /// Task.
        task: Task,
        /// Number of the start.
        run: Run,
        /// Share in percent.
        percent: u8,
    },
}

/// What a worker answers. A call without an answer may have been carried out, also much later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Carried out.
    Done {
        /// The worker's clock.
        clock: Duration,
    },
    /// Report after `Directive::Renew`.
    Report(Report),
    /// Refused; nothing was done.
    Refused {
        /// Reason.
        reason: Refusal,
        /// The worker's clock, if told.
        clock: Option<Duration>,
    },
    /// The answer cannot be read; the order may have been carried out.
    Unreadable,
    /// No connection to the worker was made, so that it has not got the order.
    NotSent,
}

/// Why a worker refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// A higher fencing token was seen.
    Fenced,
    /// A run of this number or a higher one was started, stopped or has ended.
    Outdated,
    /// The lease had run out on the worker's clock.
    Late,
    /// The task does not fit.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// Another life answers at the address.
    #[serde(rename = "OtherLife")]
    OtherIncarnation,
    /// The worker is not healthy or too busy.
    Unhealthy,
    /// The order is malformed.
    Malformed,
}

/// What runs on a worker and what has ended there.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Report {
    /// The worker's clock.
    pub clock: Duration,
    /// Start of the worker's process in milliseconds since the Unix epoch, if told.
    pub born: Option<u64>,
    /// Runs at work or being stopped.
    pub running: Vec<Running>,
    /// Ends that were not acknowledged, oldest first.
    pub ended: Vec<Ended>,
}

/// A run on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Task.
    pub task: Task,
    /// Number of the start.
    pub run: Run,
    /// Stored progress.
    pub checkpoint: Option<Bytes>,
    /// Share of its work that is done, in percent; for a lasting task 100 when it is at work.
    pub percent: u8,
    /// For a serving task the tail of its response times in ms; for others the processors in use.
    pub load: Option<u64>,
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Number of the end in the worker's life, from 1.
    pub number: u64,
    /// Task.
    pub task: Task,
    /// Number of the start.
    pub run: Run,
    /// How it ended.
    pub outcome: Outcome,
    /// Stored progress.
    pub checkpoint: Option<Bytes>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The work is done.
    Done,
    /// It failed by its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// The lease ran out.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not come in time.
    Alone,
    /// It never started, as far as anyone can tell for certain.
    NeverStarted,
    /// The worker or its lease is gone.
    Lost,
}
