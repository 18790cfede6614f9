//! Jobs that callers submit, by kind of request.

use std::{collections::HashMap, time::Duration};

use bronzespoke_model::resource;
use bronzespoke_workload::{catalog, directive, job};
use bytes::Bytes;
use rand::Rng;

/// A kind of request.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Queue.
    pub queue: catalog::Queue,
    /// Submissions a second.
    pub rate: f64,
    /// Mean number of tasks of a step.
    pub tasks: f64,
    /// Most tasks of a step.
    pub max_tasks: u32,
    /// Mean size of a task.
    pub size: resource::Amount,
    /// Mean run time of a task.
    pub run_time: Duration,
    /// Whether steps are gangs.
    pub gang: bool,
    /// Share of jobs with a second step after the first.
    pub two_step_share: f64,
    /// Share of workers that may run a step.
    pub eligible_share: f64,
    /// Value of a job that is completed within its objective.
    pub value: f64,
    /// Share of tasks that fail by their own fault.
    pub failing_share: f64,
}

/// A job with what the scheduler is not told.
#[derive(Debug, Clone)]
pub struct Job {
    /// Id.
    pub key: job::Key,
    /// Index of its kind.
    pub kind: usize,
    /// Team.
    pub team: String,
    /// What is submitted.
    pub submission: job::Submission,
    /// True run times by step and task.
    pub run_times: HashMap<(u16, u32), Duration>,
    /// Longest chain of true run times.
    pub chain: Duration,
    /// Whether its tasks always fail.
    pub always_fails: bool,
}

/// Largest factor by which an estimate is wrong, either way.
const ESTIMATE_ERROR: f64 = 2.5;

/// Draws a job.
pub fn generate(rng: &mut impl Rng, kinds: &[Kind], kind: usize, teams: &[String]) -> Job {
    let form = &kinds[kind];
    let steps = if rng.random_bool(form.two_step_share) {
        2
    } else {
        1
    };
    let mut run_times = HashMap::new();
    let mut submitted = Vec::new();
    let mut chain = Duration::ZERO;
    for step in 0..steps {
        // A skewed width: most steps are narrow and a few are wide.
        let width = form.tasks * -rng.random_range(0.05_f64..1.0).ln();
        let tasks = (width.round() as u32).clamp(1, form.max_tasks);
        let base = form.run_time.mul_f64(rng.random_range(0.4..1.6));
        let mut longest = Duration::ZERO;
        for index in 0..tasks {
            let own = base.mul_f64(rng.random_range(0.85..1.15));
            longest = longest.max(own);
            run_times.insert((step, index), own);
        }
        chain += longest;
        let scale = rng.random_range(0.6..1.4);
        submitted.push(step_of(form, step, tasks, base, scale, rng));
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
        chain,
        always_fails: rng.random_bool(form.failing_share),
    }
}

fn step_of(form: &Kind, step: u16, tasks: u32, base: Duration, scale: f64, rng: &mut impl Rng) -> job::Step {
    let scaled = |amount: u32| (f64::from(amount) * scale) as u32;
    job::Step {
        tasks,
        size: resource::Amount::new(scaled(form.size.cpu_milli), scaled(form.size.memory_mib), 0),
        run_time: base.mul_f64(rng.random_range(1.0 / ESTIMATE_ERROR..ESTIMATE_ERROR)),
        after: (0..step).collect(),
        gang: form.gang,
        ..job::Step::default()
    }
}

/// Queue with usual settings.
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

/// Returns the true run time of a task.
pub fn run_time(job: &Job, task: directive::Task) -> Duration {
    job.run_times
        .get(&(task.step, task.index))
        .copied()
        .unwrap_or_default()
}
