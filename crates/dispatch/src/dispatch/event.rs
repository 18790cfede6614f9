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
    /// The worker of a run is lost, and the directive that starts the run may still be carried out by the next incarnation.
    /// The task waits for the report of that one.
    RunUncertain(UncertainRun),
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
    /// Workers are reserved for a gang that does not fit.
    GangReserved(GangReserved),
    /// A team has passed its share, or returned to it.
    TeamShare(TeamShare),
    /// Past use of a team has placed a step of it later.
    PastUse(PastUse),
    /// The workers of a pool differ in speed, as far as their runs show, or do not differ any more.
    SpeedsLearned(SpeedsLearned),
    /// A worker refused a directive because it has received a higher fencing token, that is, it follows another
    /// leader.
    Fenced {
        /// Name of the worker.
        worker: String,
    },
}

/// Speeds of the workers of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpeedsLearned {
    /// Name of the pool.
    pub pool: String,
    /// Number of workers whose speed is known.
    pub workers: usize,
    /// Speed of its slow workers, in thousandths of the mean speed.
    pub slowest_milli: u32,
    /// Speed of its fast workers, in thousandths of the mean speed.
    pub fastest_milli: u32,
}

impl fmt::Display for SpeedsLearned {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "decision=learn_speeds pool={} workers={} slowest_milli={} fastest_milli={}",
            self.pool, self.workers, self.slowest_milli, self.fastest_milli
        )
    }
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

/// A run of a lost worker whose start may still be carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UncertainRun {
    /// Task of the run.
    pub task: directive::Task,
    /// Number of the run.
    pub run: directive::Run,
    /// Name of the worker.
    pub worker: String,
    /// Index of the worker's incarnation.
    pub index: cell::WorkerIndex,
    /// Evidence of the loss as it appears in logs.
    pub reason: &'static str,
    /// Time for which the task waits if nothing reports.
    pub wait: Duration,
}

/// A gang for which workers are reserved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GangReserved {
    /// Step of the gang.
    pub step: eligibility::Step,
    /// Number of workers.
    pub workers: usize,
    /// Number of members.
    pub members: u32,
    /// Time until the gang is expected to fit.
    pub due: Duration,
}

impl fmt::Display for GangReserved {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let eligibility::Step {
            job,
            occurrence,
            step,
        } = self.step;
        write!(
            f,
            "decision=reserve step={job:016x}.{occurrence}.{step} workers={} members={} due_in_ms={}",
            self.workers,
            self.members,
            self.due.as_millis()
        )
    }
}

impl fmt::Display for UncertainRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            task,
            run,
            worker,
            index,
            reason,
            wait,
        } = self;
        write!(
            f,
            "belief=run_uncertain task={task} run={run} worker={worker} index={index} reason={reason} wait_ms={}",
            wait.as_millis()
        )
    }
}

/// A step that the past use of its team has placed later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PastUse {
    /// Name of the team.
    pub team: String,
    /// First of the steps.
    pub step: eligibility::Step,
    /// Past use of the team, in millionths of the fleet.
    pub past_micro: u64,
    /// Time by which the step counts as less urgent.
    pub shift_ms: u64,
}

impl fmt::Display for PastUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            team,
            step,
            past_micro,
            shift_ms,
        } = self;
        write!(
            f,
            "decision=past_use team={team} step={:016x}.{}.{} past_micro={past_micro} shift_ms={shift_ms}",
            step.job, step.occurrence, step.step
        )
    }
}

/// Share of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamShare {
    /// Name of the team; empty for calls without a team.
    pub team: String,
    /// Dominant share of the fleet that its runs use, in millionths.
    pub share_micro: u64,
    /// Its fair share, in millionths; `None` while the fleet has room for all work.
    pub fair_micro: Option<u64>,
    /// Number of its waiting steps.
    pub waiting: u32,
    /// Number of waiting steps of jobs beyond the number that it is owed.
    pub excess: u32,
    /// Whether its work is placed after that of teams within their share.
    pub beyond: bool,
}

impl fmt::Display for TeamShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            team,
            share_micro,
            fair_micro,
            waiting,
            excess,
            beyond,
        } = self;
        write!(
            f,
            "decision=share team={team} beyond={beyond} share_micro={share_micro} waiting={waiting} excess={excess}"
        )?;
        fair_micro.map_or(Ok(()), |fair| write!(f, " fair_micro={fair}"))
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
            Self::RunUncertain(uncertain) => uncertain.fmt(f),
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
            Self::GangReserved(reserved) => reserved.fmt(f),
            Self::TeamShare(share) => share.fmt(f),
            Self::PastUse(moved) => moved.fmt(f),
            Self::SpeedsLearned(learned) => learned.fmt(f),
            Self::Fenced { worker } => write!(f, "belief=fenced worker={worker}"),
        }
    }
}

/// Returns the milliseconds of a duration as they appear in logs; -1 if it is not known.
fn millis(duration: Option<Duration>) -> i64 {
    duration.map_or(-1, |duration| duration.as_millis() as i64)
}
