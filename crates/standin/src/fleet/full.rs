//! A leader with a full fleet and a backlog, for measurements of its work.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_dispatch::{
    dispatch::{Config, Dispatch, Now, Output, Registration},
    recent, work,
};
use bronzespoke_model::resource;
use bronzespoke_workload::{catalog, directive, eligibility, job, settings};
use bytes::Bytes;

use super::load;

/// Processors of a worker, in thousandths of a core, and its memory in MiB.
const CAPACITY: u32 = 64_000;
/// Start time of each worker, in milliseconds since the Unix epoch.
const STARTED_MS: u64 = 5;
/// Tasks that fill a worker.
pub const TASKS_PER_WORKER: u32 = 4;
/// Id of the first job that waits.
const FIRST_WAITING: job::Key = 1_000_000;
/// Time for which a leader runs before a measurement.
const WARM_UP_MS: u64 = 600;

/// Time in which the fleet has to fill up.
const MAX_FILL_SECONDS: u64 = 20;

/// A leader whose workers execute each start at once and never complete it.
#[derive(Debug)]
pub struct Fleet {
    state: cell::State,
    dispatch: Dispatch,
    millis: u64,
    running: HashMap<cell::WorkerIndex, Vec<directive::Running>>,
    /// Requests for reports by the time of their answer, in milliseconds.
    reports: BTreeMap<u64, Vec<(cell::WorkerIndex, directive::Directive, Duration)>>,
}

impl Fleet {
    /// Returns a leader with workers that have reported. With `advice`, eligibility is queried for each step.
    pub fn new(workers: u16, advice: bool) -> Self {
        let queue = catalog::Queue {
            advice: advice.then_some(catalog::QueryCost {
                decision: Duration::from_millis(1),
                per_worker: Duration::ZERO,
                valid: Duration::from_mins(1),
            }),
            ..load::queue("check", 0, Duration::from_millis(400), 1.5, 2)
        };
        let state = load::configured(queue);
        let config = Config {
            token: 1,
            bounds: settings::Bounds::default(),
            past_use: None,
        };
        let dispatch = Dispatch::new(config, &state, &recent::Starts::new(Duration::ZERO), now(0));
        let mut fleet = Self {
            state,
            dispatch,
            millis: 0,
            running: HashMap::new(),
            reports: BTreeMap::new(),
        };
        let proxies: Vec<_> = (1..=64).collect();
        fleet.dispatch.set_proxies(&proxies);
        for number in 0..workers {
            fleet.announce(number);
        }
        fleet.run(WARM_UP_MS);
        fleet
    }

    /// Returns a full fleet for which further steps wait, each with two tasks.
    pub fn with_backlog(workers: u16, waiting: u64, advice: bool) -> Self {
        let mut fleet = Self::new(workers, advice);
        for key in 0..u64::from(workers) {
            fleet.submit(key, TASKS_PER_WORKER);
        }
        fleet.fill();
        for key in 0..waiting {
            fleet.submit(FIRST_WAITING + key, 2);
        }
        fleet.run(WARM_UP_MS);
        fleet
    }

    /// Returns the work of the scheduling passes in the next second.
    pub fn work_in_a_second(&mut self) -> work::Work {
        let before = self.dispatch.work();
        self.run(1_000);
        self.dispatch.work().since(&before)
    }

    /// Returns the number of waiting steps.
    pub fn waiting(&self) -> usize {
        self.dispatch.waiting_steps()
    }

    /// Returns the number of runs on all workers.
    pub fn running(&self) -> usize {
        self.running.values().map(Vec::len).sum()
    }

    /// Compares the leader's derived tables with those that they are derived from.
    pub fn verify(&mut self) -> Result<(), String> {
        self.dispatch.verify()
    }

    fn announce(&mut self, number: u16) {
        let room = resource::Amount::new(CAPACITY, CAPACITY, 0);
        let announcement = load::announcement(number, STARTED_MS, room);
        let steady = now(self.millis).steady;
        if let Registration::Propose(command) = self.dispatch.announce(&self.state, steady, &announcement) {
            self.commit(&command);
        }
    }

