//! Longest step of the scheduler in the situations that touch many tasks at once, at the target size. No step may
//! take longer than 5 ms, because it holds the control thread.

use std::time::{Duration, Instant};

use bronzespoke_model::{id, job, resource, task, team, worker};
use bronzespoke_schedule::message::{Progress, Restore};
use bronzespoke_schedule::{Config, Input, Output, Scheduler};

const WORKERS: u64 = 2_800;
const TEAMS: u32 = 640;
const RUNNING: u32 = 17_000;
const QUEUED: u32 = 100_000;
const GANG: u32 = 10_000;
const CANCELLED: u64 = 10_000;
const TASKS_PER_JOB: u32 = 10;
/// Longest delay between two steps while the scheduler has more to do.
const TICK: Duration = Duration::from_millis(1);
/// Team that runs most of the tasks.
const LARGE: id::TeamId = 1;
const PLENTY: resource::Amount = resource::Amount::new(u32::MAX, u32::MAX, u32::MAX);

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

/// A scheduler whose steps are timed.
struct Fixture {
    now: Duration,
    scheduler: Scheduler,
    next_job: id::JobId,
    longest: Duration,
    steps: u64,
    most: usize,
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
            longest: Duration::ZERO,
            steps: 0,
            most: 0,
            out: Vec::new(),
            running: Vec::new(),
        };
        fixture.set_teams();
        fixture
    }

    /// A fleet with all its workers.
    fn with_workers() -> Self {
        let mut fixture = Self::new();
        fixture.step(Input::Restore(Restore::Done { next_token: 1 }));
        for worker in 0..WORKERS {
            fixture.step(Input::Register(registration(worker)));
        }
        fixture
    }

    /// A fleet at the target size: running tasks, most of them of one team, and a long queue.
    fn full() -> Self {
        let mut fixture = Self::with_workers();
        // A fleet of 2,800 workers with 64 cores has room for 16,800 tasks of 10 cores.
        for number in 0..RUNNING / TASKS_PER_JOB {
            fixture.submit(LARGE, &spec(job::Kind::Batch, TASKS_PER_JOB, 10_000));
            fixture.settle();
            assert!(number == 0 || !fixture.running.is_empty(), "work starts");
        }
        for number in 0..QUEUED / TASKS_PER_JOB {
            let team = 1 + number % TEAMS;
            fixture.submit(team, &spec(job::Kind::Batch, TASKS_PER_JOB, 10_000));
        }
        fixture.settle();
        fixture
    }

    fn set_teams(&mut self) {
        for team in 1..=TEAMS {
            self.set_part(team, PLENTY);
        }
    }

    fn set_part(&mut self, team: id::TeamId, part: resource::Amount) {
        let quota = team::Quota {
            weight: 1,
            limit: PLENTY,
            requests: 0,
        };
        self.step(Input::Team {
            team,
            quota,
            allotment: part,
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
        let begun = Instant::now();
        self.scheduler.step(self.now, input, &mut self.out);
        self.longest = self.longest.max(begun.elapsed());
        self.steps += 1;
        self.most = self.most.max(self.out.len());
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

    /// Ticks while there is more to do.
    fn settle(&mut self) {
        while self.scheduler.next_wake() <= self.now {
            self.now += TICK;
            self.step(Input::Tick);
        }
    }

    /// Forgets what the steps so far took.
    fn begin(&mut self) {
        self.longest = Duration::ZERO;
        self.steps = 0;
        self.most = 0;
    }

    fn print(&self, name: &str) {
        println!(
            "schedule/longest step, {name}: {:.3} ms in {} steps, at most {} outputs in one",
            self.longest.as_secs_f64() * 1e3,
            self.steps,
            self.most
        );
    }
}

fn gang() -> (Fixture, id::JobId) {
    let mut fixture = Fixture::with_workers();
    fixture.begin();
    let job = fixture.submit(LARGE, &spec(job::Kind::Gang, GANG, 10_000));
    fixture.settle();
    assert_eq!(fixture.running.len() as u32, GANG, "the gang starts");
    (fixture, job)
}

/// Prints the longest steps.
pub fn print() {
    let (mut fixture, job) = gang();
    fixture.print("start of a gang of 10,000 tasks");
    fixture.begin();
    fixture.step(Input::Cancel { job });
    fixture.settle();
    fixture.print("cancellation of a gang of 10,000 tasks");

    let (mut fixture, _) = gang();
    fixture.begin();
    lose(&mut fixture);
    fixture.print("loss of all workers of a gang of 10,000 tasks");

    let mut fixture = Fixture::full();
    println!("schedule/longest step: {} tasks run", fixture.running.len());
    fixture.begin();
    fixture.set_part(LARGE, resource::Amount::ZERO);
    fixture.settle();
    fixture.print("a team's part lowered to nothing");

    let mut fixture = Fixture::full();
    fixture.begin();
    lose(&mut fixture);
    fixture.print("loss of 2,800 workers");

    let mut fixture = Fixture::full();
    fixture.begin();
    for job in 1..=CANCELLED {
        fixture.step(Input::Cancel { job });
    }
    fixture.settle();
    fixture.print("10,000 cancellations");
    restore();
}

/// Lets the leases of all workers run out at the same time.
fn lose(fixture: &mut Fixture) {
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
    fixture.begin();
    for worker in 0..WORKERS {
        fixture.step(Input::Restore(Restore::Worker(registration(worker))));
    }
    for job in 1..full.next_job {
        let mut tasks = tasks.remove(&job).unwrap_or_default();
        tasks.resize(TASKS_PER_JOB as usize, Progress::Waiting { attempts: 0 });
        fixture.step(Input::Restore(Restore::Job {
            job,
            team: if job <= u64::from(RUNNING / TASKS_PER_JOB) {
                LARGE
            } else {
                2
            },
            spec: spec(job::Kind::Batch, TASKS_PER_JOB, 10_000),
            cancelled: job % 2 == 0,
            tasks,
        }));
    }
    fixture.step(Input::Restore(Restore::Done { next_token: 1 << 40 }));
    fixture.settle();
    fixture.print("restore with half of the jobs cancelled");
    restore_gang();
}

/// One job is restored in one step.
fn restore_gang() {
    let (mut full, _) = gang();
    full.running.sort_unstable_by_key(|run| run.0.index);
    let running = full.running.iter().map(|run| Progress::Running {
        worker: run.1,
        token: run.2,
        granted: run.3,
        attempts: 0,
    });
    let part = Restore::Job {
        job: 1,
        team: LARGE,
        spec: spec(job::Kind::Gang, GANG, 10_000),
        cancelled: false,
        tasks: running.collect(),
    };
    let mut fixture = Fixture::new();
    for worker in 0..WORKERS {
        fixture.step(Input::Restore(Restore::Worker(registration(worker))));
    }
    fixture.begin();
    fixture.step(Input::Restore(part));
    fixture.print("restore of a running gang of 10,000 tasks");
}
