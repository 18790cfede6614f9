//! Events that the log shows.

use std::{fmt, time::Duration};

use bronzespoke_control::cell;
use bronzespoke_workload::{directive, eligibility};

/// A decision or a change in the known state of a worker, with its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A start was decided.
    Placed {
        /// Task of the run.
        task: directive::Task,
        /// Number of the run.
        run: directive::Run,
        /// Name of the worker.
        worker: String,
        /// Free processors of the worker before the placement, in thousandths of a core.
        free_cpu: u32,
    },
    /// A worker answered a start, or did not answer it in time.
    StartAnswered {
        /// Task of the run.
        task: directive::Task,
        /// Number of the run.
        run: directive::Run,
        /// Name of the worker.
        worker: String,
        /// Answer as it appears in logs.
        answer: &'static str,
        /// Time since the start was decided.
        after: Duration,
    },
    /// The end of a run is proved, and its record is proposed.
    Ended(Ended),
    /// A worker reports a run that is not placed there; it is stopped, and its task is not started before it has ended.
    Orphan {
        /// Task of the run.
        task: directive::Task,
        /// Number of the run.
        run: directive::Run,
        /// Name of the worker.
        worker: String,
        /// Number of the run of the task that is placed there.
        placed: Option<directive::Run>,
    },
    /// The ends of a worker up to a number are recorded and will be acknowledged.
    EndsRecorded {
        /// Index of the worker's incarnation.
        index: cell::WorkerIndex,
        /// Name of the worker.
        worker: String,
        /// Number up to which all ends are recorded.
        through: u64,
    },
    /// The record of ends was rejected; they are proposed again.
    EndsRejected {
        /// Index of the worker's incarnation.
        index: cell::WorkerIndex,
        /// Number of ends in the proposal.
        ends: usize,
    },
    /// A worker was added to the record of workers.
    WorkerKnown {
        /// Index of the incarnation.
        index: cell::WorkerIndex,
        /// Name of the worker.
        worker: String,
        /// Number of runs that an earlier leader placed there.
        inherited: usize,
    },
    /// A worker gets no new work.
    WorkerUnusable {
        /// Name of the worker.
        worker: String,
        /// Reason as it appears in logs.
        reason: &'static str,
        /// Number of runs on the worker.
        runs: usize,
        /// Age of its last report, if known.
        silent: Option<Duration>,
    },
    /// A notice says that a worker has left; each incarnation with its name is asked.
    DepartureNoticed {
        /// Index of the incarnation.
        index: cell::WorkerIndex,
        /// Name of the worker.
        worker: String,
        /// Start time of the incarnation, in milliseconds since the Unix epoch.
        started_ms: u64,
        /// Whether it is draining.
        draining: bool,
        /// Number of runs on it.
        runs: usize,
        /// Age of its last report, if known.
        silent: Option<Duration>,
    },
    /// An incarnation has answered since the notice that it has left.
    DepartureRefuted {
        /// Index of the incarnation.
        index: cell::WorkerIndex,
        /// Name of the worker.
        worker: String,
        /// Number of runs in its report.
        runs: usize,
        /// Time since the notice arrived.
        after: Duration,
    },
    /// A query was sent to the eligibility service.
    QuerySent {
        /// Step that the query is about.
        step: eligibility::Step,
        /// Number of workers that the query names.
        workers: usize,
    },
    /// A run is stopped in favour of a step of a higher priority.
    Preempted(Preempted),
    /// A worker refused a directive because it has received a higher fencing token, that is, it follows another
    /// leader.
    Fenced {
        /// Name of the worker.
        worker: String,
    },
}

