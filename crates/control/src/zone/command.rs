//! Commands of a zone group and their outcomes.

use bronzespoke_model::{id, job, task, worker};
use serde::{Deserialize, Serialize};

use super::{claims, compact};
use crate::{escrow, request_id};

/// A task start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Start {
    /// Task.
    pub task: task::Ref,
    /// Worker that runs it.
    pub worker: id::WorkerId,
    /// Token of the lease; larger than every earlier token of the group.
    pub token: id::Token,
}

/// The end of a task run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct End {
    /// Task.
    pub task: task::Ref,
    /// Token of the lease that ends.
    pub token: id::Token,
    /// How the run ended.
    pub outcome: task::Outcome,
}

/// A change of the zone state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Start tasks, in the order of their tokens.
    Start(#[serde(with = "compact::starts")] Vec<Start>),
    /// End task runs.
    End(#[serde(with = "compact::ends")] Vec<End>),
    /// Register a worker, or renew its registration.
    Register(worker::Registration),
    /// Take a worker out of use; its runs end with commands of their own.
    WorkerGone {
        /// Worker.
        worker: id::WorkerId,
        /// Life that is gone; a later life stays.
        incarnation: id::Incarnation,
    },
    /// Accept a job.
    Submit {
        /// Team.
        team: id::TeamId,
        /// Key of the caller's id for the submission; a submission that is sent again gets the same job.
        submission: Option<request_id::Key>,
        /// The job.
        spec: job::Spec,
    },
    /// Cancel a job; its runs end with commands of their own.
    Cancel {
        /// Job.
        job: id::JobId,
    },
    /// Record the last state of a job that the scheduler decided.
    Finish {
        /// Job.
        job: id::JobId,
        /// Last state.
        state: job::State,
    },
    /// Record a request id before its request is sent.
    Claim {
        /// Key of the id.
        key: request_id::Key,
        /// VM that sends the request.
        holder: id::VmId,
    },
    /// Record how a claimed request ended.
    Complete {
        /// Number that the claim was granted under.
        number: u64,
        /// How it ended.
        completion: claims::Completion,
    },
    /// Turn the open claims of a VM that is gone into unknown ones.
    HolderGone {
        /// VM.
        holder: id::VmId,
        /// Only claims with smaller numbers; the VM may have restarted under its id since.
        before: u64,
    },
    /// Take over granted counters from the root group.
    Granted(Vec<(id::TeamId, escrow::Total)>),
    /// Grow released counters; each is cut so that the allotment still covers what runs.
    Release(Vec<(id::TeamId, escrow::Total)>),
    /// Drop what has expired by the time of the envelope.
    Expire,
    /// Record how many failed runs of a task count against its retries, so that they outlive the leader.
    Attempts {
        /// Task.
        task: task::Ref,
        /// Failed runs so far; a smaller number than the recorded one changes nothing.
        attempts: u32,
    },
}

/// Why a zone command changed nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The registration or message belongs to an earlier life of the worker.
    StaleIncarnation,
    /// There is no such worker, or it is gone.
    NoSuchWorker,
    /// There is no such job, or it was dropped after its retention.
    NoSuchJob,
    /// The job has no task with this index.
    NoSuchTask,
    /// The job is in its last state.
    JobEnded,
    /// The task runs under another token.
    Running,
    /// The task has succeeded.
    Succeeded,
    /// Runs of a gang whose member was lost have not all ended.
    GangEnding,
    /// The token is not larger than every earlier one.
    StaleToken,
    /// The start would take the worker over its capacity.
    OverCapacity,
    /// The start would take the team over its allotment.
    OverPart,
    /// The number of tasks or the length of the command line is out of bounds.
    BadSpec,
    /// The state is not a last state.
    BadState,
    /// The table is full.
    Full,
}

/// What a zone command did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Done, or already so.
    Done,
    /// The index was applied earlier; nothing was done.
    Ignored,
    /// The job is accepted, now or when it was submitted first.
    Job(id::JobId),
    /// Starts that were refused, by number in the command from 0; the others are done.
    Started(Vec<(u32, Refusal)>),
    /// Ends were recorded.
    Ended {
        /// Ends whose token is not that of a present run, by number in the command from 0.
        stale: Vec<u32>,
        /// Jobs that thereby succeeded.
        succeeded: Vec<id::JobId>,
    },
    /// Answer to a claim.
    Claim(claims::Claimed),
    /// Nothing was changed.
    Refused(Refusal),
}
