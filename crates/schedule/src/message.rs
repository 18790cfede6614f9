//! Inputs and outputs of a scheduler.

use std::time::Duration;

use bronzespoke_model::{id, job, resource, task, team, worker};

/// An event that the scheduler reacts to.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A worker registered, in its first or a later incarnation.
    Register(worker::Registration),
    /// A worker reported, which renews its lease.
    Report(worker::Report),
    /// No task runs on the worker after `at`.
    WorkerGone {
        /// Worker that is gone, or will be at `at`.
        worker: id::WorkerId,
        /// Instant on the monotonic clock of the scheduler; it may lie in the future.
        at: Duration,
    },
    /// A job was durably accepted. A job that is already known is ignored.
    Submit {
        /// Id of the job.
        job: id::JobId,
        /// Team whose key authorized the submission.
        team: id::TeamId,
        /// Specification from the submitter.
        spec: job::Spec,
    },
    /// A job is cancelled. Unless it has already ended, its final state is `Cancelled`, whatever happens later.
    Cancel {
        /// Job to cancel.
        job: id::JobId,
    },
    /// A run ended; equivalent to an entry in [`worker::Report::ended`]. Duplicates are ignored.
    Ended {
        /// Task that the run belongs to.
        task: task::Ref,
        /// Fencing token of its lease.
        token: id::Token,
        /// How the run ended.
        outcome: task::Outcome,
    },
    /// A team's quota, or its allotment in this zone, is new or changed.
    Team {
        /// Team that the quota belongs to.
        team: id::TeamId,
        /// Weight and upper limit across all zones.
        quota: team::Quota,
        /// Portion of the team's upper limit that this zone may use.
        allotment: resource::Amount,
    },
    /// An operator drains a worker or returns it to use.
    Drain {
        /// Worker to drain or to return to use.
        worker: id::WorkerId,
        /// Whether the worker is drained.
        on: bool,
    },
    /// Rates from the cell's configuration, which replace those of [`Config`](crate::Config).
    Rates {
        /// Maximum number of tasks stopped per second to make room for urgent work.
        preemptions_per_second: u32,
        /// Rate at which batch and gang tasks of lost workers are started again, in tasks per second.
        recovery_starts_per_second: u32,
    },
    /// An item of the replicated state, after a change of leader.
    Restore(Restore),
    /// Time has passed. A tick also renews the budgets of work and placements.
    Tick,
}

/// An item of the replicated state. Teams are restored with [`Input::Team`], before the jobs.
#[derive(Debug, Clone, PartialEq)]
pub enum Restore {
    /// A registered worker, whose lease counts as renewed now. Workers are restored before jobs.
    Worker(worker::Registration),
    /// A job that has not reached its final state.
    Job {
        /// Id of the job.
        job: id::JobId,
        /// Team whose key authorized the submission.
        team: id::TeamId,
        /// Specification from the submitter.
        spec: job::Spec,
        /// Whether the job was cancelled.
        cancelled: bool,
        /// State of each task, ordered by index.
        tasks: Vec<Progress>,
    },
    /// All items have been restored; placement may begin.
    Done {
        /// Fencing token of the next start.
        next_token: id::Token,
    },
}

/// Replicated state of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The task does not run.
    Waiting {
        /// Number of failed runs.
        attempts: u32,
    },
    /// A start has been committed, but no end.
    Running {
        /// Worker that holds the lease.
        worker: id::WorkerId,
        /// Fencing token of the lease.
        token: id::Token,
        /// Amount that the start granted.
        granted: resource::Amount,
        /// Number of failed runs before this one.
        attempts: u32,
    },
    /// The task has completed.
    Succeeded,
}

/// Reason for stopping a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The job was cancelled.
    Cancelled,
    /// The token is unknown or stale, so the run must not exist.
    Unknown,
    /// The team's allotment was lowered.
    Limit,
    /// Urgent work needs the capacity.
    Preempted,
    /// The run was backfilled onto capacity that is reserved for a gang, and the gang is due to start.
    Reserved,
    /// The worker is being drained.
    Drained,
    /// Another task of the gang has ended without success.
    Gang,
    /// The run used more memory than it was granted.
    Overuse,
    /// The job has failed.
    Failed,
    /// The worker did not confirm the start within the lease.
    NotStarted,
}

