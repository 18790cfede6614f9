//! Benchmarks of `schedule`: a task ends and a queued one takes its place, at four fleet sizes, compared with first fit
//! over all workers. Quantiles of the step time are printed separately, because the bounds apply to them.

use std::time::{Duration, Instant};

use bronzespoke_model::{id, job, resource, task, team, worker};
use bronzespoke_schedule::message::Restore;
use bronzespoke_schedule::{Config, Input, Output, Scheduler};
use criterion::{BenchmarkId, Criterion};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const FLEET_SIZES: [u64; 4] = [50, 500, 2_800, 5_000];
const TEAMS: u32 = 640;
const QUEUED_TASKS: u32 = 100_000;
const SEED: u64 = 20_261_204;
/// Workers of the target fleet, at which the quantiles are taken.
const TARGET: u64 = 2_800;
const SAMPLES: usize = 50_000;

fn capacity(worker: id::WorkerId) -> resource::Capacity {
    let accelerator = if worker.is_multiple_of(5) {
        1 + (worker % 3) as u16
    } else {
        0
    };
    resource::Capacity {
        amount: resource::Amount::new(64_000, 131_072, if accelerator > 0 { 8 } else { 0 }),
        accelerator,
    }
}

fn spec(random: &mut SmallRng) -> job::Spec {
    let accelerators = if random.random_bool(0.15) {
        random.random_range(1..=4)
    } else {
        0
    };
    job::Spec {
        kind: if random.random_bool(0.2) {
            job::Kind::Service
        } else {
            job::Kind::Batch
        },
        priority: job::Priority::Normal,
        tasks: random.random_range(1..=10),
        size: resource::Amount::new(
            random.random_range(1..=24) * 1_000,
            random.random_range(1..=16) * 3_072,
            accelerators,
        ),
        accelerator: if accelerators > 0 {
            random.random_range(1..=3)
        } else {
            0
        },
        run_time: Duration::from_mins(1),
        checkpoint: true,
        command: String::new(),
    }
}

/// Fully loaded fleet with a long queue.
struct Fixture {
    now: Duration,
    random: SmallRng,
    scheduler: Scheduler,
    running: Vec<(task::Ref, id::Token)>,
    next_job: id::JobId,
    out: Vec<Output>,
    starts: u64,
}

impl Fixture {
    fn new(workers: u64) -> Self {
        let now = Duration::from_secs(100);
        let config = Config {
            lease: Duration::from_hours(1000),
            ..Config::default()
        };
        let mut fixture = Self {
            now,
            random: SmallRng::seed_from_u64(SEED),
            scheduler: Scheduler::new(config, now),
            running: Vec::new(),
            next_job: 1,
            out: Vec::new(),
            starts: 0,
        };
        fixture.fill(workers);
        fixture
    }

    fn fill(&mut self, workers: u64) {
        self.step(Input::Restore(Restore::Done { next_token: 1 }));
        let all = resource::Amount::new(u32::MAX, u32::MAX, u32::MAX);
        for team in 1..=TEAMS {
            let quota = team::Quota {
                weight: 1 + team % 8,
                limit: all,
                requests: 0,
            };
            self.step(Input::Team {
                team,
                quota,
                allotment: all,
            });
        }
        for worker in 0..workers {
            self.step(Input::Register(worker::Registration {
                worker,
                incarnation: 1,
                rack: (worker / 8) as id::RackId,
                capacity: capacity(worker),
            }));
        }
        let mut tasks = 0;
        while tasks < QUEUED_TASKS + 6 * workers as u32 {
            tasks += self.submit();
        }
        while self.scheduler.next_wake() == Duration::ZERO {
            self.step(Input::Tick);
        }
    }

    fn submit(&mut self) -> u32 {
        let spec = spec(&mut self.random);
        let tasks = spec.tasks;
        let job = self.next_job;
        self.next_job += 1;
        let team = 1 + self
            .random
            .random_range(0..TEAMS)
            .min(self.random.random_range(0..TEAMS));
        self.step(Input::Submit { job, team, spec });
        tasks
    }

