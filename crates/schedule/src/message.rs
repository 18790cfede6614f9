//! Inputs and outputs of a scheduler.

use std::time::Duration;

use bronzespoke_model::{id, job, resource, task, team, worker};

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A worker registered, in its first or a later life.
    Register(worker::Registration),
    /// A worker reported; renews its lease.
    Report(worker::Report),
    /// Nothing runs on the worker after `at`.
    WorkerGone {
        /// The worker.
        worker: id::WorkerId,
        /// Monotonic instant.
        at: Duration,
    },
    /// A job was accepted durably. A job that is already known is ignored.
    Submit {
        /// Id of the job.
        job: id::JobId,
        /// Team whose key came with it.
        team: id::TeamId,
        /// The job.
        spec: job::Spec,
    },
    /// A job is cancelled. Whatever happens later, its last state is `Cancelled`, unless it had ended before.
    Cancel {
        /// Job to cancel.
        job: id::JobId,
    },
    /// A task run ended; the same as an entry in [`worker::Report::ended`]. Repeats are ignored.
    Ended {
        /// The task.
        task: task::Ref,
        /// Token of its lease.
        token: id::Token,
        /// How it ended.
        outcome: task::Outcome,
    },
    /// A team's quota, or the zone's part of its upper limit, is new or changed.
    Team {
        /// The team.
        team: id::TeamId,
        /// Weight and fleet-wide limit.
        quota: team::Quota,
        /// What this zone may use for the team.
        allotment: resource::Amount,
    },
    /// An operator drains a worker, or returns it to use.
    Drain {
        /// The worker.
        worker: id::WorkerId,
        /// Whether it is drained.
        on: bool,
    },
    /// Rates from the cell's configuration.
    Rates {
        /// Most tasks that may be stopped per second to make room for urgent work.
        preemptions_per_second: u32,
        /// Starts per second of work that lost workers left behind.
        recovery_starts_per_second: u32,
    },
    /// Replicated state, after a change of leader.
    Restore(Restore),
    /// Time has passed.
    Tick,
}

/// Part of the replicated state. Teams are restored with [`Input::Team`], before the jobs.
#[derive(Debug, Clone, PartialEq)]
pub enum Restore {
    /// A registered worker; its lease counts as renewed just now. Workers come before jobs.
    Worker(worker::Registration),
    /// A job that has not reached its last state.
    Job {
        /// Id of the job.
        job: id::JobId,
        /// Team whose key came with it.
        team: id::TeamId,
        /// The job.
        spec: job::Spec,
        /// Whether it was cancelled.
        cancelled: bool,
        /// State of each task, in order of index.
        tasks: Vec<Progress>,
    },
    /// Everything has been restored; placement may begin.
    Done {
        /// Token of the next start.
        next_token: id::Token,
    },
}

/// Replicated state of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Not running.
    Waiting {
        /// Runs that failed.
        attempts: u32,
    },
    /// A start was committed and no end.
    Running {
        /// Worker that holds the lease.
        worker: id::WorkerId,
        /// Token of the lease.
        token: id::Token,
        /// What the worker was told to grant.
        granted: resource::Amount,
        /// Runs that failed before this one.
        attempts: u32,
    },
    /// Ran to its end.
    Succeeded,
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The job was cancelled.
    Cancelled,
    /// The token is unknown or outdated; the run must not exist.
    Unknown,
    /// The team's part was lowered.
    Limit,
    /// Urgent work needs the room.
    Preempted,
    /// Capacity reserved for a gang is due, and the run was let onto it meanwhile.
    Reserved,
    /// The worker is drained.
    Drained,
    /// Another task of the gang was lost.
    Gang,
    /// The run used more than it was granted.
    Overuse,
    /// The job has failed.
    Failed,
    /// The worker did not confirm the start within a lease.
    NotStarted,
}

