//! Long work: guards against steps that block the control thread, and against work that stays incomplete when it is
//! spread over several steps. The tests count the starts, stops and ends in each tick instead of measuring time.

use std::time::Duration;

use bronzespoke_model::{id, job, resource, task, team, worker};
use bronzespoke_schedule::message::{Progress, Restore};
use bronzespoke_schedule::{Config, Input, Output, Scheduler};

use crate::cell::spec;

const BOUND: u32 = 64;
const WORKERS: u64 = 200;
/// Number of single-core tasks that fit on a worker.
const TASKS_PER_WORKER: u32 = 8;
const TASKS: u32 = 1_000;
const TICK: Duration = Duration::from_millis(1);
const UNLIMITED: resource::Amount = resource::Amount::new(u32::MAX, u32::MAX, u32::MAX);
/// Number of ticks within which urgent work must start while long work continues; well below the bound of 1.6 s.
const URGENT_TICKS: u32 = 20;

fn registration(worker: id::WorkerId, incarnation: id::Incarnation) -> worker::Registration {
    worker::Registration {
        worker,
        incarnation,
        rack: (worker / 8) as id::RackId,
        capacity: resource::Capacity {
            amount: resource::Amount::new(TASKS_PER_WORKER * 1_000, TASKS_PER_WORKER * 1_000, 0),
            accelerator: 0,
        },
    }
}

struct Fixture {
    now: Duration,
    scheduler: Scheduler,
    runs: Vec<(task::Ref, id::WorkerId, id::Token)>,
    stopped: Vec<id::Token>,
    ended: u32,
    done: Vec<id::JobId>,
    /// Number of starts, stops and ends since the last tick; `max_work` is the maximum per tick.
    work: u32,
    max_work: u32,
    ticks: u32,
}

impl Fixture {
    fn unrestored() -> Self {
        let now = Duration::from_secs(100);
        let config = Config {
            work_per_tick: BOUND,
            placements_per_tick: BOUND,
            ..Config::default()
        };
        Self {
            now,
            scheduler: Scheduler::new(config, now),
            runs: Vec::new(),
            stopped: Vec::new(),
            ended: 0,
            done: Vec::new(),
            work: 0,
            max_work: 0,
            ticks: 0,
        }
    }

    fn new() -> Self {
        let mut fixture = Self::unrestored();
        fixture.step(Input::Restore(Restore::Done { next_token: 1 }));
        for worker in 0..WORKERS {
            fixture.step(Input::Register(registration(worker, 1)));
        }
        for team in 1..=2 {
            fixture.set_allotment(team, UNLIMITED);
        }
        fixture
    }

    fn set_allotment(&mut self, team: id::TeamId, allotment: resource::Amount) {
        let quota = team::Quota {
            weight: 1,
            limit: UNLIMITED,
            requests: 0,
        };
        self.step(Input::Team {
            team,
            quota,
            allotment,
        });
    }

    fn step(&mut self, input: Input) {
        if input == Input::Tick {
            self.work = 0;
            self.ticks += 1;
        }
        let mut out = Vec::new();
        self.scheduler.step(self.now, input, &mut out);
        self.scheduler
            .verify()
            .expect("the invariants hold at every step");
        for output in out {
            self.work += 1;
            match output {
                Output::Start {
                    task, worker, token, ..
                } => self.runs.push((task, worker, token)),
                Output::Stop { token, .. } | Output::Checkpoint { token, .. } => self.stopped.push(token),
                Output::Ended { token, .. } => {
                    self.ended += 1;
                    self.runs.retain(|run| run.2 != token);
                }
                Output::JobEnded { job, .. } => self.done.push(job),
                _ => self.work -= 1,
            }
        }
        self.max_work = self.max_work.max(self.work);
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.step(Input::Tick);
    }

    fn run_due_timers(&mut self) {
        while self.scheduler.next_wake() <= self.now {
            self.tick();
        }
    }

    /// Submits jobs of ten tasks until [`TASKS`] tasks run.
    fn fill(&mut self) {
        for job in 1..=u64::from(TASKS / 10) {
            let spec = spec(job::Kind::Batch, 10, 1_000, 1_000);
            self.step(Input::Submit { job, team: 1, spec });
        }
        self.run_due_timers();
        assert_eq!(self.runs.len() as u32, TASKS);
    }

    fn submit_gang(&mut self) -> id::JobId {
        let (job, spec) = (1, spec(job::Kind::Gang, TASKS, 1_000, 1_000));
        self.step(Input::Submit { job, team: 1, spec });
        job
    }

    fn reset_counters(&mut self) {
        self.step(Input::Tick);
        (self.max_work, self.work, self.ticks) = (0, 0, 0);
    }

    /// Submits urgent work and returns whether it starts in time.
    fn urgent_starts(&mut self) -> bool {
        let job = 1_000_000;
        let spec = job::Spec {
            priority: job::Priority::Urgent,
            ..spec(job::Kind::Batch, 1, 1_000, 5)
        };
        self.step(Input::Submit { job, team: 2, spec });
        for _ in 0..URGENT_TICKS {
            if self.runs.iter().any(|run| run.0.job == job) {
                return true;
            }
            self.tick();
        }
        false
    }