    fn step(&mut self, input: Input) {
        self.out.clear();
        self.scheduler.step(self.now, input, &mut self.out);
        for output in &self.out {
            if let Output::Start { task, token, .. } = output {
                self.starts += 1;
                self.running.push((*task, *token));
            }
        }
    }

    /// Ends a random run, upon which queued tasks start in its place, and returns the time that both took.
    fn end_run(&mut self) -> Duration {
        self.now += Duration::from_micros(400);
        let position = self.random.random_range(0..self.running.len());
        let (task, token) = self.running.swap_remove(position);
        let outcome = task::Outcome::Succeeded(String::new());
        let started = Instant::now();
        self.step(Input::Ended { task, token, outcome });
        if self.scheduler.next_wake() == Duration::ZERO {
            self.step(Input::Tick);
        }
        started.elapsed()
    }
}

/// Baseline: first fit by linear search over all workers.
struct FirstFit {
    free: Vec<(resource::Amount, id::AcceleratorKind)>,
}

impl FirstFit {
    fn new(workers: u64) -> Self {
        let full = |worker| (resource::Amount::new(500, 500, 0), capacity(worker).accelerator);
        Self {
            free: (0..workers).map(full).collect(),
        }
    }

    fn place(&mut self, size: &resource::Amount, freed: usize) -> Option<usize> {
        self.free[freed].0 = *size;
        let position = self.free.iter().position(|(free, _)| size.fits(free))?;
        self.free[position].0 = resource::Amount::new(500, 500, 0);
        Some(position)
    }
}

/// Registers the benchmarks of this module.
pub fn register(criterion: &mut Criterion) {
    // Runs first: memory that other fixtures have freed would be reused and hide what this one takes.
    print_quantiles();
    let mut group = criterion.benchmark_group("schedule/placement");
    for workers in FLEET_SIZES {
        let mut fixture = Fixture::new(workers);
        group.bench_function(BenchmarkId::new("scheduler", workers), |bencher| {
            bencher.iter_custom(|count| {
                let mut time = Duration::ZERO;
                let before = fixture.starts;
                let mut done = 0;
                while done < count {
                    time += fixture.end_run();
                    if fixture.next_job.is_multiple_of(2) || fixture.running.len() < 2 * workers as usize {
                        fixture.submit();
                    }
                    fixture.submit();
                    done = fixture.starts - before;
                }
                time.mul_f64(count as f64 / done as f64)
            });
        });
        let mut baseline = FirstFit::new(workers);
        let mut random = SmallRng::seed_from_u64(SEED);
        group.bench_function(BenchmarkId::new("first fit", workers), |bencher| {
            bencher.iter(|| {
                let freed = random.random_range(0..workers as usize);
                baseline.place(&resource::Amount::new(4_000, 8_192, 0), freed)
            });
        });
    }
    group.finish();
}

/// Returns the resident memory of this process in KiB, or zero on systems without `/proc`.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Prints the median, 99th percentile and maximum of the step time at the target fleet, whose bounds are 10 µs, 100 µs and 5 ms.
fn print_quantiles() {
    let before_memory = resident_kib();
    let mut fixture = Fixture::new(TARGET);
    let memory = resident_kib().saturating_sub(before_memory);
    let mut times = Vec::with_capacity(SAMPLES);
    let before = fixture.starts;
    for _ in 0..SAMPLES {
        times.push(fixture.end_run());
        if fixture.scheduler.metrics(fixture.now).waiting < u64::from(QUEUED_TASKS) {
            fixture.submit();
        }
    }
    let starts = fixture.starts - before;
    let total: Duration = times.iter().sum();
    times.sort_unstable();
    let at = |quantile: f64| times[((SAMPLES - 1) as f64 * quantile) as usize].as_nanos() as f64 / 1000.0;
    println!(
        "schedule/step at {TARGET} workers, {} running, queue {}: median {:.2} us, p99 {:.2} us, largest {:.1} us, \
         {:.2} us per start, {starts} starts; {} MiB resident, with the fixture",
        fixture.running.len(),
        fixture.scheduler.metrics(fixture.now).waiting,
        at(0.5),
        at(0.99),
        at(1.0),
        total.as_secs_f64() * 1e6 / starts as f64,
        memory / 1024,
    );
}
