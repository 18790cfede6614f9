//! The leader's decisions over one term.
//!
//! A start is proposed, committed, ordered and confirmed, in this sequence; its room counts as used from the first of
//! these on. A task is placed again only when the end of its former run is certain: the worker has listed it, the
//! worker's life or lease is over, or the worker has shown that the run can no longer start.

mod directives;
mod event;
mod fleet;
mod lost;
mod report;
mod schedule;
mod waiting;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_model::id;
use bronzespoke_workload::{advice, catalog, directive, job, settings};

pub use event::Event;
pub use fleet::Registration;

use crate::{estimate, orphan, query_queue, reserve, slowness, usage, worker};

/// How long a worker may run without word from the leader. It has to outlast the loss of a leader (an election of at
/// most 1.6 s and the first round of reports), and every second more delays the work of a lost worker by that much.
const LEASE: Duration = Duration::from_secs(6);
/// Lease that a start order names. Bounds how long an unanswered start may still take effect.
const START_LEASE: Duration = Duration::from_secs(3);
/// Shortest time between two scheduling passes, so that a burst of events shares one pass.
const PASS_INTERVAL: Duration = Duration::from_millis(4);
/// Further pause for each step that waits, since a pass looks at all of them.
const PASS_INTERVAL_PER_STEP: Duration = Duration::from_micros(100);
/// Longest time between two scheduling passes. With several hundred steps that wait, a pass takes a few milliseconds of a
/// processor of which the leader has less than a half.
const LONGEST_PASS_INTERVAL: Duration = Duration::from_millis(100);
/// Steps that wait are looked at again after this without any event: questions, tickets and pauses run out by time alone.
const WAITING_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two looks at the timers of all workers and runs.
const TIMER_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two looks at jobs whose retention is over.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);
/// Finished jobs that one command removes.
const MAX_FORGOTTEN_PER_COMMAND: usize = 256;
/// Margin on the retention of finished jobs, for callers whose clock or call is late.
const RETENTION_MARGIN: Duration = Duration::from_secs(30);

const fn first_occurrence(job: job::Key, step: u16) -> advice::Step {
    advice::Step {
        job,
        occurrence: 0,
        step,
    }
}

/// What the shell has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Replicate a command; its outcome comes back through [`Dispatch::committed`].
    Propose(cell::Command),
    /// Send an order; the answer comes back through [`Dispatch::answered`].
    Directive {
        /// Receiver.
        worker: cell::WorkerIndex,
        /// Order.
        directive: directive::Directive,
        /// When it was decided; comes back with the answer.
        decided: Duration,
    },
    /// Ask the eligibility service.
    Query(query_queue::Assignment),
    /// Write a log line.
    Event(Event),
}

/// Settings of a term.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// Fencing token: the term.
    pub token: directive::Token,
    /// Bounds of the platform.
    pub bounds: settings::Bounds,
}

impl Config {
    /// Lease that reports renew.
    fn lease(&self) -> Duration {
        LEASE.min(self.bounds.longest_lease)
    }
}

/// Time of one step: the process's steady clock and the wall clock, which is used for due times only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Since the start of the process, monotonic.
    pub steady: Duration,
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// The leader's decisions.
#[derive(Debug)]
pub struct Dispatch {
    config: Config,
    workers: BTreeMap<cell::WorkerIndex, worker::Worker>,
    usage: usage::Usage,
    estimates: estimate::Estimates,
    slowness: slowness::Slowness,
    unacknowledged: orphan::Unacknowledged,
    /// Runs of lost workers whose start order may still be carried out by the next life.
    uncertain: Vec<lost::Uncertain>,
    /// Lives that are over and whose removal is not committed.
    ended: HashSet<cell::WorkerIndex>,
    /// Configuration that holds the teams' limits.
    limits: Option<Arc<catalog::Catalog>>,
    queries: query_queue::Queue,
    reservations: reserve::Reservations,
    /// Steps with tasks to place.
    waiting: HashMap<advice::Step, waiting::Waiting>,
    /// Steps of submissions whose commit is under way, which are asked about already.
    prefetched: Vec<advice::Step>,
    /// Tasks whose start is proposed and not committed.
    proposed: HashSet<directive::Task>,
    /// Workers on which a task has failed.
    failed_on: HashMap<directive::Task, Vec<cell::WorkerIndex>>,
    dirty: bool,
    pass_at: Duration,
    timers_at: Duration,
    forget_at: Duration,
    outputs: Vec<Output>,
}

impl Dispatch {
    /// Takes over from the replicated state.
    pub fn new(config: Config, state: &cell::State, now: Now) -> Self {
        let mut dispatch = Self {
            config,
            workers: BTreeMap::new(),
            usage: usage::Usage::default(),
            estimates: estimate::Estimates::default(),
            slowness: slowness::Slowness::default(),
            unacknowledged: orphan::Unacknowledged::default(),
            uncertain: Vec::new(),
            ended: HashSet::new(),
            limits: state.catalog().cloned(),
            queries: query_queue::Queue::default(),
            reservations: reserve::Reservations::default(),
            waiting: HashMap::new(),
            prefetched: Vec::new(),
            proposed: HashSet::new(),
            failed_on: HashMap::new(),
            dirty: true,
            pass_at: now.steady,
            timers_at: now.steady,
            forget_at: now.steady + FORGET_INTERVAL,
            outputs: Vec::new(),
        };
        dispatch.inherit(state, now);
        dispatch
    }

    /// Replaces the VMs that may ask the eligibility service.
    pub fn set_proxies(&mut self, proxies: &[id::VmId]) {
        self.queries.set_proxies(proxies);
    }