/// What is to be done. Outputs are in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Commit the start, then tell the worker. The amount is already debited.
    Start {
        /// Task to start.
        task: task::Ref,
        /// Worker that runs it.
        worker: id::WorkerId,
        /// Token of the new lease.
        token: id::Token,
        /// Most that the task may use.
        granted: resource::Amount,
    },
    /// Tell the worker to stop the run; repeated until the end is reported. A worker that does not know the token
    /// reports it as `Stopped` and refuses a later start with it.
    Stop {
        /// Task to stop.
        task: task::Ref,
        /// Worker that runs it.
        worker: id::WorkerId,
        /// Token of its lease.
        token: id::Token,
        /// Why.
        reason: Reason,
    },
    /// Tell the worker to checkpoint the run and stop it.
    Checkpoint {
        /// Task to checkpoint.
        task: task::Ref,
        /// Worker that runs it.
        worker: id::WorkerId,
        /// Token of its lease.
        token: id::Token,
        /// Why.
        reason: Reason,
    },
    /// Tell the worker to hold the run to a share of its processors.
    Throttle {
        /// Task to throttle.
        task: task::Ref,
        /// Worker that runs it.
        worker: id::WorkerId,
        /// Token of its lease.
        token: id::Token,
        /// Thousandths of the granted processors; 1000 lifts the throttle.
        share_milli: u32,
    },
    /// Commit the end of a run. Emitted once per token, before any later start of the task.
    Ended {
        /// The task.
        task: task::Ref,
        /// Worker that held the lease.
        worker: id::WorkerId,
        /// Token of the lease.
        token: id::Token,
        /// How the run ended.
        outcome: task::Outcome,
        /// Failed runs of the task so far, to be restored as `attempts`.
        attempts: u32,
    },
    /// The job cannot run as the fleet and limits are now.
    Impossible {
        /// The job.
        job: id::JobId,
        /// Why.
        reason: job::Impossible,
        /// Whether the job is refused (at submission). Otherwise it keeps waiting, and the output is repeated
        /// only when the reason changes.
        refused: bool,
    },
    /// The job reached its last state and is forgotten.
    JobEnded {
        /// The job.
        job: id::JobId,
        /// Its last state.
        outcome: job::State,
    },
    /// The worker's lease has run out and nothing it held can still run; it must register again.
    WorkerLost {
        /// The worker.
        worker: id::WorkerId,
    },
    /// The worker fails what it starts, so its use is limited; or it is in full use again.
    WorkerHealth {
        /// The worker.
        worker: id::WorkerId,
        /// Tasks that it may run at the same time; `None` for no limit.
        max_tasks: Option<u32>,
    },
    /// Every restored worker has reported, or its lease has run out.
    Recovered {
        /// Time since the restored state was complete.
        duration: Duration,
    },
}

/// What keeps a job waiting, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation {
    /// Why its waiting tasks do not start.
    pub cause: Cause,
    /// Tasks that wait, including those that wait for a retry.
    pub waiting: u32,
    /// Tasks under a lease.
    pub running: u32,
    /// Tasks that ran to their end.
    pub succeeded: u32,
    /// Jobs of the same team that come first in its queue for this size.
    pub ahead: u32,
}

/// Why waiting tasks do not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The job is not known here, or has ended.
    Unknown,
    /// No task waits.
    None,
    /// The restored state is not complete yet.
    Recovering,
    /// The team is at its limit.
    TeamLimit,
    /// No worker has room for a task of this size.
    NoRoom,
    /// Other teams are further below their share.
    Turn,
    /// Failed tasks wait for their next attempt.
    Backoff,
    /// The job cannot run as it is.
    Impossible(job::Impossible),
    /// Capacity is reserved and fills up.
    Reserved,
    /// The job is being cancelled.
    Cancelling,
}

/// Counts and sums for the operators' measures.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Metrics {
    /// Workers whose lease holds.
    pub workers: u32,
    /// Workers on probation.
    pub probation: u32,
    /// Sum of the workers' capacity: milli cores, MiB, accelerators.
    pub capacity: [u64; 3],
    /// Sum of the granted amounts, in the same units.
    pub used: [u64; 3],
    /// Jobs that have not ended.
    pub jobs: u32,
    /// Tasks that wait, without those that wait for a retry.
    pub waiting: u64,
    /// Tasks under a lease.
    pub running: u32,
    /// Starts so far.
    pub starts: u64,
    /// Placements tried so far.
    pub placement_attempts: u64,
    /// Workers whose runs were weighed to make room for urgent work so far.
    pub workers_evaluated: u64,
    /// Tasks stopped or checkpointed for urgent work so far.
    pub preempted: u64,
    /// Core-seconds lost to those stops so far.
    pub lost_core_seconds: f64,
    /// Largest distance of a team with waiting work below its weighted share of the fleet, 0.0 to 1.0.
    pub max_share_deficit: f64,
    /// Time from the restored state to the last confirmed worker; `None` while it lasts.
    pub recovery: Option<Duration>,
}
