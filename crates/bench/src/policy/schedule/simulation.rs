//! Simulation of a planned workload under one scheduler or baseline.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use bronzespoke_model::{id, job, resource, task, team, worker};
use bronzespoke_schedule::message::{Reason, Restore};
use bronzespoke_schedule::{Config, Input, Output, Scheduler};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::baseline::Baseline;
use super::work::{Fleet, Job};

/// Scheduler or baseline that places the tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Driver {
    /// Scheduler of the `schedule` package.
    Scheduler,
    /// First fit over one queue.
    FirstFit,
    /// One queue per team, served in rotation.
    TeamQueues,
}

/// Drivers in the order of their rows.
pub(super) const DRIVERS: [Driver; 3] = [Driver::Scheduler, Driver::FirstFit, Driver::TeamQueues];

impl Driver {
    /// Returns the last part of the names of the driver's rows.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Scheduler => "scheduler",
            Self::FirstFit => "first-fit",
            Self::TeamQueues => "team-queues",
        }
    }
}

/// Measured values of one run.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    /// Seconds from the submission to the first start, by kind, sorted.
    pub(super) waits: BTreeMap<&'static str, Vec<f64>>,
    /// Share of the capacity that tasks actually use while tasks wait, by dimension.
    pub(super) packing: [f64; 3],
    /// Mean over time of the largest deficit of a waiting team against its weighted share.
    pub(super) share_deficit: f64,
    /// Runs that were preempted.
    pub(super) preempted: u64,
    /// Core-seconds of preempted runs without a checkpoint.
    pub(super) lost_core_seconds: f64,
    /// Tasks that had not started by the end.
    pub(super) unstarted: u64,
    /// Placement attempts per start.
    pub(super) decisions: f64,
    /// Starts that granted more of a worker than its capacity.
    pub(super) overfilled: u64,
}

/// Returns a quantile of values in ascending order, or zero if there are none.
pub(super) fn quantile(values: &[f64], quantile: f64) -> f64 {
    let last = values.len().saturating_sub(1) as f64;
    values.get((last * quantile) as usize).copied().unwrap_or(0.0)
}

/// Time after which the lease of a failed worker has expired, including clock drift.
const LEASE_WITH_DRIFT: Duration = Duration::from_millis(10_200);
const REPORT_INTERVAL: Duration = Duration::from_secs(3);
const SAMPLE_INTERVAL: Duration = Duration::from_secs(5);
/// Time from a stop directive until the worker has ended the run and reported it.
const STOP_TIME: Duration = Duration::from_millis(100);
const CHECKPOINT_TIME: Duration = Duration::from_millis(300);
const FAIL_TIME: Duration = Duration::from_millis(200);
/// One worker in this many fails all its runs.
const FAULTY_EVERY: u64 = 50;
const WORKERS_PER_RACK: u64 = 8;
/// One job in this many is cancelled halfway through the run.
const CANCEL_EVERY: u64 = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    End(id::Token),
    Stopped(id::Token),
    Checkpointed(id::Token),
    Report(id::WorkerId),
    Cancellations,
    RackLost,
    LeasesExpired,
    Sample,
    Wake,
}

struct Run {
    task: task::Ref,
    worker: id::WorkerId,
    granted: resource::Amount,
    started: Duration,
}

enum Engine {
    Scheduler(Box<Scheduler>),
    Baseline(Box<Baseline>),
}

struct Simulation<'a> {
    now: Duration,
    fleet: &'a Fleet,
    plan: &'a [Job],
    engine: Engine,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    runs: BTreeMap<id::Token, Run>,
    by_worker: HashMap<id::WorkerId, HashSet<id::Token>>,
    sequence: HashMap<id::WorkerId, u64>,
    failed: HashSet<id::WorkerId>,
    /// Run time that checkpoints have preserved, by task.
    progress: HashMap<task::Ref, Duration>,
    /// Tasks that have started at least once, or were cancelled while they waited.
    started: HashSet<task::Ref>,
    cancelled: HashSet<id::JobId>,
    waiting: BTreeMap<id::TeamId, i64>,
    granted: BTreeMap<id::WorkerId, resource::Amount>,
    starts: u64,
    next_wake: Duration,
    random: SmallRng,
    /// Number of samples, and the sums of the share deficits and of the used shares by dimension.
    samples: (f64, f64, [f64; 3]),
    outcome: Outcome,
}

