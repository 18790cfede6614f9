//! Growth of the leader's work with the size of the fleet, in counts.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use bronzespoke_control::cell;
use bronzespoke_dispatch::dispatch::{Config, Dispatch, Now, Output, Registration};
use bronzespoke_model::resource;
use bronzespoke_standin::fleet::{
    load,
    simulation::{self, Simulation},
};
use bronzespoke_workload::{catalog, directive, eligibility, job, settings, worker};
use bytes::Bytes;
use yare::parameterized;

/// Processors of a worker, in thousandths of a core; a task takes a quarter.
const CAPACITY: u32 = 64_000;
/// Workers that a query about a step names at most.
const QUERIED: u64 = 60;
/// Time for which every leader of this file is run before a measurement.
const WARM_UP_MS: u64 = 600;

/// Time in which the fleet has to fill up.
const MAX_FILL_SECONDS: u64 = 20;

/// A leader whose workers execute each start at once and never complete it.
struct Fleet {
    state: cell::State,
    dispatch: Dispatch,
    millis: u64,
    running: HashMap<cell::WorkerIndex, Vec<directive::Running>>,
    /// Requests for reports by the time of their answer, in milliseconds.
    reports: BTreeMap<u64, Vec<(cell::WorkerIndex, directive::Directive, Duration)>>,
}

impl Fleet {
    fn new(workers: u16, advice: bool) -> Self {
        let queue = catalog::Queue {
            advice: advice.then_some(catalog::QueryCost {
                decision: Duration::from_millis(1),
                per_worker: Duration::ZERO,
                valid: Duration::from_mins(1),
            }),
            ..load::queue("check", 0, Duration::from_millis(400), 1.5, 2)
        };
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
        let config = Config {
            token: 1,
            bounds: settings::Bounds::default(),
        };
        let dispatch = Dispatch::new(config, &state, now(0));
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
        fleet
    }