    fn commit(&mut self, command: &cell::Command) {
        let now = now(self.millis);
        let outcome = self.state.apply(now.wall_ms, command.clone());
        self.dispatch.committed(&self.state, now, command, &outcome);
    }

    /// Submits a job of one step.
    pub fn submit(&mut self, key: job::Key, tasks: u32) {
        let queue = self.state.catalog().expect("configured").queues[0].clone();
        let step = job::Step {
            tasks,
            size: resource::Amount::new(CAPACITY / TASKS_PER_WORKER, CAPACITY / TASKS_PER_WORKER, 0),
            run_time: Duration::from_mins(1),
            ..job::Step::default()
        };
        let submission = job::Submission {
            spec: Bytes::from_static(b"work"),
            steps: vec![step],
            schedule: None,
        };
        self.commit(&cell::Command::Submit {
            key,
            queue: Box::new(queue),
            team: None,
            submission: Box::new(submission),
        });
    }

    /// Advances the time until no step waits.
    pub fn fill(&mut self) {
        for _ in 0..MAX_FILL_SECONDS {
            self.run(1_000);
            if self.dispatch.waiting_steps() == 0 {
                return;
            }
        }
        panic!("{} steps wait", self.dispatch.waiting_steps());
    }

    /// Advances the time by `millis`.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.millis += 1;
            self.answer_reports();
            self.dispatch.tick(&self.state, now(self.millis));
            for output in self.dispatch.take_outputs() {
                self.execute(output);
            }
        }
    }

    /// Answers a directive: a start at once, a request for a report after the time that it allows.
    fn direct(&mut self, worker: cell::WorkerIndex, directive: directive::Directive, decided: Duration) {
        let now = now(self.millis);
        if let directive::Directive::Renew { wait, .. } = directive {
            let due = self.millis + wait.as_millis() as u64;
            self.reports
                .entry(due)
                .or_default()
                .push((worker, directive, decided));
            return;
        }
        if let directive::Directive::Start { task, run, .. } = &directive {
            self.running.entry(worker).or_default().push(directive::Running {
                task: *task,
                run: *run,
                checkpoint: None,
                percent: 1,
                load: None,
            });
        }
        let answer = directive::Answer::Done { clock: now.steady };
        self.dispatch
            .answered(&self.state, now, worker, &directive, decided, Some(&answer));
    }

    fn answer_reports(&mut self) {
        let now = now(self.millis);
        let later = self.reports.split_off(&(self.millis + 1));
        for (worker, directive, decided) in std::mem::replace(&mut self.reports, later)
            .into_values()
            .flatten()
        {
            let answer = directive::Answer::Report(directive::Report {
                clock: now.steady,
                started_ms: Some(STARTED_MS),
                running: self.running.get(&worker).cloned().unwrap_or_default(),
                ended: Vec::new(),
                truncated: false,
            });
            self.dispatch
                .answered(&self.state, now, worker, &directive, decided, Some(&answer));
        }
    }

    fn execute(&mut self, output: Output) {
        let now = now(self.millis);
        match output {
            Output::Propose(command) => self.commit(&command),
            Output::Directive {
                worker,
                directive,
                decided,
            } => self.direct(worker, directive, decided),
            Output::Query(assignment) => {
                let workers = assignment.query.workers.into_iter();
                let answer = eligibility::Answer::Eligible {
                    workers: workers
                        .map(|name| (name, Bytes::from_static(b"ticket")))
                        .collect(),
                    valid: None,
                };
                self.dispatch
                    .query_answered(now.steady, assignment.number, &answer);
            }
            Output::Event(_) => {}
        }
    }
}

const fn now(millis: u64) -> Now {
    Now {
        steady: Duration::from_millis(millis),
        wall_ms: 1_700_000_000_000 + millis,
    }
}
