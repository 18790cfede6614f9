//! The scheduler of one availability zone: its state and the dispatch of inputs and timers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use bronzespoke_model::{id, job as model_job, resource};

use crate::config::Config;
use crate::message::{Input, Output};
use crate::table::Table;
use crate::{backlog, estimate, index, job, lane, pass, run, table, team, timer, worker};

/// Maximum number of timers handled in one step, which bounds its duration; more wait for the next step.
const TIMERS_PER_STEP: u32 = 512;
/// Interval at which the fair-share keys of all teams are updated.
const SHARES_INTERVAL: Duration = Duration::from_secs(1);

/// Workers of one rack.
#[derive(Debug, Default)]
pub(crate) struct Rack {
    pub(crate) members: Vec<table::Worker>,
    /// Number of members on probation.
    pub(crate) probation: u32,
}

/// Scheduling order of a lane: tier, key of its team, sequence number of its first job.
pub(crate) type Rank = (lane::Tier, u64, u64, table::Lane);

/// A gang that waits to start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Gang {
    pub(crate) job: table::Job,
    /// No capacity is reserved for the gang before this time.
    pub(crate) cooldown_until: Duration,
}

/// Monotonic counters.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) starts: u64,
    pub(crate) placement_attempts: u64,
    pub(crate) workers_evaluated: u64,
    pub(crate) preempted: u64,
    pub(crate) lost_core_seconds: f64,
}

/// The scheduler of one availability zone.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) config: Config,
    pub(crate) random: rand::rngs::SmallRng,
    pub(crate) workers: Table<table::Worker, worker::Record>,
    pub(crate) worker_ids: HashMap<id::WorkerId, table::Worker>,
    pub(crate) racks: Vec<Rack>,
    pub(crate) rack_ids: HashMap<id::RackId, u32>,
    pub(crate) free: index::FreeCapacity,
    /// Workers with a hold.
    pub(crate) held: Vec<table::Worker>,
    pub(crate) draining: Vec<table::Worker>,
    pub(crate) jobs: Table<table::Job, job::Record>,
    pub(crate) job_ids: HashMap<id::JobId, table::Job>,
    pub(crate) teams: Table<table::Team, team::Record>,
    /// Fair-share keys of the teams by slot, kept contiguous because every placement compares them.
    pub(crate) team_keys: Vec<u64>,
    pub(crate) team_ids: HashMap<id::TeamId, table::Team>,
    pub(crate) runs: Table<table::Run, run::Record>,
    pub(crate) tokens: HashMap<id::Token, table::Run>,
    pub(crate) lanes: Table<table::Lane, lane::Lane>,
    pub(crate) classes: Table<table::Class, lane::Class>,
    pub(crate) class_ids: HashMap<(resource::Amount, id::AcceleratorKind), table::Class>,
    /// Classes with listed lanes, by task size.
    pub(crate) demand: index::Demand,
    /// Scratch buffer: classes that fit on the worker being filled.
    pub(crate) fitting: Vec<table::Class>,
    pub(crate) lane_ids: HashMap<lane::Key, table::Lane>,
    /// Teams with lanes in fair-share order, for each tier.
    pub(crate) team_order: [lane::Order; lane::TIERS],
    /// Lanes for which a worker with room may exist.
    pub(crate) runnable: Vec<table::Lane>,
    pub(crate) ranked: BinaryHeap<Reverse<Rank>>,
    /// Workers on which capacity was freed.
    pub(crate) dirty: Vec<table::Worker>,
    pub(crate) backlog: backlog::Backlog,
    /// Remaining number of starts, stops and ends until the next tick.
    pub(crate) work_budget: u32,
    /// Remaining number of placements until the next tick.
    pub(crate) placement_budget: u32,
    /// Remaining number of gangs that may be tried at submission until the next tick.
    pub(crate) gang_attempts: u32,
    pub(crate) gangs: BTreeMap<u64, Gang>,
    /// Whether a pass over the gangs may find something to start or reserve.
    pub(crate) gangs_dirty: bool,
    /// Earliest time of the next pass over the gangs.
    pub(crate) gangs_next: Duration,
    /// Time of the next pass that does not depend on a change.
    pub(crate) gangs_idle_check: Duration,
    /// Gangs for which capacity is reserved.
    pub(crate) reservations: Vec<table::Job>,
    /// Held workers on which capacity may be available for their hold.
    pub(crate) holds_ready: Vec<table::Worker>,
    pub(crate) urgent_next: Duration,
    /// Sequence number of the urgent job at which the next preemption pass begins.
    pub(crate) urgent_cursor: u64,
    /// Jobs that got a hold because they have waited long.
    pub(crate) aged: Vec<table::Job>,
    pub(crate) drain_next: Duration,
    pub(crate) models: HashMap<(table::Team, model_job::Kind), Box<estimate::Model>>,
    /// Number of workers of each capacity.
    pub(crate) capacities: HashMap<(id::AcceleratorKind, resource::Amount), u32>,
    pub(crate) urgent: BTreeMap<u64, table::Job>,
    /// Times of the preemptions within the last second.
    pub(crate) preemptions: VecDeque<Duration>,
    /// Tasks of lost workers that wait for rate-limited release, in order of release.
    pub(crate) lost_tasks: VecDeque<(table::Job, id::JobId, id::TaskIndex)>,
    /// Earliest time of the next release of lost tasks.
    pub(crate) recovery_next: Duration,
    pub(crate) timers: timer::Queue,
    /// Whether a delayed feasibility check of the waiting jobs is scheduled.
    pub(crate) feasibility_pending: bool,
    /// Job slot at which the feasibility check continues.
    pub(crate) feasibility_next: usize,
    /// Total capacity of the workers with a valid lease.
    pub(crate) total: resource::Amount,
    /// Total of the debited amounts.
    pub(crate) used: resource::Amount,
    /// Sum of the weights of teams with waiting or running tasks.
    pub(crate) active_weight: u64,
    pub(crate) next_token: id::Token,
    pub(crate) next_sequence: u64,
    /// When the replicated state was fully restored; none until then.
    pub(crate) restored: Option<Duration>,
    /// Number of workers that have neither reported nor been lost since they were restored or reported as gone.
    pub(crate) unconfirmed: u32,
    /// Time from the restoration until every restored worker was confirmed or lost.
    pub(crate) recovery: Option<Duration>,
    /// Whether the last step ran out of budget and left work for the next one.
    pub(crate) has_more: bool,
    pub(crate) counters: Counters,
}

