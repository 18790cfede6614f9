//! Decisions of the leader during one term.
//!
//! A start is proposed, committed, sent and confirmed, in this sequence; its resources count as used from the proposal
//! on. A task is placed again only when the end of its previous run is proved: the worker has reported it, the worker's
//! incarnation or lease has ended, or the worker has shown that the run can no longer start. What proves the end of an
//! incarnation is defined in `proof`.

mod candidate;
mod directives;
mod evacuation;
mod event;
mod fleet;
mod gang;
mod late;
mod lost;
mod past_use;
mod proof;
mod report;
mod schedule;
mod shares;
mod speeds;
mod waiting;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
    ops::RangeInclusive,
    sync::Arc,
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_model::id;
use bronzespoke_workload::{catalog, directive, eligibility, job, settings, worker as announced};

pub use event::Event;
pub use fleet::Registration;

use crate::{
    calendar, directory, estimate, orphan, pace, query_queue, recent, reserve, room, share, slowness, speed,
    usage, work, worker,
};

/// Lease of a worker without contact to the leader. It has to outlast the loss of a leader (an election of at most 1.6
/// s and the first round of reports), and each additional second delays the work of a lost worker by as much.
const LEASE: Duration = Duration::from_secs(6);
/// Lease in a start directive. It bounds how long an unacknowledged start may still take effect.
pub(crate) const START_LEASE: Duration = Duration::from_secs(3);
/// Minimum interval between two scheduling passes, so that a burst of events shares one pass.
const PASS_INTERVAL: Duration = Duration::from_millis(4);
/// Additional interval for each waiting step, since a pass evaluates all of them.
const PASS_INTERVAL_PER_STEP: Duration = Duration::from_micros(60);
/// Maximum interval between two scheduling passes.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(100);
/// Time without any event after which waiting steps are evaluated again, since queries, tickets and pauses expire by
/// time alone.
const WAITING_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two checks of the timers of workers and runs.
const TIMER_INTERVAL: Duration = Duration::from_millis(20);
/// Workers whose timers one check handles at most. A large fleet takes several checks, since each worker's timers last
/// hundreds of milliseconds and a check of all workers would cost the same however few of them are due.
const WORKERS_PER_CHECK: u32 = 256;
/// Interval between two checks for jobs whose retention has expired.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between two checks while more jobs are due than one command removes: the target of 2,500 starts per second
/// finishes as many jobs.
const FORGET_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of finished jobs that one command removes.
const MAX_FORGOTTEN_JOBS: usize = 256;
/// Margin on the retention of finished jobs, for callers whose clock or call is late.
const RETENTION_MARGIN: Duration = Duration::from_secs(30);

const fn first_occurrence(job: job::Key, step: u16) -> eligibility::Step {
    eligibility::Step {
        job,
        occurrence: 0,
        step,
    }
}

/// Returns the range of the tasks of some occurrences of a job.
const fn tasks_of(job: job::Key, occurrences: RangeInclusive<u32>) -> RangeInclusive<directive::Task> {
    let first = directive::Task {
        job,
        occurrence: *occurrences.start(),
        step: 0,
        index: 0,
    };
    let last = directive::Task {
        job,
        occurrence: *occurrences.end(),
        step: u16::MAX,
        index: u32::MAX,
    };
    first..=last
}

/// Action for the caller of [`Dispatch`] to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Replicate a command; its outcome is passed to [`Dispatch::committed`].
    Propose(cell::Command),
    /// Send a directive; the answer is passed to [`Dispatch::answered`].
    Directive {
        /// Worker that receives the directive.
        worker: cell::WorkerIndex,
        /// Directive to send.
        directive: directive::Directive,
        /// Time of the decision, passed back with the answer.
        decided: Duration,
    },
    /// Send a query to the eligibility service; the answer is passed to [`Dispatch::query_answered`].
    Query(query_queue::Assignment),
    /// Write a log line.
    Event(Event),
}

/// Settings of one term.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// Fencing token, which is the term.
    pub token: directive::Token,
    /// Time bounds of the platform.
    pub bounds: settings::Bounds,
    /// Half-life of the teams' past use; `None` if it is not counted.
    pub past_use: Option<Duration>,
}