    /// Fencing token of the term.
    pub const fn token(&self) -> directive::Token {
        self.config.token
    }

    /// Lives of workers, for metrics and tests.
    pub const fn workers(&self) -> &BTreeMap<cell::WorkerIndex, worker::Worker> {
        &self.workers
    }

    /// Steps that wait for room, for metrics.
    pub fn waiting_steps(&self) -> usize {
        self.waiting.len()
    }

    /// Time at which [`Dispatch::tick`] has something to do.
    pub fn next_wake(&self) -> Duration {
        if self.dirty {
            self.pass_at.min(self.timers_at)
        } else {
            self.timers_at
        }
    }

    /// Takes the outputs that have gathered.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Lets timers run and decides on placements.
    pub fn tick(&mut self, state: &cell::State, now: Now) {
        if now.steady >= self.timers_at {
            self.timers_at = now.steady + TIMER_INTERVAL;
            self.expire_leases(now.steady);
            self.settle_uncertain(now.steady);
            let is_late = now.steady >= self.pass_at + WAITING_INTERVAL;
            self.dirty |= is_late && !self.waiting.is_empty();
            self.renew_leases(now.steady);
            self.resend_stops(now.steady);
            self.resend_starts(state, now.steady);
        }
        if self.dirty && now.steady >= self.pass_at {
            self.schedule(state, now);
            let waiting = self.waiting.len() as u32;
            let interval = PASS_INTERVAL + PASS_INTERVAL_PER_STEP * waiting;
            self.pass_at = now.steady + interval.min(LONGEST_PASS_INTERVAL);
        }
        if now.steady >= self.forget_at {
            self.forget_at = now.steady + FORGET_INTERVAL;
            self.forget_finished(state, now.wall_ms);
        }
    }

    /// Takes a command that was committed in this term, after the state has applied it.
    pub fn committed(
        &mut self,
        state: &cell::State,
        now: Now,
        command: &cell::Command,
        outcome: &cell::Outcome,
    ) {
        self.dirty = true;
        match command {
            cell::Command::Submit { key, .. } => self.refresh_job(state, *key),
            cell::Command::Cancel { key } => self.stop_job(*key, now.steady, state),
            cell::Command::Start(starts) => {
                if let cell::Outcome::Started(taken) = outcome {
                    self.send_starts(state, now, starts, taken);
                }
            }
            cell::Command::End(ends) => self.ends_recorded(state, now, ends),
            cell::Command::Register { .. } | cell::Command::Retire { .. } => {
                self.sync_workers(state, now.steady);
            }
            cell::Command::Configure { .. } => {
                self.limits = state.catalog().cloned();
                self.refresh_all(state);
            }
            cell::Command::Forget(_) | cell::Command::Locate { .. } => {}
        }
    }

    /// Takes back a command that will never be committed.
    pub fn rejected(&mut self, state: &cell::State, command: &cell::Command) {
        self.dirty = true;
        match command {
            cell::Command::Start(starts) => {
                for start in starts {
                    self.proposed.remove(&start.task);
                    self.drop_run(start.worker, start.task, start.run);
                    self.refresh_job(state, start.task.job);
                }
            }
            cell::Command::Submit { key, submission, .. } => {
                for step in 0..submission.steps.len() {
                    self.queries.remove(first_occurrence(*key, step as u16));
                }
            }
            // Ends that are not recorded are listed again; without the acknowledgement the worker repeats them.
            cell::Command::End(ends) => self.reset_listed_ends(ends),
            _ => {}
        }
    }

    /// Takes the answer of the eligibility service that came through a helper.
    pub fn query_answered(&mut self, now: Duration, number: u64, answer: &advice::Answer) {
        if self.queries.record_answer(now, number, answer).is_some() {
            self.dirty = true;
        }
    }

    /// Asks about the first steps of a submission while it is being committed.
    pub fn prefetch_eligibility(
        &mut self,
        now: Duration,
        key: job::Key,
        queue: &catalog::Queue,
        submission: &job::Submission,
    ) {
        let Some(cost) = queue.advice.filter(|_| submission.schedule.is_none()) else {
            return;
        };
        for (index, spec) in submission.steps.iter().enumerate() {
            if !spec.after.is_empty() {
                continue;
            }
            let step = first_occurrence(key, index as u16);
            let workers = self.query_candidates(now, queue, spec);
            if self.queries.enqueue(now, step, &cost, workers) {
                self.prefetched.push(step);
                self.dirty = true;
            }
        }
    }

    fn forget_finished(&mut self, state: &cell::State, wall_ms: u64) {
        let keep_ms = (self.config.bounds.retention + RETENTION_MARGIN).as_millis() as u64;
        let old = |job: &&cell::Job| job.is_final() && job.placed == 0 && job.finished_ms + keep_ms < wall_ms;
        let keys: Vec<job::Key> = state
            .jobs()
            .filter(old)
            .take(MAX_FORGOTTEN_PER_COMMAND)
            .map(|job| job.key)
            .collect();
        if !keys.is_empty() {
            self.outputs.push(Output::Propose(cell::Command::Forget(keys)));
        }
    }

    /// Stops counting a run whose end is certain.
    fn drop_run(
        &mut self,
        worker: cell::WorkerIndex,
        task: directive::Task,
        run: directive::Run,
    ) -> Option<worker::Run> {
        let removed = self.workers.get_mut(&worker)?.remove(task, run)?;
        self.usage.remove(removed.team.as_deref(), removed.size);
        self.dirty = true;
        Some(removed)
    }
}
