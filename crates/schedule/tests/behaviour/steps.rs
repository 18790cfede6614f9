//! Long work: guards against steps that hold the control thread, and against work that is left half done when it is
//! spread over several steps. Verdicts come from the number of starts, stops and ends in one step.

use std::time::Duration;

use bronzespoke_model::{id, job, resource, task, team, worker};
use bronzespoke_schedule::message::{Progress, Restore};
use bronzespoke_schedule::{Config, Input, Output, Scheduler};

use crate::cell::spec;

const BOUND: u32 = 64;
const WORKERS: u64 = 200;
/// Tasks of one core that a worker has room for.
const ROOM: u32 = 8;
const TASKS: u32 = 1_000;
const TICK: Duration = Duration::from_millis(1);
const PLENTY: resource::Amount = resource::Amount::new(u32::MAX, u32::MAX, u32::MAX);
/// Urgent work starts within this number of ticks while long work goes on: the bound is 1.6 s.
const URGENT_TICKS: u32 = 20;

fn registration(worker: id::WorkerId, incarnation: id::Incarnation) -> worker::Registration {
    worker::Registration {
        worker,
        incarnation,
        rack: (worker / 8) as id::RackId,
        capacity: resource::Capacity {
            amount: resource::Amount::new(ROOM * 1_000, ROOM * 1_000, 0),
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
    /// Starts, stops and ends since the last tick, and the most of one tick.
    work: u32,
    most: u32,
    ticks: u32,
}

impl Fixture {
    fn bare() -> Self {
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
            most: 0,
            ticks: 0,
        }
    }

    fn new() -> Self {
        let mut fixture = Self::bare();
        fixture.step(Input::Restore(Restore::Done { next_token: 1 }));
        for worker in 0..WORKERS {
            fixture.step(Input::Register(registration(worker, 1)));
        }
        for team in 1..=2 {
            fixture.set_allotment(team, PLENTY);
        }
        fixture
    }

    fn set_allotment(&mut self, team: id::TeamId, allotment: resource::Amount) {
        let quota = team::Quota {
            weight: 1,
            limit: PLENTY,
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
        self.most = self.most.max(self.work);
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.step(Input::Tick);
    }

    fn settle(&mut self) {
        while self.scheduler.next_wake() <= self.now {
            self.tick();
        }
    }

    /// Fills workers with jobs of ten tasks.
    fn fill(&mut self) {
        for job in 1..=u64::from(TASKS / 10) {
            let spec = spec(job::Kind::Batch, 10, 1_000, 1_000);
            self.step(Input::Submit { job, team: 1, spec });
        }
        self.settle();
        assert_eq!(self.runs.len() as u32, TASKS);
    }

    fn gang(&mut self) -> id::JobId {
        let (job, spec) = (1, spec(job::Kind::Gang, TASKS, 1_000, 1_000));
        self.step(Input::Submit { job, team: 1, spec });
        job
    }

    fn measure(&mut self) {
        self.step(Input::Tick);
        (self.most, self.work, self.ticks) = (0, 0, 0);
    }

    /// Submits urgent work and tells whether it starts in time.
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

/// Guards against the start of a large gang that takes one long step, keeps urgent work waiting or stays incomplete.
#[test]
fn a_large_gang_starts_over_many_steps() {
    let mut fixture = Fixture::new();
    fixture.measure();
    let gang = fixture.gang();
    assert!(fixture.runs.len() as u32 <= BOUND);
    assert!(fixture.urgent_starts());
    fixture.settle();
    let started = fixture.runs.iter().filter(|run| run.0.job == gang).count();
    assert_eq!(started as u32, TASKS);
    assert!(fixture.most <= BOUND + 1, "{} in one step", fixture.most);
}

/// Guards against the cancellation of a large gang that takes one long step or leaves runs behind, also while the
/// gang is being started.
#[yare::parameterized(running = { true }, starting = { false })]
fn a_large_gang_is_cancelled_over_many_steps(running: bool) {
    let mut fixture = Fixture::new();
    let job = fixture.gang();
    if running {
        fixture.settle();
    }
    fixture.measure();
    let started = fixture.runs.len();
    fixture.step(Input::Cancel { job });
    fixture.settle();
    assert_eq!(fixture.stopped.len(), started);
    assert!(fixture.most <= BOUND, "{} in one step", fixture.most);
    fixture.end_stopped();
    assert_eq!(fixture.done, [job]);
    assert_eq!(fixture.scheduler.metrics(fixture.now).used, [0, 0, 0]);
}

/// Guards against a gang that keeps its debited room, or runs in part, when its start is broken off.
#[yare::parameterized(
    lost = { |fixture: &mut Fixture| fixture.step(Input::WorkerGone { worker: 3, at: fixture.now }) },
    restarted = { |fixture: &mut Fixture| fixture.step(Input::Register(registration(3, 2))) },
    lowered = { |fixture: &mut Fixture| fixture.set_allotment(1, resource::Amount::ZERO) },
)]
fn a_start_that_is_broken_off_gives_its_room_back(cause: fn(&mut Fixture)) {
    let mut fixture = Fixture::new();
    fixture.gang();
    fixture.tick();
    let started = fixture.runs.len();
    assert!(started as u32 <= 2 * BOUND);
    cause(&mut fixture);
    fixture.settle();
    assert_eq!(fixture.runs.len() + fixture.ended as usize, started);
    assert_eq!(fixture.stopped.len() + fixture.ended as usize, started);
    fixture.end_stopped();
    fixture.set_allotment(1, PLENTY);
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
    panic!("the gang does not start again: {} tasks run", fixture.runs.len());
}

/// Guards against a lowered part whose stops take one long step, and against urgent work that waits for them.
#[test]
fn a_lowered_part_stops_runs_over_many_steps() {
    let mut fixture = Fixture::new();
    fixture.fill();
    fixture.measure();
    fixture.set_allotment(1, resource::Amount::new(100_000, 100_000, 0));
    assert!(fixture.stopped.len() as u32 <= BOUND);
    assert!(fixture.urgent_starts());
    fixture.settle();
    assert_eq!(fixture.stopped.len() as u32, TASKS - 100);
    assert!(fixture.most <= BOUND + 1, "{} in one step", fixture.most);
}

/// Guards against a part that is raised again while runs are stopped for it, and goes on to stop them.
#[test]
fn a_part_that_is_raised_again_ends_the_stops() {
    let mut fixture = Fixture::new();
    fixture.fill();
    fixture.set_allotment(1, resource::Amount::ZERO);
    let stopped = fixture.stopped.len();
    fixture.set_allotment(1, PLENTY);
    fixture.settle();
    assert_eq!(fixture.stopped.len(), stopped);
}

/// Guards against the loss of many workers that takes one long step, and against a gang whose every lost task looks
/// at all others.
#[yare::parameterized(batch = { false }, gang = { true })]
fn many_lost_workers_are_handled_over_many_steps(gang: bool) {
    let mut fixture = Fixture::new();
    if gang {
        fixture.gang();
        fixture.settle();
    } else {
        fixture.fill();
    }
    fixture.measure();
    fixture.now += Duration::from_secs(11);
    fixture.settle();
    assert_eq!(fixture.scheduler.metrics(fixture.now).workers, 0);
    assert_eq!(fixture.ended, TASKS);
    // A worker is lost as a whole, so a step may exceed the bound by the runs of one.
    assert!(fixture.most <= BOUND + ROOM, "{} in one step", fixture.most);
    assert!(fixture.stopped.len() as u32 <= TASKS);
}

/// Guards against a wave of cancellations of running jobs that floods one tick.
#[test]
fn a_wave_of_cancellations_is_handled_over_many_steps() {
    let mut fixture = Fixture::new();
    fixture.fill();
    fixture.measure();
    for job in 1..=u64::from(TASKS / 10) {
        fixture.step(Input::Cancel { job });
    }
    assert!(fixture.urgent_starts());
    fixture.settle();
    assert_eq!(fixture.stopped.len() as u32, TASKS);
    assert!(fixture.most <= BOUND + 1, "{} in one step", fixture.most);
}

/// Guards against a lowered limit that tells thousands of jobs in one step that they cannot run.
#[test]
fn impossible_jobs_are_told_over_many_steps() {
    const WAITING: usize = 2_000;
    let mut fixture = Fixture::new();
    for job in 1..=WAITING as id::JobId {
        let spec = spec(job::Kind::Batch, 1, ROOM * 1_000, 1_000);
        fixture.step(Input::Submit { job, team: 1, spec });
    }
    fixture.settle();
    let waiting = WAITING - fixture.runs.len();
    let quota = team::Quota {
        weight: 1,
        limit: resource::Amount::new(1, 1, 0),
        requests: 0,
    };
    let (team, allotment) = (1, PLENTY);
    let mut told = Vec::new();
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
        told.push(out.len());
        out.clear();
        fixture.now += Duration::from_millis(10);
        fixture.scheduler.step(fixture.now, Input::Tick, &mut out);
    }
    assert_eq!(told.iter().sum::<usize>(), waiting);
    assert!(told.iter().all(|told| *told <= 512), "{told:?}");
}