    fn end_stopped(&mut self) {
        for token in std::mem::take(&mut self.stopped) {
            let run = self.runs.iter().find(|run| run.2 == token).copied();
            if let Some((task, _, token)) = run {
                let outcome = task::Outcome::Stopped;
                self.step(Input::Ended { task, token, outcome });
            }
        }
    }
}

/// Guards against a large gang whose start takes one long step, delays urgent work or stays incomplete.
#[test]
fn a_large_gang_starts_over_many_steps() {
    let mut fixture = Fixture::new();
    fixture.reset_counters();
    let gang = fixture.submit_gang();
    assert!(fixture.runs.len() as u32 <= BOUND);
    assert!(fixture.urgent_starts());
    fixture.run_due_timers();
    let started = fixture.runs.iter().filter(|run| run.0.job == gang).count();
    assert_eq!(started as u32, TASKS);
    assert!(fixture.max_work <= BOUND + 1, "{} in one step", fixture.max_work);
}

/// Guards against the cancellation of a large gang that takes one long step or leaves runs behind, also while the
/// gang is being launched.
#[yare::parameterized(running = { true }, starting = { false })]
fn a_large_gang_is_cancelled_over_many_steps(running: bool) {
    let mut fixture = Fixture::new();
    let job = fixture.submit_gang();
    if running {
        fixture.run_due_timers();
    }
    fixture.reset_counters();
    let started = fixture.runs.len();
    fixture.step(Input::Cancel { job });
    fixture.run_due_timers();
    assert_eq!(fixture.stopped.len(), started);
    assert!(fixture.max_work <= BOUND, "{} in one step", fixture.max_work);
    fixture.end_stopped();
    assert_eq!(fixture.done, [job]);
    assert_eq!(fixture.scheduler.metrics(fixture.now).used, [0, 0, 0]);
}

/// Guards against a gang that keeps its debited resources, or runs incompletely, when its launch is cancelled.
#[yare::parameterized(
    lost = { |fixture: &mut Fixture| fixture.step(Input::WorkerGone { worker: 3, at: fixture.now }) },
    restarted = { |fixture: &mut Fixture| fixture.step(Input::Register(registration(3, 2))) },
    lowered = { |fixture: &mut Fixture| fixture.set_allotment(1, resource::Amount::ZERO) },
)]
fn a_cancelled_launch_credits_its_resources(cause: fn(&mut Fixture)) {
    let mut fixture = Fixture::new();
    fixture.submit_gang();
    fixture.tick();
    let started = fixture.runs.len();
    assert!(started as u32 <= 2 * BOUND);
    cause(&mut fixture);
    fixture.run_due_timers();
    assert_eq!(fixture.runs.len() + fixture.ended as usize, started);
    assert_eq!(fixture.stopped.len() + fixture.ended as usize, started);
    fixture.end_stopped();
    fixture.set_allotment(1, UNLIMITED);
    for _ in 0..300 {
        fixture.now += Duration::from_millis(100);
        for worker in 0..WORKERS {
            let report = worker::Report {
                base: None,
                worker,
                incarnation: if fixture.ended > 0 && worker == 3 { 2 } else { 1 },
                sequence: fixture.now.as_millis() as u64,
                running: Vec::new(),
                ended: Vec::new(),
            };
            if fixture.runs.is_empty() {
                fixture.step(Input::Report(report));
            }
        }
        fixture.tick();
        if fixture.runs.len() as u32 == TASKS {
            return;
        }
    }
    panic!(
        "the gang does not start again: {} tasks are running",
        fixture.runs.len()
    );
}

/// Guards against a lowered allotment whose stops take one long step, and against urgent work that waits for them.
#[test]
fn a_lowered_allotment_stops_runs_over_many_steps() {
    let mut fixture = Fixture::new();
    fixture.fill();
    fixture.reset_counters();
    fixture.set_allotment(1, resource::Amount::new(100_000, 100_000, 0));
    assert!(fixture.stopped.len() as u32 <= BOUND);
    assert!(fixture.urgent_starts());
    fixture.run_due_timers();
    assert_eq!(fixture.stopped.len() as u32, TASKS - 100);
    assert!(fixture.max_work <= BOUND + 1, "{} in one step", fixture.max_work);
}

/// Guards against stops that continue after a lowered allotment has been raised again.
#[test]
fn an_allotment_that_is_raised_again_ends_the_stops() {
    let mut fixture = Fixture::new();
    fixture.fill();
    fixture.set_allotment(1, resource::Amount::ZERO);
    let stopped = fixture.stopped.len();
    fixture.set_allotment(1, UNLIMITED);
    fixture.run_due_timers();
    assert_eq!(fixture.stopped.len(), stopped);
}