    fn announce(&mut self, number: u16) {
        let announcement = worker::Announcement {
            incarnation: worker::Incarnation {
                name: format!("w-{number}"),
                started_ms: 5,
            },
            sequence: 1,
            worker: worker::Worker {
                address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
                pool: String::from("fleet"),
                zone: String::from("zone"),
                kind: String::from("a"),
                rack: String::from("r"),
                labels: Vec::new(),
                room: resource::Amount::new(CAPACITY, CAPACITY, 0),
                machine: None,
            },
            state: worker::State::Ready,
            cold: Duration::ZERO,
        };
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

    fn submit(&mut self, key: job::Key, tasks: u32) {
        let queue = self.state.catalog().expect("configured").queues[0].clone();
        let step = job::Step {
            tasks,
            size: resource::Amount::new(CAPACITY / 4, CAPACITY / 4, 0),
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
    fn fill(&mut self) {
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
                started_ms: Some(5),
                running: self.running.get(&worker).cloned().unwrap_or_default(),
                ended: Vec::new(),
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

/// Guards against the collapse after a burst: each pass looked at every worker for every waiting step, so that the
/// passes of a leader with a backlog took all of its processor, and the backlog grew.
#[parameterized(
    grown = { 350, 50 },
    grown_backlog = { 350, 1_500 },
    large = { 1_100, 50 },
    large_backlog = { 1_100, 1_500 },
    target = { 2_800, 50 },
    target_backlog = { 2_800, 1_500 },
)]
fn a_pass_looks_at_few_workers_for_each_waiting_step(workers: u16, waiting: u64) {
    for advice in [false, true] {
        let mut fleet = Fleet::new(workers, advice);
        fleet.run(WARM_UP_MS);
        // One job fills the fleet, the others wait.
        for key in 0..u64::from(workers) {
            fleet.submit(key, 4);
        }
        fleet.fill();
        for key in 0..waiting {
            fleet.submit(1_000_000 + key, 2);
        }
        fleet.run(WARM_UP_MS);
        let before = fleet.dispatch.work();
        fleet.run(1_000);
        let work = fleet.dispatch.work().since(&before);
        assert!(work.passes > 0 && work.steps >= waiting, "{work:?}");
        assert!(work.workers <= work.steps * 2 * QUERIED, "{work:?}");
        fleet.dispatch.verify().expect("the index of free resources");
    }
}

/// Guards against a step that stays unplaced while workers are free: those that the first query named fill up, and the
/// others have to be found.
#[test]
fn a_step_is_placed_while_any_worker_has_room() {
    let mut fleet = Fleet::new(200, true);
    fleet.run(WARM_UP_MS);
    for key in 0..200 {
        fleet.submit(key, 4);
    }
    fleet.fill();
    let placed: usize = fleet.running.values().map(Vec::len).sum();
    assert_eq!(placed, 800);
}

/// The large deployment: 1,100 workers, 82% of their processors requested, 1,660 starts per second.
fn large(seed: u64) -> simulation::Plan {
    let kind = |name, rate, tasks, size, millis, gang, cost: (u64, u64), share| load::Kind {
        queue: catalog::Queue {
            advice: Some(catalog::QueryCost {
                decision: Duration::from_micros(cost.0),
                per_worker: Duration::from_micros(cost.1),
                valid: Duration::from_millis(2_500),
            }),
            ..load::queue(name, 1, Duration::from_millis(1_200), 3.0, 3)
        },
        rate,
        tasks,
        max_tasks: 96,
        size: resource::Amount::new(size, size, 0),
        run_time: Duration::from_millis(millis),
        gang,
        two_step_share: 0.2,
        eligible_share: share,
        value: 1.0,
        failing_share: 0.005,
    };
    let limit = resource::Amount::new(6_000_000, 0, 0);
    simulation::Plan {
        seed,
        workers: 1_100,
        capacity: resource::Amount::new(64_000, 131_072, 0),
        proxies: 153,
        kinds: vec![
            kind(
                "reconciliation",
                8.49,
                32.0,
                18_000,
                5_000,
                true,
                (390_000, 5_500),
                0.35,
            ),
            kind("audit", 11.2, 32.0, 11_000, 3_400, false, (140_000, 2_000), 0.45),
            kind("check", 177.0, 4.5, 16_000, 640, false, (8_900, 130), 0.7),
        ],
        teams: (0..60).map(|team| (format!("team-{team}"), limit)).collect(),
        duration: Duration::from_secs(22),
        bursts: Vec::new(),
        faults: simulation::Faults::default(),
        // Processor time on 0.6 of a core.
        costs: Some(simulation::Costs {
            message: Duration::from_micros(100),
            pass: Duration::from_micros(300),
            step: Duration::from_micros(5),
            worker: Duration::from_nanos(150),
        }),
        trace: None,
    }
}

/// Share of the jobs submitted in a range of seconds that ended within their objective.
fn served(report: &simulation::Report, seconds: std::ops::Range<u64>) -> f64 {
    let (submitted, on_time) = report
        .seconds
        .range(seconds)
        .fold((0, 0), |sum, (_, second)| (sum.0 + second.0, sum.1 + second.1));
    on_time as f64 / f64::from(submitted.max(1) as u32)
}

/// Guards against a leader that does not recover from a burst: what the burst leaves behind costs more than the normal
/// load.
#[test]
fn service_recovers_after_a_burst() {
    let burst = (2, Duration::from_secs(6), Duration::from_secs(4), 2.5);
    let plan = simulation::Plan {
        bursts: vec![burst],
        ..large(1)
    };
    let report = Simulation::new(plan).run(Duration::from_secs(15));
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    let before = served(&report, 1..6);
    let after = served(&report, 15..20);
    assert!(before > 0.9, "{before} before the burst: {:?}", report.seconds);
    assert!(
        after >= before - 0.03,
        "{after} after, {before} before: {:?}",
        report.seconds
    );
}