/// Guards against a restored state with many cancelled jobs whose stops and ends take one long step.
#[test]
fn cancelled_jobs_are_restored_over_many_steps() {
    let mut fixture = Fixture::bare();
    fixture.set_allotment(1, PLENTY);
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
    fixture.settle();
    assert_eq!(
        (fixture.stopped.len() as u32, fixture.done.len() as u32),
        (TASKS / 2, TASKS / 2)
    );
    assert!(fixture.most <= BOUND, "{} in one step", fixture.most);
}

/// Guards against urgent work without victims that makes each pass weigh the runs of all workers again.
#[test]
fn urgent_work_without_victims_is_weighed_once_a_pass() {
    let mut fixture = Fixture::new();
    for job in 1..=WORKERS {
        let spec = job::Spec {
            priority: job::Priority::Urgent,
            ..spec(job::Kind::Batch, ROOM, 1_000, 1_000)
        };
        fixture.step(Input::Submit { job, team: 1, spec });
    }
    fixture.settle();
    for job in 1..=100 {
        let job = 1_000 + job;
        let spec = job::Spec {
            priority: job::Priority::Urgent,
            ..spec(job::Kind::Batch, 1, 1_000, 1_000)
        };
        fixture.step(Input::Submit { job, team: 2, spec });
    }
    fixture.settle();
    let before = fixture.scheduler.metrics(fixture.now).workers_evaluated;
    fixture.now += Duration::from_millis(50);
    fixture.step(Input::Tick);
    let looks = fixture.scheduler.metrics(fixture.now).workers_evaluated - before;
    assert!((1..=WORKERS).contains(&looks), "{looks} workers weighed");
}
