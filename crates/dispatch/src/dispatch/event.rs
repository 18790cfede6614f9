//! Decisions that the log shows.

use std::{fmt, time::Duration};

use bronzespoke_control::cell;
use bronzespoke_workload::{advice, directive};

/// One decision or change of belief, with what it rests on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A start was decided.
    Placed {
        /// Task.
        task: directive::Task,
        /// Number of the start.
        run: directive::Run,
        /// Worker.
        worker: String,
        /// Free processors of the worker before, in thousandths of a core.
        free_cpu: u32,
    },
    /// A worker answered a start, or did not in time.
    StartAnswered {
        /// Task.
        task: directive::Task,
        /// Number of the start.
        run: directive::Run,
        /// Worker.
        worker: String,
        /// Answer in words.
        answer: &'static str,
        /// Time since the decision.
        after: Duration,
    },
    /// The end of a run is certain.
    Ended {
        /// Task.
        task: directive::Task,
        /// Number of the start.
        run: directive::Run,
        /// Worker.
        worker: String,
        /// How it ended.
        outcome: directive::Outcome,
    },
    /// A worker is known from now on.
    WorkerKnown {
        /// Number of the life.
        index: cell::WorkerIndex,
        /// Name.
        worker: String,
        /// Runs that an earlier leader placed there.
        inherited: usize,
    },
    /// A worker gets no new work, for a reason.
    WorkerUnusable {
        /// Name.
        worker: String,
        /// Reason.
        reason: &'static str,
        /// Runs on it.
        runs: usize,
        /// Age of its last report.
        silent: Option<Duration>,
    },
    /// The eligibility service was asked.
    QuerySent {
        /// Step.
        step: advice::Step,
        /// Workers that the question names.
        workers: usize,
    },
    /// A worker follows another leader.
    Fenced {
        /// Name.
        worker: String,
    },
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
            Self::Ended {
                task,
                run,
                worker,
                outcome,
            } => write!(
                f,
                "decision=end task={task} run={run} worker={worker} outcome={outcome:?}"
            ),
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
                let silent = silent.map_or(-1, |silent| silent.as_millis() as i64);
                write!(
                    f,
                    "belief=worker_unusable worker={worker} reason={reason} runs={runs} report_age_ms={silent}"
                )
            }
            Self::QuerySent { step, workers } => write!(
                f,
                "decision=ask_eligibility step={:016x}.{}.{} workers={workers}",
                step.job, step.occurrence, step.step
            ),
            Self::Fenced { worker } => write!(f, "belief=fenced worker={worker}"),
        }
    }
}
