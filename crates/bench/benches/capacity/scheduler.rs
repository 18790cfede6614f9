//! Cost of a zone's scheduler: time per placement and report, and memory by kind of entity.

use std::time::{Duration, Instant};

use bronzespoke_model::{id, job, resource, task, team, worker};
use bronzespoke_schedule::message::Restore;
use bronzespoke_schedule::{Config, Input, Output, Scheduler};

use crate::{count, line};

const NOW: Duration = Duration::from_secs(100);
const UNLIMITED: resource::Amount = resource::Amount::new(u32::MAX, u32::MAX, u32::MAX);

/// Cost of the scheduler.
#[derive(Debug)]
pub struct Fits {
    /// Mean, median and 99th percentile of the microseconds from the end of a run to the next start, by workers.
    pub placement: [line::Line; 3],
    /// Microseconds of a report, by running tasks of the worker.
    pub report: line::Line,
    /// Bytes of memory by workers, teams, waiting tasks and running tasks.
    pub memory: [line::Line; 4],
}

struct Cell {
    scheduler: Scheduler,
    out: Vec<Output>,
    running: Vec<(task::Ref, id::WorkerId, id::Token)>,
    next_job: u64,
}

impl Cell {
    fn new(workers: u64, teams: u32) -> Self {
        let config = Config {
            lease: Duration::from_hours(1000),
            ..Config::default()
        };
        let mut cell = Self {
            scheduler: Scheduler::new(config, NOW),
            out: Vec::new(),
            running: Vec::new(),
            next_job: 1,
        };
        cell.step(Input::Restore(Restore::Done { next_token: 1 }));
        for team in 1..=teams {
            let quota = team::Quota {
                weight: 1 + team % 8,
                limit: UNLIMITED,
                requests: 0,
            };
            let allotment = UNLIMITED;
            cell.step(Input::Team {
                team,
                quota,
                allotment,
            });
        }
        for worker in 0..workers {
            let amount = resource::Amount::new(64_000, 131_072, 0);
            cell.step(Input::Register(worker::Registration {
                worker,
                incarnation: 1,
                rack: (worker / 8) as id::RackId,
                capacity: resource::Capacity {
                    amount,
                    accelerator: 0,
                },
            }));
        }
        cell
    }

    fn step(&mut self, input: Input) {
        self.out.clear();
        self.scheduler.step(NOW, input, &mut self.out);
        for output in &self.out {
            if let Output::Start {
                task, worker, token, ..
            } = output
            {
                self.running.push((*task, *worker, *token));
            }
        }
    }

    fn submit(&mut self, teams: u32, tasks: u32, cpu_milli: u32) {
        let job = self.next_job;
        self.next_job += 1;
        let spec = job::Spec {
            kind: job::Kind::Batch,
            priority: job::Priority::Normal,
            tasks,
            size: resource::Amount::new(cpu_milli, 1024, 0),
            accelerator: 0,
            run_time: Duration::from_mins(1),
            checkpoint: true,
            command: String::from("reconcile --federation judo --tournament 2026-11 --belts all"),
        };
        let team = 1 + (job % u64::from(teams)) as id::TeamId;
        self.step(Input::Submit { job, team, spec });
    }

    /// Submits tasks of 10 cores until they occupy all workers and about `waiting` more are queued.
    fn fill(&mut self, workers: u64, teams: u32, waiting: u32) {
        for _ in 0..(workers as u32 * 6 + waiting).div_ceil(10) {
            self.submit(teams, 10, 10_000);
        }
        while self.scheduler.next_wake() <= NOW {
            self.step(Input::Tick);
        }
    }
}

/// Runs the measurements of this module, prints them, and returns the fitted lines.
pub fn measure() -> Fits {
    line::print_heading("Scheduler (`crates/schedule`)");
    let points = placements();
    let placement = [("mean", 0), ("median", 1), ("p99", 2)].map(|(name, column)| {
        let points: Vec<_> = points
            .iter()
            .map(|(workers, times)| (*workers, times[column]))
            .collect();
        let name = format!("{name} time from an end to the next start, 640 teams, 100,000 waiting");
        line::fit(&name, "workers", "µs", &points)
    });
    let report = line::fit(
        "time to take a worker's report",
        "running tasks of the worker",
        "µs",
        &reports(),
    );
    Fits {
        placement,
        report,
        memory: memory(),
    }
}

fn placements() -> Vec<(f64, [f64; 3])> {
    let place = |workers: u64| {
        let mut cell = Cell::new(workers, 640);
        cell.fill(workers, 640, 100_000);
        let mut times = Vec::new();
        let mut number = 0;
        for _ in 0..4000 {
            number = (number + 7919) % cell.running.len();
            let (task, _, token) = cell.running.swap_remove(number);
            let outcome = task::Outcome::Succeeded(String::new());
            let started = Instant::now();
            cell.step(Input::Ended { task, token, outcome });
            if cell.scheduler.next_wake() == Duration::ZERO {
                cell.step(Input::Tick);
            }
            times.push(started.elapsed().as_secs_f64() * 1e6);
        }
        times.sort_by(f64::total_cmp);
        let mean = times.iter().sum::<f64>() / times.len() as f64;
        (
            workers as f64,
            [mean, times[times.len() / 2], times[times.len() * 99 / 100]],
        )
    };
    [50, 165, 500, 2800].map(place).to_vec()
}

fn reports() -> Vec<(f64, f64)> {
    let report = |tasks: u32| {
        let mut cell = Cell::new(1, 640);
        cell.submit(640, tasks, 1000);
        while cell.scheduler.next_wake() <= NOW {
            cell.step(Input::Tick);
        }
        assert_eq!(cell.running.len() as u32, tasks, "every task runs");
        let usage = resource::Amount::new(900, 900, 0);
        let running: Vec<_> = cell
            .running
            .iter()
            .map(|(task, _, token)| worker::Running {
                task: *task,
                token: *token,
                usage,
            })
            .collect();
        let mut sequence = 0;
        let micros = count::micros(|| {
            sequence += 1;
            cell.step(Input::Report(worker::Report {
                worker: 0,
                incarnation: 1,
                sequence,
                base: None,
                running: running.clone(),
                ended: Vec::new(),
            }));
        });
        (f64::from(tasks), micros)
    };
    [1, 3, 6, 12, 24].map(report).to_vec()
}

fn memory() -> [line::Line; 4] {
    let by = |name: &str, unit: &str, sizes: [u32; 4], build: &dyn Fn(u32) -> Cell| {
        let points = sizes.map(|size| (f64::from(size), count::memory(|| build(size))));
        line::fit(name, unit, "B", &points)
    };
    [
        by("memory by workers", "workers", [165, 500, 1000, 2800], &|size| {
            Cell::new(size.into(), 1)
        }),
        by("memory by teams", "teams", [80, 160, 320, 640], &|size| {
            Cell::new(1, size)
        }),
        by(
            "memory by waiting tasks, 10 to a job",
            "tasks",
            [6000, 12_000, 24_000, 100_000],
            &|size| {
                let mut cell = Cell::new(1, 640);
                cell.fill(1, 640, size);
                cell
            },
        ),
        by(
            "memory by running tasks, 10 to a job",
            "tasks",
            [240, 480, 960, 3840],
            &|size| {
                let mut cell = Cell::new(u64::from(size) / 6, 640);
                cell.fill(u64::from(size) / 6, 640, 0);
                cell
            },
        ),
    ]
}
