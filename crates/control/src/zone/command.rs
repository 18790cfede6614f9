//! Commands of a zone group and their outcomes.

use bronzespoke_model::{id, job, task, worker};
use serde::{Deserialize, Serialize};

use super::{claims, compact};
use crate::{escrow, request_id};

/// A task start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Start {
    /// Task to start.
    pub task: task::Ref,
    /// Worker that runs the task.
    pub worker: id::WorkerId,
    /// Fencing token of the lease; larger than every earlier token of the group.
    pub token: id::Token,
}

/// The end of a task run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct End {
    /// Task whose run ended.
    pub task: task::Ref,
    /// Fencing token of the lease that ends.
    pub token: id::Token,
    /// Outcome of the run.
    pub outcome: task::Outcome,
}

/// A change of the zone state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Starts tasks, in the order of their tokens.
    Start(#[serde(with = "compact::starts")] Vec<Start>),
    /// Ends task runs.
    End(#[serde(with = "compact::ends")] Vec<End>),
    /// Registers a worker, or replaces its registration.
    Register(worker::Registration),
    /// Marks a worker as gone. Its runs are ended by separate commands.
    WorkerGone {
        /// Worker to mark.
        worker: id::WorkerId,
        /// Incarnation that is gone; a later incarnation is not affected.
        incarnation: id::Incarnation,
    },
    /// Accepts a job.
    Submit {
        /// Team that the job runs for.
        team: id::TeamId,
        /// Key of the caller's id for the submission. A resent submission returns the job of the first one.
        submission: Option<request_id::Key>,
        /// Specification of the job.
        spec: job::Spec,
    },
    /// Cancels a job. Its runs are ended by separate commands.
    Cancel {
        /// Job to cancel.
        job: id::JobId,
    },
    /// Records a terminal state that the scheduler determined.
    Finish {
        /// Job that ends.
        job: id::JobId,
        /// Terminal state.
        state: job::State,
    },
    /// Claims a request id before the request is sent.
    Claim {
        /// Key of the request id.
        key: request_id::Key,
        /// VM that sends the request.
        holder: id::VmId,
    },
    /// Records the completion of a claimed request.
    Complete {
        /// Number under which the claim was granted.
        number: u64,
        /// Result of the request.
        completion: claims::Completion,
    },
    /// Marks the open claims of a departed VM as unknown.
    HolderGone {
        /// VM that held the claims.
        holder: id::VmId,
        /// Limits the change to claims with smaller numbers: the VM may have restarted under the same id and made new
        /// ones.
        before: u64,
    },
    /// Applies granted counters of the root group.
    Granted(Vec<(id::TeamId, escrow::Total)>),
    /// Raises released counters. Each is capped so that the allotment still covers the running tasks.
    Release(Vec<(id::TeamId, escrow::Total)>),
    /// Drops request ids and jobs whose retention has expired at the time of the envelope.
    Expire,
    /// Records how many failed runs of a task count against its retries, so that the count survives a change of leader.
    Attempts {
        /// Task that failed.
        task: task::Ref,
        /// Number of failed runs so far. A number below the recorded one has no effect.
        attempts: u32,
    },
}

/// Reason why a zone command was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The registration or message belongs to an earlier incarnation of the worker.
    StaleIncarnation,
    /// The worker is not registered or is gone.
    NoSuchWorker,
    /// The job does not exist or was dropped after its retention.
    NoSuchJob,
    /// The job has no task with this index.
    NoSuchTask,
    /// The job is in a terminal state.
    JobEnded,
    /// The task is running under another token.
    Running,
    /// The task has already succeeded.
    Succeeded,
    /// The gang is restarting after the loss of a member, and not all of its runs have ended.
    GangEnding,
    /// The token is not larger than every earlier token.
    StaleToken,
    /// The start would exceed the capacity of the worker.
    OverCapacity,
    /// The start would exceed the allotment of the team.
    OverPart,
    /// The number of tasks or the length of the command line is out of bounds.
    BadSpec,
    /// The state is not terminal.
    BadState,
    /// The table or its byte limit is full.
    Full,
}

/// Effect of a zone command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command took effect, or had taken effect earlier.
    Done,
    /// The log entry was applied earlier; the command had no effect.
    Ignored,
    /// The job was accepted, now or by an earlier submission under the same key.
    Job(id::JobId),
    /// Starts that were refused, by zero-based position in the command. The others took effect.
    Started(Vec<(u32, Refusal)>),
    /// The ends were recorded.
    Ended {
        /// Zero-based positions of the ends whose token does not belong to a current run.
        stale: Vec<u32>,
        /// Jobs that succeeded as a result.
        succeeded: Vec<id::JobId>,
    },
    /// Result of a claim.
    Claim(claims::Claimed),
    /// The command was refused and had no effect.
    Refused(Refusal),
}