impl Config {
    /// Returns the duration to which requests for reports renew a worker's lease.
    fn lease(&self) -> Duration {
        LEASE.min(self.bounds.longest_lease)
    }
}

/// Current time: the process's monotonic clock, and the wall clock, which is used for due times only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Time since the start of the process, monotonic.
    pub steady: Duration,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// Workers whose timers are checked together.
#[derive(Debug, Clone, Copy)]
struct TimerGroup {
    groups: u32,
    turn: u32,
}

impl TimerGroup {
    const fn contains(self, worker: cell::WorkerIndex) -> bool {
        worker % self.groups == self.turn
    }
}

/// Scheduling state and decisions of a leader.
#[derive(Debug)]
pub struct Dispatch {
    config: Config,
    workers: BTreeMap<cell::WorkerIndex, worker::Worker>,
    /// Registered incarnations, including those that have ended.
    directory: directory::Directory,
    /// Free resources of the workers.
    rooms: room::Index,
    usage: usage::Usage,
    estimates: estimate::Estimates,
    slowness: slowness::Slowness,
    speeds: speed::Speeds,
    kept: pace::Kept,
    /// Speeds of the pools as the log shows them, and the time of the newest line.
    reported_speeds: HashMap<String, speed::Range>,
    speeds_reported_at: Duration,
    /// Time at which the age of the recorded speeds of absent machines was updated.
    speeds_aged_at: Duration,
    shares: share::Shares,
    /// Time of the next record of past use.
    past_use_at: Duration,
    unacknowledged: orphan::Unacknowledged,
    /// Starts of former leaders, of which this one does not know whether they were acknowledged.
    inherited_starts: orphan::Unacknowledged,
    /// Runs of lost workers whose start directive may still be carried out by the next incarnation.
    uncertain: Vec<lost::Uncertain>,
    /// Ends whose record was rejected, by proposal, with the time at which it is proposed again.
    rejected_ends: VecDeque<(Duration, Vec<cell::End>)>,
    /// Incarnations that have ended and whose removal is not committed, with the time at which it is proposed.
    ended: BTreeMap<cell::WorkerIndex, Duration>,
    /// Configuration with the upper limits of the teams.
    limits: Option<Arc<catalog::Catalog>>,
    queries: query_queue::Queue,
    reservations: reserve::Reservations,
    /// Next occurrences of scheduled jobs.
    calendar: calendar::Calendar,
    /// Steps with tasks to place.
    waiting: HashMap<eligibility::Step, waiting::Waiting>,
    /// Steps of submissions that are being committed, for which queries are already enqueued.
    prefetched: Vec<eligibility::Step>,
    /// Tasks whose start is proposed and not committed. A task stays here when its worker is lost meanwhile: another
    /// start of it would have the same run number.
    proposed: HashSet<directive::Task>,
    /// Tasks of which a run exists that is not placed, with the workers whose newest report lists it.
    orphaned: BTreeSet<(directive::Task, cell::WorkerIndex)>,
    /// Jobs whose first start was decided in this term, while no worker has confirmed any of their runs.
    unconfirmed: HashSet<job::Key>,
    /// Announced incarnations whose registration is not committed, with the time until which they are slow after their
    /// start.
    cold: HashMap<announced::Incarnation, Duration>,
    /// Workers on which a task has failed.
    failed_on: BTreeMap<directive::Task, Vec<cell::WorkerIndex>>,
    dirty: bool,
    pass_at: Duration,
    timers_at: Duration,
    timer_turn: u32,
    forget_at: Duration,
    work: work::Work,
    outputs: Vec<Output>,
}

