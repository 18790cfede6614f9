//! The scheduler of one availability zone: its state, and the dispatch of a step.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use bronzespoke_model::{id, job as model_job, resource};

use crate::config::Config;
use crate::message::{Input, Output};
use crate::table::Table;
use crate::{backlog, estimate, index, job, lane, pass, run, table, team, timer, worker};

/// Timers handled in one step; more wait for the next step, so that no step takes long.
const TIMERS_PER_STEP: u32 = 512;
/// Interval at which fair-share keys are refreshed.
const SHARES_INTERVAL: Duration = Duration::from_secs(1);

/// Workers of one rack.
#[derive(Debug, Default)]
pub(crate) struct Rack {
    pub(crate) members: Vec<table::Worker>,
    /// Members on probation.
    pub(crate) probation: u32,
}

/// A lane's turn: tier, key of its team, order of its first job.
pub(crate) type Turn = (lane::Tier, u64, u64, table::Lane);

/// A gang that waits to start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Gang {
    pub(crate) job: table::Job,
    /// No capacity is reserved for it before this.
    pub(crate) cool_until: Duration,
}

/// Sums that only grow.
#[derive(Debug, Default)]
pub(crate) struct Counts {
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
    pub(crate) free: index::Free,
    /// Workers with a hold.
    pub(crate) held: Vec<table::Worker>,
    pub(crate) draining: Vec<table::Worker>,
    pub(crate) jobs: Table<table::Job, job::Record>,
    pub(crate) job_ids: HashMap<id::JobId, table::Job>,
    pub(crate) teams: Table<table::Team, team::Record>,
    /// Keys of the teams by slot, close together because every choice compares them.
    pub(crate) keys: Vec<u64>,
    pub(crate) team_ids: HashMap<id::TeamId, table::Team>,
    pub(crate) runs: Table<table::Run, run::Record>,
    pub(crate) tokens: HashMap<id::Token, table::Run>,
    pub(crate) lanes: Table<table::Lane, lane::Lane>,
    pub(crate) classes: Table<table::Class, lane::Class>,
    pub(crate) class_ids: HashMap<(resource::Amount, id::AcceleratorKind), table::Class>,
    /// Classes with listed lanes, by need.
    pub(crate) demand: index::Demand,
    /// Classes that fit on the worker that is filled.
    pub(crate) fitting: Vec<table::Class>,
    pub(crate) lane_ids: HashMap<lane::Key, table::Lane>,
    /// Teams with lanes, by turn, for each tier.
    pub(crate) order: [lane::Order; lane::TIERS],
    /// Lanes for which a worker with room may exist.
    pub(crate) fresh: Vec<table::Lane>,
    pub(crate) turns: BinaryHeap<Reverse<Turn>>,
    /// Workers on which room was freed.
    pub(crate) dirty: Vec<table::Worker>,
    pub(crate) backlog: backlog::Backlog,
    /// Starts, stops and ends that are left until the next tick.
    pub(crate) work: u32,
    /// Placements that are left until the next tick.
    pub(crate) placements: u32,
    /// Submitted gangs that may be tried at once until the next tick.
    pub(crate) gang_tries: u32,
    pub(crate) gangs: BTreeMap<u64, Gang>,
    pub(crate) gangs_dirty: bool,
    pub(crate) gangs_next: Duration,
    pub(crate) gangs_look: Duration,
    /// Gangs for which capacity is reserved.
    pub(crate) reservations: Vec<table::Job>,
    /// Held workers on which room was freed in this step.
    pub(crate) hold_ready: Vec<table::Worker>,
    pub(crate) urgent_next: Duration,
    /// Order of the urgent job at which the next pass over them begins.
    pub(crate) urgent_from: u64,
    /// Jobs that hold a worker because they have waited long.
    pub(crate) aged: Vec<table::Job>,
    pub(crate) drain_next: Duration,
    pub(crate) models: HashMap<(table::Team, model_job::Kind), Box<estimate::Model>>,
    /// Number of workers of each capacity.
    pub(crate) shapes: HashMap<(id::AcceleratorKind, resource::Amount), u32>,
    pub(crate) urgent: BTreeMap<u64, table::Job>,
    /// Times of the preemptions in the last second.
    pub(crate) preemptions: VecDeque<Duration>,
    /// Tasks that lost workers left behind, in order of release.
    pub(crate) lost: VecDeque<(table::Job, id::JobId, id::TaskIndex)>,
    /// When lost work may be released again.
    pub(crate) recovery_next: Duration,
    pub(crate) timers: timer::Queue,
    /// Whether a check for impossible jobs is due.
    pub(crate) possible_pending: bool,
    /// Job slot at which the check goes on.
    pub(crate) possible_next: usize,
    /// Capacity of the workers whose lease holds.
    pub(crate) total: resource::Amount,
    pub(crate) used: resource::Amount,
    /// Sum of the weights of teams that have waiting or running work.
    pub(crate) active_weight: u64,
    pub(crate) next_token: id::Token,
    pub(crate) next_sequence: u64,
    /// When the restored state was complete.
    pub(crate) restored: Option<Duration>,
    /// Restored workers that have neither reported nor lost their lease.
    pub(crate) unconfirmed: u32,
    pub(crate) recovery: Option<Duration>,
    /// Whether a step stopped at its bound.
    pub(crate) more: bool,
    pub(crate) counts: Counts,
}

