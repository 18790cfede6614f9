//! Workload of a simulated cell.

use std::time::Duration;

use bronzespoke_model::{id, job, resource};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Size of a simulated zone or fleet, and length of its run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Fleet {
    pub(super) name: &'static str,
    pub(super) workers: u64,
    pub(super) accelerators: u32,
    pub(super) teams: u32,
    pub(super) seconds: u64,
}

/// One of the three current zones.
pub(super) const CURRENT_ZONE: Fleet = Fleet {
    name: "today",
    workers: 17,
    accelerators: 0,
    teams: 6,
    seconds: 900,
};
/// One of 17 zones at the target size.
pub(super) const TARGET_ZONE: Fleet = Fleet {
    name: "zone",
    workers: 165,
    accelerators: 265,
    teams: 640,
    seconds: 300,
};
/// Complete fleet at the target size, under one scheduler.
pub(super) const TARGET_FLEET: Fleet = Fleet {
    name: "fleet",
    workers: 2_800,
    accelerators: 4_500,
    teams: 640,
    seconds: 60,
};

/// Cores of each worker.
const CORES: u64 = 64;
/// Accelerators of a worker that has any.
const ACCELERATORS_PER_WORKER: u32 = 8;
/// Average offered load as a share of the cores, before bursts.
const LOAD: f64 = 1.1;
/// Share of the cores that services take.
const SERVICE_SHARE: f64 = 0.2;
/// Mean core-seconds of a generated batch task: 5.25 cores for 0.633 of 28.7 s declared run time.
const TASK_CORE_SECONDS: f64 = 95.0;

/// Planned job, with actual values that the scheduler does not see.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) at: Duration,
    pub(super) id: id::JobId,
    pub(super) team: id::TeamId,
    pub(super) spec: job::Spec,
    /// Actual run time of each task.
    pub(super) run_time: Duration,
    /// Actual usage of each task, in percent of the declared size.
    pub(super) percent: u32,
}

impl Fleet {
    /// Returns the capacity of a worker.
    pub(super) fn capacity(&self, worker: id::WorkerId) -> resource::Capacity {
        let first = worker as u32 * ACCELERATORS_PER_WORKER;
        let accelerators = self
            .accelerators
            .saturating_sub(first)
            .min(ACCELERATORS_PER_WORKER);
        resource::Capacity {
            amount: resource::Amount::new(CORES as u32 * 1000, 128 * 1024, accelerators),
            accelerator: if accelerators > 0 {
                1 + (worker % 2) as u16
            } else {
                0
            },
        }
    }

    /// Returns the weight of a team.
    pub(super) fn weight(team: id::TeamId) -> u32 {
        1 + team % 4
    }

    fn cores(&self) -> f64 {
        (self.workers * CORES) as f64
    }
}

/// Returns all jobs in order of arrival.
pub(super) fn plan(seed: u64, fleet: &Fleet) -> Vec<Job> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    let mut service_cores = fleet.cores() * SERVICE_SHARE;
    while service_cores > 0.0 {
        let spec = service(&mut random);
        service_cores -= f64::from(spec.size.cpu_milli * spec.tasks) / 1000.0;
        push(&mut jobs, &mut random, fleet, 0.0, spec);
    }
    let tasks_per_second = fleet.cores() * LOAD * (1.0 - SERVICE_SHARE) / TASK_CORE_SECONDS;
    let mut at = 1.0;
    let end = fleet.seconds as f64;
    while at < end {
        // In one minute of three, jobs arrive at twice the rate of the other two.
        let burst = if (at / 60.0) as u64 % 3 == 1 { 1.5 } else { 0.75 };
        let spec = task_job(&mut random, fleet);
        at += f64::from(spec.tasks) / (tasks_per_second * burst) * random.random_range(0.5..1.5);
        push(&mut jobs, &mut random, fleet, at, spec);
    }
    jobs
}

fn push(jobs: &mut Vec<Job>, random: &mut SmallRng, fleet: &Fleet, at: f64, spec: job::Spec) {
    // A few teams submit most of the work.
    let team = 1 + (f64::from(fleet.teams) * random.random::<f64>().powi(3)) as id::TeamId;
    let estimate_error = 10.0_f64.powf(random.random_range(-1.0..0.3));
    let urgent = spec.priority == job::Priority::Urgent;
    let run_time = spec.run_time.as_secs_f64() * if urgent { 1.0 } else { estimate_error };
    jobs.push(Job {
        at: Duration::from_secs_f64(at),
        id: jobs.len() as id::JobId + 1,
        team,
        spec,
        run_time: Duration::from_secs_f64(run_time),
        percent: random.random_range(10..=100),
    });
}

fn service(random: &mut SmallRng) -> job::Spec {
    job::Spec {
        kind: job::Kind::Service,
        priority: job::Priority::Normal,
        tasks: random.random_range(2..=6),
        size: resource::Amount::new(
            random.random_range(1..=4) * 1000,
            random.random_range(1..=4) * 2048,
            0,
        ),
        accelerator: 0,
        run_time: Duration::ZERO,
        checkpoint: false,
        command: String::new(),
    }
}

fn task_job(random: &mut SmallRng, fleet: &Fleet) -> job::Spec {
    let accelerators = if fleet.accelerators > 0 && random.random_bool(0.15) {
        random.random_range(1..=4)
    } else {
        0
    };
    // Pareto distribution, cut off at its 99th percentile.
    let seconds = 10.0 * (1.0 - random.random::<f64>() * 0.99).powf(-0.77);
    let mut spec = job::Spec {
        kind: job::Kind::Batch,
        priority: job::Priority::Normal,
        tasks: random.random_range(1..=10),
        size: resource::Amount::new(
            [500, 1000, 2000, 4000, 8000, 16_000][random.random_range(0..6)],
            [1024, 2048, 4096, 8192, 16_384][random.random_range(0..5)],
            accelerators,
        ),
        accelerator: if accelerators > 0 {
            random.random_range(1..=2)
        } else {
            0
        },
        run_time: Duration::from_secs_f64(seconds),
        checkpoint: random.random_bool(0.5),
        command: String::new(),
    };
    match random.random_range(0..100) {
        0..3 => {
            spec.kind = job::Kind::Gang;
            spec.tasks = random.random_range(4..=24);
        }
        3 => {
            spec.priority = job::Priority::Urgent;
            spec.tasks = random.random_range(1..=3);
            spec.size = resource::Amount::new(2000, 4096, 0);
            spec.accelerator = 0;
            spec.run_time = Duration::from_secs(10);
        }
        _ => {}
    }
    spec
}