impl Dispatch {
    /// Creates the state of a new term from the replicated state and the starts that this replica has applied recently.
    pub fn new(config: Config, state: &cell::State, recent: &recent::Starts, now: Now) -> Self {
        let mut dispatch = Self {
            config,
            workers: BTreeMap::new(),
            directory: directory::Directory::default(),
            rooms: room::Index::default(),
            usage: usage::Usage::default(),
            estimates: estimate::Estimates::default(),
            slowness: slowness::Slowness::default(),
            speeds: speed::Speeds::default(),
            kept: pace::Kept::default(),
            reported_speeds: HashMap::new(),
            speeds_reported_at: Duration::ZERO,
            speeds_aged_at: now.steady,
            shares: share::Shares::default(),
            past_use_at: Duration::ZERO,
            unacknowledged: orphan::Unacknowledged::default(),
            inherited_starts: orphan::Unacknowledged::default(),
            uncertain: Vec::new(),
            rejected_ends: VecDeque::new(),
            ended: BTreeMap::new(),
            limits: state.catalog().cloned(),
            queries: query_queue::Queue::new(config.token),
            reservations: reserve::Reservations::default(),
            calendar: calendar::Calendar::default(),
            waiting: HashMap::new(),
            prefetched: Vec::new(),
            proposed: HashSet::new(),
            orphaned: BTreeSet::new(),
            unconfirmed: HashSet::new(),
            cold: HashMap::new(),
            failed_on: BTreeMap::new(),
            dirty: true,
            pass_at: now.steady,
            timers_at: now.steady,
            timer_turn: 0,
            forget_at: now.steady + FORGET_INTERVAL,
            work: work::Work::default(),
            outputs: Vec::new(),
        };
        dispatch.inherit(state, recent, now);
        dispatch.inherit_speeds(state, now.steady);
        dispatch.inherit_past_use(state, now.steady);
        dispatch
    }

    /// Replaces the VMs that act as proxies for eligibility queries.
    pub fn set_proxies(&mut self, proxies: &[id::VmId]) {
        self.queries.set_proxies(proxies);
    }

    /// Returns the fencing token of the term.
    pub const fn token(&self) -> directive::Token {
        self.config.token
    }

    /// Returns the workers, for sending directives, metrics and tests.
    pub const fn workers(&self) -> &BTreeMap<cell::WorkerIndex, worker::Worker> {
        &self.workers
    }

    /// Returns the number of waiting steps, for metrics and logs.
    pub fn waiting_steps(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the phase of a job as far as workers have confirmed it: a start that is recorded may not have been carried
    /// out.
    pub fn phase(&self, job: &cell::Job) -> job::Phase {
        if job.phase == job::Phase::Running && self.unconfirmed.contains(&job.key) {
            job::Phase::Queued
        } else {
            job.phase
        }
    }

    /// Returns the number of jobs of a queue of which no task is known to have started.
    pub fn pending(&self, state: &cell::State, queue: &str) -> u64 {
        let started = self.unconfirmed.iter().filter_map(|key| state.job(*key));
        let started = started.filter(|job| job.queue.name == queue && job.phase == job::Phase::Running);
        state.pending(queue) + started.count() as u64
    }

    /// Returns the work of the scheduling passes of this term.
    pub const fn work(&self) -> work::Work {
        self.work
    }

    /// Compares the derived tables with those that they are derived from.
    pub fn verify(&mut self) -> Result<(), String> {
        self.rooms.refresh(&self.workers);
        self.rooms.verify(&self.workers)
    }

    /// Returns the time at which [`Dispatch::tick`] has to be called next.
    pub fn next_wake(&self) -> Duration {
        if self.dirty {
            self.pass_at.min(self.timers_at)
        } else {
            self.timers_at
        }
    }

    /// Returns the outputs that were collected since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Runs due timers and decides on placements.
    pub fn tick(&mut self, state: &cell::State, now: Now) {
        if now.steady >= self.timers_at {
            self.timers_at = now.steady + TIMER_INTERVAL;
            let group = self.next_timer_group();
            self.expire_leases(now.steady, group);
            self.expire_uncertain(now.steady);
            self.repeat_rejected_ends(now.steady);
            self.retire_ended(now.steady);
            self.open_due(state, now.wall_ms);
            let is_late = now.steady >= self.pass_at + WAITING_INTERVAL;
            self.dirty |= is_late && !self.waiting.is_empty();
            self.renew_leases(now.steady, group);
            self.resend_stops(now.steady, group);
            self.resend_starts(state, now.steady, group);
            self.record_past_use(state, now.steady);
        }
        if self.dirty && now.steady >= self.pass_at {
            self.schedule(state, now);
            let waiting = self.waiting.len() as u32;
            let interval = PASS_INTERVAL + PASS_INTERVAL_PER_STEP * waiting;
            self.pass_at = now.steady + interval.min(MAX_PASS_INTERVAL);
        }
        if now.steady >= self.forget_at {
            self.forget_at = now.steady + FORGET_INTERVAL;
            self.inherited_starts.forget_expired(now.steady);
            self.unacknowledged.forget_expired(now.steady);
            self.forget_finished(state, now.steady, now.wall_ms);
        }
    }

    /// Returns the workers whose timers are checked next.
    fn next_timer_group(&mut self) -> TimerGroup {
        let groups = (self.workers.len() as u32).div_ceil(WORKERS_PER_CHECK).max(1);
        self.timer_turn = self.timer_turn.wrapping_add(1);
        TimerGroup {
            groups,
            turn: self.timer_turn % groups,
        }
    }

    /// Handles a command that was committed in this term, after it was applied to the state.
    pub fn committed(
        &mut self,
        state: &cell::State,
        now: Now,
        command: &cell::Command,
        outcome: &cell::Outcome,
    ) {
        self.dirty = true;
        match command {
            cell::Command::Submit { .. } if matches!(outcome, cell::Outcome::Withdrawn(_)) => {
                self.rejected(state, now.steady, command);
            }
            cell::Command::Submit { key, .. } => self.refresh_job(state, *key),
            cell::Command::Withdraw { .. } if *outcome != cell::Outcome::Done => {}
            cell::Command::Cancel { key } | cell::Command::Withdraw { key, .. } => {
                self.stop_job(*key, now.steady, state);
            }
            cell::Command::Start(starts) => {
                if let cell::Outcome::Started(accepted) = outcome {
                    self.send_starts(state, now, starts, accepted);
                }
            }
            cell::Command::End(ends) => self.ends_recorded(state, now, ends),
            cell::Command::Register { incarnation, .. } => {
                self.registered(state, now.steady, incarnation);
            }
            cell::Command::Retire { worker } => self.retired(*worker),
            cell::Command::Configure { .. } => {
                self.limits = state.catalog().cloned();
                self.refresh_all(state);
            }
            cell::Command::Evacuate { .. } => self.mark_evacuated(state),
            cell::Command::Forget(_) | cell::Command::Locate { .. } | cell::Command::Learn { .. } => {}
        }
    }

    /// Handles a command that will never be committed.
    pub fn rejected(&mut self, state: &cell::State, now: Duration, command: &cell::Command) {
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
            cell::Command::End(ends) => self.ends_rejected(now, ends),
            _ => {}
        }
    }

