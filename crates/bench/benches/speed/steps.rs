//! Maximum step time of the scheduler at the target size, in situations that affect many tasks together. The limit is
//! 5 ms, because a step blocks the control thread.

use std::time::{Duration, Instant};

use bronzespoke_model::{id, job, resource, task, team, worker};
use bronzespoke_schedule::message::{Progress, Restore};
use bronzespoke_schedule::{Config, Input, Output, Scheduler};

const WORKERS: u64 = 2_800;
const TEAMS: u32 = 640;
const RUNNING_TASKS: u32 = 17_000;
const QUEUED_TASKS: u32 = 100_000;
const GANG_TASKS: u32 = 10_000;
const CANCELLED_JOBS: u64 = 10_000;
const TASKS_PER_JOB: u32 = 10;
/// Interval between steps while the scheduler has pending work.
const TICK: Duration = Duration::from_millis(1);
/// Team to which most running tasks belong.
const LARGE_TEAM: id::TeamId = 1;
const UNLIMITED: resource::Amount = resource::Amount::new(u32::MAX, u32::MAX, u32::MAX);

fn spec(kind: job::Kind, tasks: u32, cpu: u32) -> job::Spec {
    job::Spec {
        kind,
        priority: job::Priority::Normal,
        tasks,
        size: resource::Amount::new(cpu, 2 * cpu, 0),
        accelerator: 0,
        run_time: Duration::from_mins(10),
        checkpoint: true,
        command: String::new(),
    }
}

fn registration(worker: id::WorkerId) -> worker::Registration {
    worker::Registration {
        worker,
        incarnation: 1,
        rack: (worker / 8) as id::RackId,
        capacity: resource::Capacity {
            amount: resource::Amount::new(64_000, 131_072, 0),
            accelerator: 0,
        },
    }
}

/// Scheduler whose steps are timed.
struct Fixture {
    now: Duration,
    scheduler: Scheduler,
    next_job: id::JobId,
    max_step: Duration,
    steps: u64,
    max_outputs: usize,
    out: Vec<Output>,
    running: Vec<(task::Ref, id::WorkerId, id::Token, resource::Amount)>,
}

impl Fixture {
    fn new() -> Self {
        let now = Duration::from_secs(100);
        let mut fixture = Self {
            now,
            scheduler: Scheduler::new(Config::default(), now),
            next_job: 1,
            max_step: Duration::ZERO,
            steps: 0,
            max_outputs: 0,
            out: Vec::new(),
            running: Vec::new(),
        };
        fixture.set_teams();
        fixture
    }

    /// Creates a fleet of idle workers.
    fn with_workers() -> Self {
        let mut fixture = Self::new();
        fixture.step(Input::Restore(Restore::Done { next_token: 1 }));
        for worker in 0..WORKERS {
            fixture.step(Input::Register(registration(worker)));
        }
        fixture
    }

    /// Creates a fleet at the target size with a long queue and running tasks that mostly belong to one team.
    fn full() -> Self {
        let mut fixture = Self::with_workers();
        // 2,800 workers of 64 cores can run 16,800 tasks of 10 cores.
        for number in 0..RUNNING_TASKS / TASKS_PER_JOB {
            fixture.submit(LARGE_TEAM, &spec(job::Kind::Batch, TASKS_PER_JOB, 10_000));
            fixture.run_until_idle();
            assert!(number == 0 || !fixture.running.is_empty(), "work starts");
        }
        for number in 0..QUEUED_TASKS / TASKS_PER_JOB {
            let team = 1 + number % TEAMS;
            fixture.submit(team, &spec(job::Kind::Batch, TASKS_PER_JOB, 10_000));
        }
        fixture.run_until_idle();
        fixture
    }