impl Scheduler {
    /// Returns a scheduler without workers, teams and jobs. It places no task before `Restore::Done`, which must also
    /// be sent if there is nothing to restore.
    pub fn new(config: Config, now: Duration) -> Self {
        let random = rand::SeedableRng::seed_from_u64(config.seed);
        let (work_budget, placement_budget) = (config.work_per_tick, config.placements_per_tick);
        let mut timers = timer::Queue::default();
        timers.push(now + SHARES_INTERVAL, timer::Event::Shares);
        Self {
            config,
            random,
            workers: Table::new(),
            worker_ids: HashMap::new(),
            racks: Vec::new(),
            rack_ids: HashMap::new(),
            free: index::FreeCapacity::default(),
            held: Vec::new(),
            draining: Vec::new(),
            jobs: Table::new(),
            job_ids: HashMap::new(),
            teams: Table::new(),
            team_keys: Vec::new(),
            team_ids: HashMap::new(),
            runs: Table::new(),
            tokens: HashMap::new(),
            lanes: Table::new(),
            classes: Table::new(),
            class_ids: HashMap::new(),
            demand: index::Demand::default(),
            fitting: Vec::new(),
            lane_ids: HashMap::new(),
            team_order: Default::default(),
            runnable: Vec::new(),
            ranked: BinaryHeap::new(),
            dirty: Vec::new(),
            backlog: backlog::Backlog::default(),
            work_budget,
            placement_budget,
            gang_attempts: pass::gang::GANGS_PER_PASS,
            gangs: BTreeMap::new(),
            gangs_dirty: false,
            gangs_next: Duration::ZERO,
            gangs_idle_check: Duration::ZERO,
            reservations: Vec::new(),
            holds_ready: Vec::new(),
            urgent_next: Duration::ZERO,
            urgent_cursor: 0,
            aged: Vec::new(),
            drain_next: Duration::ZERO,
            models: HashMap::new(),
            capacities: HashMap::new(),
            urgent: BTreeMap::new(),
            preemptions: VecDeque::new(),
            lost_tasks: VecDeque::new(),
            recovery_next: Duration::ZERO,
            timers,
            feasibility_pending: false,
            feasibility_next: 0,
            total: resource::Amount::ZERO,
            used: resource::Amount::ZERO,
            active_weight: 0,
            next_token: 1,
            next_sequence: 0,
            restored: None,
            unconfirmed: 0,
            recovery: None,
            has_more: false,
            counters: Counters::default(),
        }
    }

