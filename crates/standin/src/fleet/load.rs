//! Random generation of the jobs that callers submit, by kind of request.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use bronzespoke_control::cell;
use bronzespoke_model::resource;
use bronzespoke_workload::{catalog, directive, job, worker};
use bytes::Bytes;
use rand::Rng;

/// A kind of request, with the distributions of its jobs.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Queue that the jobs are submitted to.
    pub queue: catalog::Queue,
    /// Mean number of submissions per second.
    pub rate: f64,
    /// Mean number of tasks per step.
    pub tasks: f64,
    /// Maximum number of tasks per step.
    pub max_tasks: u32,
    /// Mean size of a task.
    pub size: resource::Amount,
    /// Mean run time of a task.
    pub run_time: Duration,
    /// Whether each step is a gang.
    pub gang: bool,
    /// Share of jobs that have a second step after the first.
    pub two_step_share: f64,
    /// Share of workers that are eligible for a step.
    pub eligible_share: f64,
    /// Value of a job that is completed within its objective.
    pub value: f64,
    /// Share of jobs whose tasks always fail.
    pub failing_share: f64,
}

/// A job, with properties that are unknown to the scheduler.
#[derive(Debug, Clone)]
pub struct Job {
    /// Id of the job.
    pub key: job::Key,
    /// Index of the job's kind.
    pub kind: usize,
    /// Name of the team that submits the job.
    pub team: String,
    /// Submission as sent to the scheduler.
    pub submission: job::Submission,
    /// Actual run times by step and task index.
    pub run_times: HashMap<(u16, u32), Duration>,
    /// Sum of the longest actual run times of consecutive steps.
    pub critical_path: Duration,
    /// Whether the tasks of the job always fail.
    pub always_fails: bool,
}

/// Maximum factor by which an estimated run time is too high or too low.
const MAX_ESTIMATE_ERROR: f64 = 2.5;

/// Generates a random job of a kind.
pub fn generate(rng: &mut impl Rng, kinds: &[Kind], kind: usize, teams: &[String]) -> Job {
    let parameters = &kinds[kind];
    let steps = if rng.random_bool(parameters.two_step_share) {
        2
    } else {
        1
    };
    let mut run_times = HashMap::new();
    let mut submitted = Vec::new();
    let mut critical_path = Duration::ZERO;
    for step in 0..steps {
        // Exponential distribution: most steps have few tasks, and a few steps have many.
        let count = parameters.tasks * -rng.random_range(0.05_f64..1.0).ln();
        let tasks = (count.round() as u32).clamp(1, parameters.max_tasks);
        let base = parameters.run_time.mul_f64(rng.random_range(0.4..1.6));
        let mut longest = Duration::ZERO;
        for index in 0..tasks {
            let run_time = base.mul_f64(rng.random_range(0.85..1.15));
            longest = longest.max(run_time);
            run_times.insert((step, index), run_time);
        }
        critical_path += longest;
        let scale = rng.random_range(0.6..1.4);
        submitted.push(generate_step(parameters, step, tasks, base, scale, rng));
    }
    Job {
        key: rng.random(),
        kind,
        team: teams[rng.random_range(0..teams.len())].clone(),
        submission: job::Submission {
            spec: Bytes::from_static(b"work"),
            steps: submitted,
            schedule: None,
        },
        run_times,
        critical_path,
        always_fails: rng.random_bool(parameters.failing_share),
    }
}

fn generate_step(
    parameters: &Kind,
    step: u16,
    tasks: u32,
    base: Duration,
    scale: f64,
    rng: &mut impl Rng,
) -> job::Step {
    let scaled = |amount: u32| (f64::from(amount) * scale) as u32;
    job::Step {
        tasks,
        size: resource::Amount::new(
            scaled(parameters.size.cpu_milli),
            scaled(parameters.size.memory_mib),
            0,
        ),
        run_time: base.mul_f64(rng.random_range(1.0 / MAX_ESTIMATE_ERROR..MAX_ESTIMATE_ERROR)),
        after: (0..step).collect(),
        gang: parameters.gang,
        ..job::Step::default()
    }
}

/// Returns a queue with the given policy and common settings.
pub fn queue(name: &str, priority: u32, objective: Duration, stretch: f64, attempts: u32) -> catalog::Queue {
    catalog::Queue {
        name: String::from(name),
        host: String::from("office"),
        prefix: format!("/{name}/"),
        pool: String::from("fleet"),
        timeout: Duration::from_secs(3),
        objective,
        priority,
        attempts,
        stretch,
        advice: None,
        open: false,
    }
}

/// Returns the state of a cell whose configuration has one queue.
pub fn configured(queue: catalog::Queue) -> cell::State {
    let catalog = catalog::Catalog {
        version: 1,
        queues: vec![queue],
        pools: Vec::new(),
        teams: Vec::new(),
    };
    let mut state = cell::State::default();
    let configure = cell::Command::Configure {
        catalog: Box::new(catalog),
        document: Bytes::new(),
    };
    state.apply(1, configure);
    state
}

/// Returns the announcement of a worker of the pool that all queues use.
pub fn announcement(number: u16, started_ms: u64, room: resource::Amount) -> worker::Announcement {
    worker::Announcement {
        incarnation: worker::Incarnation {
            name: format!("w-{number}"),
            started_ms,
        },
        sequence: 1,
        worker: worker::Worker {
            address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
            pool: String::from("fleet"),
            zone: String::from("zone"),
            kind: String::from("a"),
            rack: String::from("r"),
            labels: Vec::new(),
            room,
            machine: None,
        },
        state: worker::State::Ready,
        cold: Duration::ZERO,
    }
}

/// Returns the actual run time of a task.
pub fn run_time(job: &Job, task: directive::Task) -> Duration {
    job.run_times
        .get(&(task.step, task.index))
        .copied()
        .unwrap_or_default()
}