    fn set_teams(&mut self) {
        for team in 1..=TEAMS {
            self.set_allotment(team, UNLIMITED);
        }
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

    fn submit(&mut self, team: id::TeamId, spec: &job::Spec) -> id::JobId {
        let job = self.next_job;
        self.next_job += 1;
        let spec = spec.clone();
        self.step(Input::Submit { job, team, spec });
        job
    }

    fn step(&mut self, input: Input) {
        self.out.clear();
        let started = Instant::now();
        self.scheduler.step(self.now, input, &mut self.out);
        self.max_step = self.max_step.max(started.elapsed());
        self.steps += 1;
        self.max_outputs = self.max_outputs.max(self.out.len());
        for output in &self.out {
            if let Output::Start {
                task,
                worker,
                token,
                granted,
            } = output
            {
                self.running.push((*task, *worker, *token, *granted));
            }
        }
    }

    /// Ticks until the scheduler has no pending work.
    fn run_until_idle(&mut self) {
        while self.scheduler.next_wake() <= self.now {
            self.now += TICK;
            self.step(Input::Tick);
        }
    }

    /// Resets the counters, so that the earlier steps are excluded.
    fn reset_counters(&mut self) {
        self.max_step = Duration::ZERO;
        self.steps = 0;
        self.max_outputs = 0;
    }

    fn print(&self, name: &str) {
        println!(
            "schedule/longest step, {name}: {:.3} ms in {} steps, at most {} outputs in one",
            self.max_step.as_secs_f64() * 1e3,
            self.steps,
            self.max_outputs
        );
    }
}

fn gang() -> (Fixture, id::JobId) {
    let mut fixture = Fixture::with_workers();
    fixture.reset_counters();
    let job = fixture.submit(LARGE_TEAM, &spec(job::Kind::Gang, GANG_TASKS, 10_000));
    fixture.run_until_idle();
    assert_eq!(fixture.running.len() as u32, GANG_TASKS, "the gang starts");
    (fixture, job)
}

/// Prints the maximum step time of each situation.
pub fn print() {
    let (mut fixture, job) = gang();
    fixture.print("start of a gang of 10,000 tasks");
    fixture.reset_counters();
    fixture.step(Input::Cancel { job });
    fixture.run_until_idle();
    fixture.print("cancellation of a gang of 10,000 tasks");

    let (mut fixture, _) = gang();
    fixture.reset_counters();
    expire_leases(&mut fixture);
    fixture.print("loss of all workers of a gang of 10,000 tasks");

    let mut fixture = Fixture::full();
    println!("schedule/longest step: {} tasks run", fixture.running.len());
    fixture.reset_counters();
    fixture.set_allotment(LARGE_TEAM, resource::Amount::ZERO);
    fixture.run_until_idle();
    fixture.print("a team's part lowered to nothing");

    let mut fixture = Fixture::full();
    fixture.reset_counters();
    expire_leases(&mut fixture);
    fixture.print("loss of 2,800 workers");

    let mut fixture = Fixture::full();
    fixture.reset_counters();
    for job in 1..=CANCELLED_JOBS {
        fixture.step(Input::Cancel { job });
    }
    fixture.run_until_idle();
    fixture.print("10,000 cancellations");
    restore();
}

/// Expires the leases of all workers at the same time.
fn expire_leases(fixture: &mut Fixture) {
    fixture.now += Duration::from_secs(11);
    fixture.step(Input::Tick);
    let end = fixture.now + Duration::from_secs(5);
    while fixture.now < end {
        fixture.now += TICK;
        fixture.step(Input::Tick);
    }
}

fn restore() {
    let full = Fixture::full();
    let mut tasks = std::collections::BTreeMap::<id::JobId, Vec<Progress>>::new();
    for &(task, worker, token, granted) in &full.running {
        let running = Progress::Running {
            worker,
            token,
            granted,
            attempts: 0,
        };
        tasks.entry(task.job).or_default().push(running);
    }
    let mut fixture = Fixture::new();
    fixture.reset_counters();
    for worker in 0..WORKERS {
        fixture.step(Input::Restore(Restore::Worker(registration(worker))));
    }
    for job in 1..full.next_job {
        let mut tasks = tasks.remove(&job).unwrap_or_default();
        tasks.resize(TASKS_PER_JOB as usize, Progress::Waiting { attempts: 0 });
        fixture.step(Input::Restore(Restore::Job {
            job,
            team: if job <= u64::from(RUNNING_TASKS / TASKS_PER_JOB) {
                LARGE_TEAM
            } else {
                2
            },
            spec: spec(job::Kind::Batch, TASKS_PER_JOB, 10_000),
            cancelled: job % 2 == 0,
            tasks,
        }));
    }
    fixture.step(Input::Restore(Restore::Done { next_token: 1 << 40 }));
    fixture.run_until_idle();
    fixture.print("restore with half of the jobs cancelled");
    restore_gang();
}

/// A job is restored in one step, however many tasks it has.
fn restore_gang() {
    let (mut full, _) = gang();
    full.running.sort_unstable_by_key(|run| run.0.index);
    let running = full.running.iter().map(|run| Progress::Running {
        worker: run.1,
        token: run.2,
        granted: run.3,
        attempts: 0,
    });
    let job = Restore::Job {
        job: 1,
        team: LARGE_TEAM,
        spec: spec(job::Kind::Gang, GANG_TASKS, 10_000),
        cancelled: false,
        tasks: running.collect(),
    };
    let mut fixture = Fixture::new();
    for worker in 0..WORKERS {
        fixture.step(Input::Restore(Restore::Worker(registration(worker))));
    }
    fixture.reset_counters();
    fixture.step(Input::Restore(job));
    fixture.print("restore of a running gang of 10,000 tasks");
}