/// Runs the plan under a driver and returns the measured values.
pub(super) fn run(seed: u64, fleet: &Fleet, plan: &[Job], driver: Driver) -> Outcome {
    let engine = match driver {
        Driver::Scheduler => Engine::Scheduler(Box::new(Scheduler::new(Config::default(), Duration::ZERO))),
        Driver::FirstFit => Engine::Baseline(Box::new(Baseline::new(false))),
        Driver::TeamQueues => Engine::Baseline(Box::new(Baseline::new(true))),
    };
    let mut simulation = Simulation {
        now: Duration::ZERO,
        fleet,
        plan,
        engine,
        events: BinaryHeap::new(),
        runs: BTreeMap::new(),
        by_worker: HashMap::new(),
        sequence: HashMap::new(),
        failed: HashSet::new(),
        progress: HashMap::new(),
        started: HashSet::new(),
        cancelled: HashSet::new(),
        waiting: BTreeMap::new(),
        granted: BTreeMap::new(),
        starts: 0,
        next_wake: Duration::MAX,
        random: SmallRng::seed_from_u64(seed),
        samples: (0.0, 0.0, [0.0; 3]),
        outcome: Outcome::default(),
    };
    simulation.prepare();
    simulation.run_events();
    simulation.finish()
}

impl Simulation<'_> {
    fn prepare(&mut self) {
        self.step(Input::Restore(Restore::Done { next_token: 1 }));
        let all = resource::Amount::new(u32::MAX, u32::MAX, u32::MAX);
        for team in 1..=self.fleet.teams {
            let quota = team::Quota {
                weight: Fleet::weight(team),
                limit: all,
                requests: 0,
            };
            self.step(Input::Team {
                team,
                quota,
                allotment: all,
            });
        }
        for worker in 0..self.fleet.workers {
            self.step(Input::Register(worker::Registration {
                worker,
                incarnation: 1,
                rack: (worker / WORKERS_PER_RACK) as id::RackId,
                capacity: self.fleet.capacity(worker),
            }));
            let first_report = Duration::from_millis(self.random.random_range(0..3000));
            self.at(first_report, Event::Report(worker));
        }
        for (index, job) in self.plan.iter().enumerate() {
            self.at(job.at, Event::Arrival(index));
        }
        let end = Duration::from_secs(self.fleet.seconds);
        self.at(end / 2, Event::Cancellations);
        self.at(end * 2 / 3, Event::RackLost);
        self.at(SAMPLE_INTERVAL, Event::Sample);
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn run_events(&mut self) {
        let end = Duration::from_secs(self.fleet.seconds);
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(index) => {
                let job = &self.plan[index];
                *self.waiting.entry(job.team).or_default() += i64::from(job.spec.tasks);
                let (id, team, spec) = (job.id, job.team, job.spec.clone());
                self.step(Input::Submit { job: id, team, spec });
            }
            Event::End(token) => {
                let faulty = self
                    .runs
                    .get(&token)
                    .is_some_and(|run| run.worker % FAULTY_EVERY == FAULTY_EVERY - 1);
                let outcome = if faulty {
                    task::Outcome::Failed
                } else {
                    task::Outcome::Succeeded(String::new())
                };
                self.end(token, outcome);
            }
            Event::Stopped(token) => self.end(token, task::Outcome::Stopped),
            Event::Checkpointed(token) => {
                if let Some(run) = self.runs.get(&token) {
                    *self.progress.entry(run.task).or_default() += self.now.saturating_sub(run.started);
                }
                self.end(token, task::Outcome::Checkpointed);
            }
            Event::Report(worker) => self.report(worker),
            Event::Cancellations => self.cancel_wave(),
            Event::RackLost => {
                self.failed
                    .extend(0..WORKERS_PER_RACK.min(self.fleet.workers / 2));
                self.at(self.now + LEASE_WITH_DRIFT, Event::LeasesExpired);
            }
            Event::LeasesExpired => self.expire_leases(),
            Event::Sample => {
                self.sample();
                self.at(self.now + SAMPLE_INTERVAL, Event::Sample);
            }
            Event::Wake => {
                self.next_wake = Duration::MAX;
                self.step(Input::Tick);
            }
        }
    }

    fn end(&mut self, token: id::Token, outcome: task::Outcome) {
        let failed = self
            .runs
            .get(&token)
            .is_none_or(|run| self.failed.contains(&run.worker));
        if failed {
            return;
        }
        if let Some(run) = self.remove(token) {
            self.step(Input::Ended {
                task: run.task,
                token,
                outcome,
            });
        }
    }

    fn remove(&mut self, token: id::Token) -> Option<Run> {
        let run = self.runs.remove(&token)?;
        self.by_worker.entry(run.worker).or_default().remove(&token);
        let granted = self.granted.entry(run.worker).or_default();
        *granted = granted.saturating_sub(&run.granted);
        Some(run)
    }

    fn report(&mut self, worker: id::WorkerId) {
        if self.failed.contains(&worker) {
            return;
        }
        self.at(self.now + REPORT_INTERVAL, Event::Report(worker));
        let sequence = self.sequence.entry(worker).or_default();
        *sequence += 1;
        let mut running = Vec::new();
        for token in self.by_worker.entry(worker).or_default().iter() {
            let run = self.runs.get(token).expect("a listed run exists");
            running.push(worker::Running {
                task: run.task,
                token: *token,
                usage: actual_usage(&self.plan[run.task.job as usize - 1]),
            });
        }
        running.sort_by_key(|running| running.token);
        let report = worker::Report {
            worker,
            incarnation: 1,
            sequence: *sequence,
            base: None,
            running,
            ended: Vec::new(),
        };
        self.step(Input::Report(report));
    }

    fn cancel_wave(&mut self) {
        let known = self.plan.iter().filter(|job| job.at < self.now);
        let chosen: Vec<_> = known
            .map(|job| job.id)
            .filter(|id| id % CANCEL_EVERY == 0)
            .collect();
        for job in chosen {
            self.cancelled.insert(job);
            let plan = &self.plan[job as usize - 1];
            for index in 0..plan.spec.tasks {
                if self.started.insert(task::Ref { job, index }) {
                    *self.waiting.entry(plan.team).or_default() -= 1;
                }
            }
            self.step(Input::Cancel { job });
        }
    }

    fn expire_leases(&mut self) {
        let mut failed: Vec<_> = self.failed.iter().copied().collect();
        failed.sort_unstable();
        for worker in failed {
            let tokens: Vec<_> = self.by_worker.remove(&worker).into_iter().flatten().collect();
            for token in tokens {
                self.remove(token);
            }
            if matches!(self.engine, Engine::Baseline(_)) {
                self.step(Input::WorkerGone { worker, at: self.now });
            }
        }
    }

    fn step(&mut self, input: Input) {
        let mut out = Vec::new();
        match &mut self.engine {
            Engine::Scheduler(scheduler) => {
                scheduler.step(self.now, input, &mut out);
                let wake = scheduler.next_wake().max(self.now);
                if wake < self.next_wake {
                    self.next_wake = wake;
                    self.events.push(Reverse((wake, Event::Wake)));
                }
            }
            Engine::Baseline(baseline) => baseline.step(input, &mut out),
        }
        for output in out {
            self.apply_output(&output);
        }
    }

    fn apply_output(&mut self, output: &Output) {
        match *output {
            Output::Start {
                task,
                worker,
                token,
                granted,
            } => self.start(task, worker, token, granted),
            Output::Stop { token, reason, .. } => {
                self.count_preemption(token, reason, true);
                self.at(self.now + STOP_TIME, Event::Stopped(token));
            }
            Output::Checkpoint { token, reason, .. } => {
                self.count_preemption(token, reason, false);
                self.at(self.now + CHECKPOINT_TIME, Event::Checkpointed(token));
            }
            _ => {}
        }
    }

    fn count_preemption(&mut self, token: id::Token, reason: Reason, loses_work: bool) {
        if reason != Reason::Preempted {
            return;
        }
        self.outcome.preempted += 1;
        if let Some(run) = self.runs.get(&token).filter(|_| loses_work) {
            let cores = f64::from(run.granted.cpu_milli) / 1000.0;
            self.outcome.lost_core_seconds += cores * self.now.saturating_sub(run.started).as_secs_f64();
        }
    }

    fn start(&mut self, task: task::Ref, worker: id::WorkerId, token: id::Token, granted: resource::Amount) {
        self.starts += 1;
        let job = &self.plan[task.job as usize - 1];
        if self.started.insert(task) {
            *self.waiting.entry(job.team).or_default() -= 1;
            let kind = match (job.spec.priority, job.spec.kind) {
                (job::Priority::Urgent, _) => "urgent",
                (_, job::Kind::Service) => "service",
                (_, job::Kind::Batch) => "batch",
                (_, job::Kind::Gang) => "gang",
            };
            let wait = self.now.saturating_sub(job.at).as_secs_f64();
            self.outcome.waits.entry(kind).or_default().push(wait);
        }
        let sum = self.granted.entry(worker).or_default();
        *sum = sum.saturating_add(&granted);
        if !sum.fits(&self.fleet.capacity(worker).amount) {
            self.outcome.overfilled += 1;
        }
        let done = self.progress.get(&task).copied().unwrap_or_default();
        let remaining = job.run_time.saturating_sub(done).max(FAIL_TIME);
        if worker % FAULTY_EVERY == FAULTY_EVERY - 1 {
            self.at(self.now + FAIL_TIME, Event::End(token));
        } else if job.spec.kind != job::Kind::Service {
            self.at(self.now + remaining, Event::End(token));
        }
        self.by_worker.entry(worker).or_default().insert(token);
        self.runs.insert(
            token,
            Run {
                task,
                worker,
                granted,
                started: self.now,
            },
        );
    }

    fn sample(&mut self) {
        let waiting: i64 = self.waiting.values().sum();
        if waiting <= 0 {
            return;
        }
        let mut total = [0.0; 3];
        for worker in (0..self.fleet.workers).filter(|worker| !self.failed.contains(worker)) {
            add(&mut total, &self.fleet.capacity(worker).amount);
        }
        let mut used = [0.0; 3];
        let mut teams: BTreeMap<id::TeamId, [f64; 3]> = BTreeMap::new();
        for run in self
            .runs
            .values()
            .filter(|run| !self.failed.contains(&run.worker))
        {
            let job = &self.plan[run.task.job as usize - 1];
            add(&mut used, &actual_usage(job));
            add(teams.entry(job.team).or_default(), &job.spec.size);
        }
        let active = |team: &id::TeamId| {
            teams.contains_key(team) || self.waiting.get(team).is_some_and(|count| *count > 0)
        };
        let weights: u32 = (1..=self.fleet.teams).filter(active).map(Fleet::weight).sum();
        let mut share_deficit = 0.0_f64;
        for (&team, _) in self.waiting.iter().filter(|(_, count)| **count > 0) {
            let used = teams.get(&team).copied().unwrap_or_default();
            let share = (0..3)
                .map(|dimension| used[dimension] / total[dimension].max(1.0))
                .fold(0.0, f64::max);
            share_deficit = share_deficit.max(f64::from(Fleet::weight(team)) / f64::from(weights) - share);
        }
        self.samples.0 += 1.0;
        self.samples.1 += share_deficit;
        for dimension in 0..3 {
            self.samples.2[dimension] += used[dimension] / total[dimension].max(1.0);
        }
    }

    fn finish(mut self) -> Outcome {
        for waits in self.outcome.waits.values_mut() {
            waits.sort_by(f64::total_cmp);
        }
        let samples = self.samples.0.max(1.0);
        self.outcome.packing = self.samples.2.map(|sum| sum / samples);
        self.outcome.share_deficit = self.samples.1 / samples;
        self.outcome.unstarted = self.waiting.values().sum::<i64>().max(0) as u64;
        let placement_attempts = match &self.engine {
            Engine::Scheduler(scheduler) => scheduler.metrics(self.now).placement_attempts,
            Engine::Baseline(baseline) => baseline.placement_attempts,
        };
        self.outcome.decisions = placement_attempts as f64 / self.starts.max(1) as f64;
        self.outcome
    }
}

/// Returns the actual usage of a task of a job, which is at most its declared size.
fn actual_usage(job: &Job) -> resource::Amount {
    let used = |declared: u32| (u64::from(declared) * u64::from(job.percent) / 100) as u32;
    resource::Amount::new(
        used(job.spec.size.cpu_milli),
        used(job.spec.size.memory_mib),
        job.spec.size.accelerators,
    )
}

fn add(sum: &mut [f64; 3], amount: &resource::Amount) {
    sum[0] += f64::from(amount.cpu_milli);
    sum[1] += f64::from(amount.memory_mib);
    sum[2] += f64::from(amount.accelerators);
}