/// End of a run, with its evidence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// Task of the run.
    pub task: directive::Task,
    /// Number of the run.
    pub run: directive::Run,
    /// Index of the worker's incarnation.
    pub index: cell::WorkerIndex,
    /// Name of the worker; empty if it is not known any more.
    pub worker: String,
    /// Outcome of the run.
    pub outcome: directive::Outcome,
    /// Number of the end at the worker, if the worker has reported it.
    pub number: Option<u64>,
    /// Evidence of the end as it appears in logs.
    pub reason: &'static str,
}

/// Stop of a run in favour of a step of a higher priority.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Preempted {
    /// Task of the run.
    pub task: directive::Task,
    /// Number of the run.
    pub run: directive::Run,
    /// Name of the worker.
    pub worker: String,
    /// Step that gets the capacity.
    pub step: eligibility::Step,
    /// Work that the stop is expected to cost, in core-milliseconds.
    pub core_millis: u64,
}

impl fmt::Display for Preempted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            task,
            run,
            worker,
            step,
            core_millis,
        } = self;
        write!(
            f,
            "decision=preempt task={task} run={run} worker={worker} for={:016x}.{}.{} lost_core_ms={core_millis}",
            step.job, step.occurrence, step.step
        )
    }
}

impl fmt::Display for Ended {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            task,
            run,
            index,
            worker,
            outcome,
            number,
            reason,
        } = self;
        write!(
            f,
            "decision=end task={task} run={run} worker={worker} index={index} outcome={outcome:?} reason={reason}"
        )?;
        number.map_or(Ok(()), |number| write!(f, " number={number}"))
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Placed {
                task,
                run,
                worker,
                free_cpu,
            } => write!(
                f,
                "decision=place task={task} run={run} worker={worker} free_cpu={free_cpu}"
            ),
            Self::StartAnswered {
                task,
                run,
                worker,
                answer,
                after,
            } => write!(
                f,
                "decision=start task={task} run={run} worker={worker} answer={answer} after_ms={}",
                after.as_millis()
            ),
            Self::Ended(ended) => ended.fmt(f),
            Self::Orphan {
                task,
                run,
                worker,
                placed,
            } => write!(
                f,
                "belief=orphan task={task} run={run} worker={worker} placed_run={placed:?}"
            ),
            Self::EndsRecorded {
                index,
                worker,
                through,
            } => write!(
                f,
                "decision=acknowledge_ends worker={worker} index={index} through={through}"
            ),
            Self::EndsRejected { index, ends } => {
                write!(f, "event=ends_rejected index={index} ends={ends}")
            }
            Self::WorkerKnown {
                index,
                worker,
                inherited,
            } => write!(
                f,
                "belief=worker_known worker={worker} index={index} inherited_runs={inherited}"
            ),
            Self::WorkerUnusable {
                worker,
                reason,
                runs,
                silent,
            } => {
                write!(
                    f,
                    "belief=worker_unusable worker={worker} reason={reason} runs={runs} report_age_ms={}",
                    millis(*silent)
                )
            }
            Self::DepartureNoticed {
                index,
                worker,
                started_ms,
                draining,
                runs,
                silent,
            } => write!(
                f,
                "decision=ask_departed worker={worker} index={index} born={started_ms} draining={draining} \
                 runs={runs} report_age_ms={}",
                millis(*silent)
            ),
            Self::DepartureRefuted {
                index,
                worker,
                runs,
                after,
            } => write!(
                f,
                "belief=worker_present worker={worker} index={index} runs={runs} after_ms={}",
                after.as_millis()
            ),
            Self::QuerySent { step, workers } => write!(
                f,
                "decision=ask_eligibility step={:016x}.{}.{} workers={workers}",
                step.job, step.occurrence, step.step
            ),
            Self::Preempted(preempted) => preempted.fmt(f),
            Self::Fenced { worker } => write!(f, "belief=fenced worker={worker}"),
        }
    }
}

/// Returns the milliseconds of a duration as they appear in logs; -1 if it is not known.
fn millis(duration: Option<Duration>) -> i64 {
    duration.map_or(-1, |duration| duration.as_millis() as i64)
}