    /// Processes one input at time `now` and appends the resulting outputs. `now` must not decrease between calls.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        self.has_more = false;
        if input == Input::Tick {
            self.reset_budgets();
        }
        self.fire_timers(now, out);
        match input {
            Input::Register(registration) => self.register(now, &registration, true, out),
            Input::Report(report) => self.report(now, report, out),
            Input::WorkerGone { worker, at } => self.worker_gone(now, worker, at, out),
            Input::Submit { job, team, spec } => self.submit(now, job, team, &spec, out),
            Input::Cancel { job } => self.cancel(job, out),
            Input::Ended { task, token, outcome } => self.ended(now, task, token, outcome, out),
            Input::Team {
                team,
                quota,
                allotment,
            } => self.set_team(now, team, &quota, allotment),
            Input::Drain { worker, on } => self.drain(now, worker, on, out),
            Input::Rates {
                preemptions_per_second,
                recovery_starts_per_second,
            } => {
                self.config.preemptions_per_second = preemptions_per_second;
                self.config.recovery_starts_per_second = recovery_starts_per_second;
            }
            Input::Restore(item) => self.restore(now, item, out),
            Input::Tick => {}
        }
        self.continue_backlog(now, out);
        if self.restored.is_some() {
            self.place(now, out);
        }
        self.has_more |= !self.backlog.is_empty();
    }

    /// Returns whether a worker may begin a run: the run has not ended and belongs to the present incarnation of the
    /// worker.
    pub fn may_start(&self, worker: id::WorkerId, token: id::Token) -> bool {
        self.tokens.get(&token).is_some_and(|run| {
            let run = &self.runs[*run];
            !run.earlier_incarnation && self.workers[run.worker].id == worker
        })
    }

    /// Returns the time by which the next step must happen; steps may happen earlier.
    pub fn next_wake(&self) -> Duration {
        if self.has_more {
            return Duration::ZERO;
        }
        self.timers.next().unwrap_or(Duration::MAX)
    }

    fn fire_timers(&mut self, now: Duration, out: &mut Vec<Output>) {
        for _ in 0..TIMERS_PER_STEP {
            if self.work_budget == 0 {
                break;
            }
            let Some(event) = self.timers.pop(now) else {
                return;
            };
            self.fire(now, event, out);
        }
        self.has_more |= self.timers.next().is_some_and(|at| at <= now);
    }

    fn fire(&mut self, now: Duration, event: timer::Event, out: &mut Vec<Output>) {
        match event {
            timer::Event::Lease(worker, id) => self.lease_due(now, worker, id, out),
            timer::Event::EarlierLease(worker, id) => self.earlier_lease_due(now, worker, id, out),
            timer::Event::Run(token) => self.run_due(now, token, out),
            timer::Event::Retry(job, id, index) => self.release_task(job, id, index),
            timer::Event::Hold(worker, id) => self.hold_due(now, worker, id),
            timer::Event::Probation(worker, id) => self.probation_due(worker, id, out),
            timer::Event::Gangs(force) => self.gangs_dirty |= force,
            timer::Event::Urgent => {}
            timer::Event::Recovery => self.release_lost(now),
            timer::Event::Shares => {
                self.refresh_shares(now);
                if self.restored.is_some() && self.config.rules.aging {
                    self.hold_for_aged(now);
                }
                self.timers.push(now + SHARES_INTERVAL, timer::Event::Shares);
            }
            timer::Event::Drain => self.drain_due(now, out),
            timer::Event::Feasibility => self.feasibility_due(now, out),
        }
    }
}