    /// Handles an answer of the eligibility service.
    pub fn query_answered(&mut self, now: Duration, number: u64, answer: &eligibility::Answer) {
        if self.queries.record_answer(now, number, answer).is_some() {
            self.dirty = true;
        }
    }

    /// Enqueues queries about the first steps of a submission while it is being committed.
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
            let pace = self.pace_of_submitted(now, queue, submission, index as u16);
            let workers = self.query_candidates(now, queue, spec, pace.as_ref());
            if self.queries.enqueue(now, step, &cost, workers) {
                self.prefetched.push(step);
                self.dirty = true;
            }
        }
    }

    fn forget_finished(&mut self, state: &cell::State, now: Duration, wall_ms: u64) {
        let keep_ms = (self.config.bounds.retention + RETENTION_MARGIN).as_millis() as u64;
        let is_expired =
            |job: &&cell::Job| job.is_final() && job.placed == 0 && job.finished_ms + keep_ms < wall_ms;
        let keys: Vec<job::Key> = state
            .jobs()
            .filter(is_expired)
            .take(MAX_FORGOTTEN_JOBS)
            .map(|job| job.key)
            .collect();
        if keys.len() == MAX_FORGOTTEN_JOBS {
            self.forget_at = now + FORGET_PAUSE;
        }
        if !keys.is_empty() {
            self.outputs.push(Output::Propose(cell::Command::Forget(keys)));
        }
    }

    /// Removes a run whose end is confirmed.
    fn drop_run(
        &mut self,
        worker: cell::WorkerIndex,
        task: directive::Task,
        run: directive::Run,
    ) -> Option<worker::Run> {
        let removed = self.workers.get_mut(&worker)?.remove(task, run)?;
        self.usage.remove(removed.team.as_deref(), removed.size);
        self.rooms.touch(worker);
        self.dirty = true;
        Some(removed)
    }
}