/// Guards against the loss of many workers that takes one long step, and against a gang that scans all of its tasks for
/// every lost one.
#[yare::parameterized(batch = { false }, gang = { true })]
fn many_lost_workers_are_handled_over_many_steps(gang: bool) {
    let mut fixture = Fixture::new();
    if gang {
        fixture.submit_gang();
        fixture.run_due_timers();
    } else {
        fixture.fill();
    }
    fixture.reset_counters();
    fixture.now += Duration::from_secs(11);
    fixture.run_due_timers();
    assert_eq!(fixture.scheduler.metrics(fixture.now).workers, 0);
    assert_eq!(fixture.ended, TASKS);
    // All runs of a lost worker end in the same step, so a step may exceed the bound by the runs of one worker.
    assert!(
        fixture.max_work <= BOUND + TASKS_PER_WORKER,
        "{} in one step",
        fixture.max_work
    );
    assert!(fixture.stopped.len() as u32 <= TASKS);
}

/// Guards against mass cancellation of running jobs whose stops are all emitted in one tick.
#[test]
fn mass_cancellation_is_handled_over_many_steps() {
    let mut fixture = Fixture::new();
    fixture.fill();
    fixture.reset_counters();
    for job in 1..=u64::from(TASKS / 10) {
        fixture.step(Input::Cancel { job });
    }
    assert!(fixture.urgent_starts());
    fixture.run_due_timers();
    assert_eq!(fixture.stopped.len() as u32, TASKS);
    assert!(fixture.max_work <= BOUND + 1, "{} in one step", fixture.max_work);
}

/// Guards against a lowered limit that reports thousands of jobs as impossible in one step.
#[test]
fn impossible_jobs_are_reported_over_many_steps() {
    const WAITING: usize = 2_000;
    let mut fixture = Fixture::new();
    for job in 1..=WAITING as id::JobId {
        let spec = spec(job::Kind::Batch, 1, TASKS_PER_WORKER * 1_000, 1_000);
        fixture.step(Input::Submit { job, team: 1, spec });
    }
    fixture.run_due_timers();
    let waiting = WAITING - fixture.runs.len();
    let quota = team::Quota {
        weight: 1,
        limit: resource::Amount::new(1, 1, 0),
        requests: 0,
    };
    let (team, allotment) = (1, UNLIMITED);
    let mut reported = Vec::new();
    let mut out = Vec::new();
    fixture.scheduler.step(
        fixture.now,
        Input::Team {
            team,
            quota,
            allotment,
        },
        &mut out,
    );
    for _ in 0..20 {
        reported.push(out.len());
        out.clear();
        fixture.now += Duration::from_millis(10);
        fixture.scheduler.step(fixture.now, Input::Tick, &mut out);
    }
    assert_eq!(reported.iter().sum::<usize>(), waiting);
    assert!(reported.iter().all(|reported| *reported <= 512), "{reported:?}");
}

/// Guards against a restored state with many cancelled jobs, whose stops and ends take one long step.
#[test]
fn cancelled_jobs_are_restored_over_many_steps() {
    let mut fixture = Fixture::unrestored();
    fixture.set_allotment(1, UNLIMITED);
    for worker in 0..WORKERS {
        fixture.step(Input::Restore(Restore::Worker(registration(worker, 1))));
    }
    for job in 1..=u64::from(TASKS) {
        let running = Progress::Running {
            worker: job % WORKERS,
            token: job,
            granted: resource::Amount::new(1_000, 1_000, 0),
            attempts: 0,
        };
        fixture.step(Input::Restore(Restore::Job {
            job,
            team: 1,
            spec: spec(job::Kind::Batch, 1, 1_000, 1_000),
            cancelled: true,
            tasks: vec![if job % 2 == 0 {
                running
            } else {
                Progress::Waiting { attempts: 0 }
            }],
        }));
    }
    fixture.step(Input::Restore(Restore::Done { next_token: 10_000 }));
    fixture.run_due_timers();
    assert_eq!(
        (fixture.stopped.len() as u32, fixture.done.len() as u32),
        (TASKS / 2, TASKS / 2)
    );
    assert!(fixture.max_work <= BOUND, "{} in one step", fixture.max_work);
}

/// Guards against urgent jobs without victims, each of which makes the same pass evaluate the runs of all workers again.
#[test]
fn urgent_work_without_victims_is_evaluated_once_per_pass() {
    let mut fixture = Fixture::new();
    for job in 1..=WORKERS {
        let spec = job::Spec {
            priority: job::Priority::Urgent,
            ..spec(job::Kind::Batch, TASKS_PER_WORKER, 1_000, 1_000)
        };
        fixture.step(Input::Submit { job, team: 1, spec });
    }
    fixture.run_due_timers();
    for job in 1..=100 {
        let job = 1_000 + job;
        let spec = job::Spec {
            priority: job::Priority::Urgent,
            ..spec(job::Kind::Batch, 1, 1_000, 1_000)
        };
        fixture.step(Input::Submit { job, team: 2, spec });
    }
    fixture.run_due_timers();
    let before = fixture.scheduler.metrics(fixture.now).workers_evaluated;
    fixture.now += Duration::from_millis(50);
    fixture.step(Input::Tick);
    let evaluated = fixture.scheduler.metrics(fixture.now).workers_evaluated - before;
    assert!(
        (1..=WORKERS).contains(&evaluated),
        "{evaluated} workers evaluated"
    );
}