/// An action for the caller. Actions are carried out in the order of the outputs.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Commit the start, then instruct the worker. The granted amount is already debited.
    Start {
        /// Task to start.
        task: task::Ref,
        /// Worker that runs the task.
        worker: id::WorkerId,
        /// Fencing token of the new lease.
        token: id::Token,
        /// Amount that the task may use.
        granted: resource::Amount,
    },
    /// Instruct the worker to stop the run; repeated until the end is reported. A worker that does not know the
    /// token reports the run as `Stopped` and refuses a later start with this token.
    Stop {
        /// Task to stop.
        task: task::Ref,
        /// Worker that runs the task.
        worker: id::WorkerId,
        /// Fencing token of its lease.
        token: id::Token,
        /// Why the run is stopped.
        reason: Reason,
    },
    /// Instruct the worker to checkpoint the run and then stop it.
    Checkpoint {
        /// Task to checkpoint.
        task: task::Ref,
        /// Worker that runs the task.
        worker: id::WorkerId,
        /// Fencing token of its lease.
        token: id::Token,
        /// Why the run is stopped.
        reason: Reason,
    },
    /// Instruct the worker to limit the run to a share of its granted processors.
    Throttle {
        /// Task to throttle.
        task: task::Ref,
        /// Worker that runs the task.
        worker: id::WorkerId,
        /// Fencing token of its lease.
        token: id::Token,
        /// Share of the granted processors in thousandths; 1000 lifts the throttle.
        share_milli: u32,
    },
    /// Commit the end of a run. Emitted exactly once per token, before any later start of the task.
    Ended {
        /// Task that the run belongs to.
        task: task::Ref,
        /// Worker that held the lease.
        worker: id::WorkerId,
        /// Fencing token of the lease.
        token: id::Token,
        /// How the run ended.
        outcome: task::Outcome,
        /// Number of failed runs of the task so far, which is restored as `attempts`.
        attempts: u32,
    },
    /// The job cannot run with the present fleet and limits.
    Impossible {
        /// Job that cannot run.
        job: id::JobId,
        /// Why it cannot run.
        reason: job::Impossible,
        /// Whether the job is rejected, which happens only at submission. Otherwise it keeps waiting, and the output is
        /// repeated only when the reason changes.
        refused: bool,
    },
    /// The job has reached its final state and the scheduler has dropped it.
    JobEnded {
        /// Job that ended.
        job: id::JobId,
        /// Its final state.
        outcome: job::State,
    },
    /// The worker's lease has expired or it was reported as gone. None of its runs can still be alive, and it must
    /// register again.
    WorkerLost {
        /// Worker that was lost.
        worker: id::WorkerId,
    },
    /// The number of tasks of a worker is limited because runs fail on it, or the limit has changed or is lifted.
    WorkerHealth {
        /// Worker whose limit has changed.
        worker: id::WorkerId,
        /// Maximum number of concurrent tasks; `None` for no limit.
        max_tasks: Option<u32>,
    },
    /// Every restored worker has reported or been lost.
    Recovered {
        /// Time since the replicated state was fully restored.
        duration: Duration,
    },
}

/// Explains to operators why a job waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation {
    /// Why the waiting tasks do not start.
    pub cause: Cause,
    /// Number of waiting tasks, including those that wait for a retry.
    pub waiting: u32,
    /// Number of tasks under a lease.
    pub running: u32,
    /// Number of tasks that have completed.
    pub succeeded: u32,
    /// Number of jobs of the same team ahead in its queue for tasks of this size.
    pub ahead: u32,
}

/// Why waiting tasks do not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The job is unknown to this scheduler or has ended.
    Unknown,
    /// No task is waiting.
    None,
    /// The replicated state is still being restored.
    Recovering,
    /// The team is at its allotment.
    TeamLimit,
    /// No worker has room for a task of this size.
    NoRoom,
    /// Teams further below their fair share are served first.
    Turn,
    /// The tasks wait for a retry or for rate-limited recovery.
    Backoff,
    /// The job cannot run with the present fleet and limits.
    Impossible(job::Impossible),
    /// Workers are held for the job until enough capacity is free.
    Reserved,
    /// The job has been cancelled or has failed, and its runs are being stopped.
    Cancelling,
}

/// Gauges and counters of a scheduler.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Metrics {
    /// Number of workers with a valid lease.
    pub workers: u32,
    /// Number of workers on probation.
    pub probation: u32,
    /// Total capacity of the workers: milli cores, MiB, accelerators.
    pub capacity: [u64; 3],
    /// Total of the granted amounts, in the same units.
    pub used: [u64; 3],
    /// Number of jobs that have not ended.
    pub jobs: u32,
    /// Number of waiting tasks, excluding those that wait for a retry.
    pub waiting: u64,
    /// Number of tasks under a lease.
    pub running: u32,
    /// Total number of starts.
    pub starts: u64,
    /// Total number of attempted placements.
    pub placement_attempts: u64,
    /// Total number of workers whose runs were evaluated to make room for urgent work.
    pub workers_evaluated: u64,
    /// Total number of tasks stopped or checkpointed for urgent work.
    pub preempted: u64,
    /// Total of the core-seconds lost to preemption.
    pub lost_core_seconds: f64,
    /// Largest difference between a team's weighted share of the fleet and its present share, 0.0 to 1.0, over the
    /// teams with waiting work that are not at their allotment.
    pub max_share_deficit: f64,
    /// Time from the end of the restoration until every restored worker was confirmed or lost; `None` until then.
    pub recovery: Option<Duration>,
}