impl Scheduler {
    /// Returns a scheduler without workers, teams and jobs. It places nothing before `Restore::Done`, which is
    /// also sent when there is nothing to restore.
    pub fn new(config: Config, now: Duration) -> Self {
        let random = rand::SeedableRng::seed_from_u64(config.seed);
        let (work, placements) = (config.work_per_tick, config.placements_per_tick);
        let mut timers = timer::Queue::default();
        timers.push(now + SHARES_INTERVAL, timer::Event::Shares);
        Self {
            config,
            random,
            workers: Table::new(),
            worker_ids: HashMap::new(),
            racks: Vec::new(),
            rack_ids: HashMap::new(),
            free: index::Free::default(),
            held: Vec::new(),
            draining: Vec::new(),
            jobs: Table::new(),
            job_ids: HashMap::new(),
            teams: Table::new(),
            keys: Vec::new(),
            team_ids: HashMap::new(),
            runs: Table::new(),
            tokens: HashMap::new(),
            lanes: Table::new(),
            classes: Table::new(),
            class_ids: HashMap::new(),
            demand: index::Demand::default(),
            fitting: Vec::new(),
            lane_ids: HashMap::new(),
            order: Default::default(),
            fresh: Vec::new(),
            turns: BinaryHeap::new(),
            dirty: Vec::new(),
            backlog: backlog::Backlog::default(),
            work,
            placements,
            gang_tries: pass::gang::COUNTED,
            gangs: BTreeMap::new(),
            gangs_dirty: false,
            gangs_next: Duration::ZERO,
            gangs_look: Duration::ZERO,
            reservations: Vec::new(),
            hold_ready: Vec::new(),
            urgent_next: Duration::ZERO,
            urgent_from: 0,
            aged: Vec::new(),
            drain_next: Duration::ZERO,
            models: HashMap::new(),
            shapes: HashMap::new(),
            urgent: BTreeMap::new(),
            preemptions: VecDeque::new(),
            lost: VecDeque::new(),
            recovery_next: Duration::ZERO,
            timers,
            possible_pending: false,
            possible_next: 0,
            total: resource::Amount::ZERO,
            used: resource::Amount::ZERO,
            active_weight: 0,
            next_token: 1,
            next_sequence: 0,
            restored: None,
            unconfirmed: 0,
            recovery: None,
            more: false,
            counts: Counts::default(),
        }
    }

    /// Takes one input at `now` and appends what is to be done. `now` never decreases.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        self.more = false;
        if input == Input::Tick {
            self.renew_bounds();
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
            Input::Restore(part) => self.restore(now, part, out),
            Input::Tick => {}
        }
        self.continue_backlog(now, out);
        if self.restored.is_some() {
            self.place(now, out);
        }
        self.more |= !self.backlog.is_empty();
    }

    /// Tells whether a worker may begin a run: the run has not ended, and belongs to the worker's present life.
    pub fn may_start(&self, worker: id::WorkerId, token: id::Token) -> bool {
        self.tokens.get(&token).is_some_and(|run| {
            let run = &self.runs[*run];
            !run.former && self.workers[run.worker].id == worker
        })
    }

    /// Returns the latest time of the next step; earlier steps do no harm.
    pub fn next_wake(&self) -> Duration {
        if self.more {
            return Duration::ZERO;
        }
        self.timers.next().unwrap_or(Duration::MAX)
    }

    fn fire_timers(&mut self, now: Duration, out: &mut Vec<Output>) {
        for _ in 0..TIMERS_PER_STEP {
            if self.work == 0 {
                break;
            }
            let Some(event) = self.timers.pop(now) else {
                return;
            };
            self.fire(now, event, out);
        }
        self.more |= self.timers.next().is_some_and(|at| at <= now);
    }

    fn fire(&mut self, now: Duration, event: timer::Event, out: &mut Vec<Output>) {
        match event {
            timer::Event::Lease(worker, id) => self.lease_due(now, worker, id, out),
            timer::Event::Former(worker, id) => self.former_due(now, worker, id, out),
            timer::Event::Run(token) => self.run_due(now, token, out),
            timer::Event::Retry(job, id, index) => self.release_task(job, id, index),
            timer::Event::Hold(worker, id) => self.hold_due(now, worker, id),
            timer::Event::Probation(worker, id) => self.probation_due(worker, id, out),
            timer::Event::Gangs(look) => self.gangs_dirty |= look,
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
            timer::Event::Possible => self.possible_due(now, out),
        }
    }
}
