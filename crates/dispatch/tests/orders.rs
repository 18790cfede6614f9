//! Outcome of single directives, step by step.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_dispatch::{
    dispatch::{Config, Dispatch, Now, Output, Registration},
    recent,
};
use bronzespoke_model::resource;
use bronzespoke_standin::fleet::load;
use bronzespoke_workload::{catalog, directive, job, settings};
use bytes::Bytes;
use yare::parameterized;

const KEY: job::Key = 7;

const fn at(millis: u64) -> Now {
    Now {
        steady: Duration::from_millis(millis),
        wall_ms: 1_700_000_000_000 + millis,
    }
}

/// Worker of a start, the start, and the time of its decision.
type Sent = (cell::WorkerIndex, directive::Directive, Duration);

/// A leader with two workers that have reported.
struct Leader {
    state: cell::State,
    dispatch: Dispatch,
    now: Now,
    queries: usize,
}

impl Leader {
    fn new() -> Self {
        let state = load::configured(load::queue("check", 0, Duration::from_millis(400), 1.5, 2));
        let config = Config {
            token: 1,
            bounds: settings::Bounds::default(),
            past_use: None,
        };
        let dispatch = Dispatch::new(config, &state, &recent::Starts::new(Duration::ZERO), at(0));
        let mut leader = Self {
            state,
            dispatch,
            now: at(0),
            queries: 0,
        };
        leader.dispatch.set_proxies(&[1]);
        for number in 0..2 {
            leader.announce(number);
        }
        leader
    }

    fn announce(&mut self, number: u16) {
        let room = resource::Amount::new(8_000, 8_000, 0);
        let announcement = load::announcement(number, 5, room);
        let steady = self.now.steady;
        if let Registration::Propose(command) = self.dispatch.announce(&self.state, steady, &announcement) {
            self.commit(&command);
        }
    }

    fn commit(&mut self, command: &cell::Command) {
        let outcome = self.state.apply(self.now.wall_ms, command.clone());
        self.dispatch.committed(&self.state, self.now, command, &outcome);
    }

    /// Advances the time; answers requests for reports and returns the starts.
    fn run(&mut self, millis: u64) -> Vec<Sent> {
        let mut starts = Vec::new();
        for step in 0..millis {
            self.now = at(self.now.steady.as_millis() as u64 + u64::from(step > 0));
            self.dispatch.tick(&self.state, self.now);
            for output in self.dispatch.take_outputs() {
                match output {
                    Output::Propose(command) => self.commit(&command),
                    Output::Directive {
                        worker,
                        directive: directive::Directive::Start { .. },
                        decided,
                    } if starts.len() < 64 => starts.push((worker, self.start(), decided)),
                    Output::Directive {
                        worker,
                        directive,
                        decided,
                    } => {
                        let report = directive::Report {
                            clock: self.now.steady,
                            started_ms: Some(5),
                            ..directive::Report::default()
                        };
                        let answer = directive::Answer::Report(report);
                        self.dispatch.answered(
                            &self.state,
                            self.now,
                            worker,
                            &directive,
                            decided,
                            Some(&answer),
                        );
                    }
                    Output::Query(_) => self.queries += 1,
                    Output::Event(_) => {}
                }
            }
        }
        starts
    }

    /// Returns the start of the only task, with its newest run number.
    fn start(&self) -> directive::Directive {
        let task = directive::Task {
            job: KEY,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let run = self.state.task(task).map_or(0, |task| task.run);
        directive::Directive::Start {
            task,
            run,
            spec: Bytes::new(),
            lease_end: Duration::ZERO,
            checkpoint: None,
            ticket: None,
        }
    }

    /// Returns a leader that has sent the start of its only task, and the start, which is not answered yet.
    fn with_start() -> (Self, Sent) {
        let mut leader = Self::new();
        leader.run(100);
        leader.submit(None);
        let mut starts = leader.run(20);
        assert_eq!(starts.len(), 1, "{starts:?}");
        (leader, starts.remove(0))
    }

    fn submit(&mut self, advice: Option<catalog::QueryCost>) {
        let step = job::Step {
            tasks: 1,
            size: resource::Amount::new(1_000, 100, 0),
            run_time: Duration::from_secs(1),
            ..job::Step::default()
        };
        let queue = catalog::Queue {
            advice,
            ..load::queue("check", 0, Duration::from_millis(400), 1.5, 2)
        };
        let catalog = catalog::Catalog {
            version: 2,
            queues: vec![queue.clone()],
            pools: Vec::new(),
            teams: Vec::new(),
        };
        self.commit(&cell::Command::Configure {
            catalog: Box::new(catalog),
            document: Bytes::new(),
        });
        self.commit(&cell::Command::Submit {
            key: KEY,
            queue: Box::new(queue),
            team: None,
            submission: Box::new(job::Submission {
                spec: Bytes::new(),
                steps: vec![step],
                schedule: None,
            }),
        });
    }

    fn answer(&mut self, start: &Sent, answer: Option<&directive::Answer>) {
        let (worker, directive, decided) = start;
        self.dispatch
            .answered(&self.state, self.now, *worker, directive, *decided, answer);
    }
}

/// Guards against tasks that wait for the lease of a crashed worker although their starts were never sent: a crash of
/// 18 workers delayed dozens of short jobs by 6 to 16 s.
#[test]
fn a_start_that_was_not_sent_moves_to_another_worker_immediately() {
    let (mut leader, first) = Leader::with_start();
    leader.answer(&first, Some(&directive::Answer::NotSent));
    let second = leader.run(100);
    assert_eq!(second.len(), 1, "{second:?}");
    assert_ne!(first.0, second[0].0);
}

/// Guards against a second run of a task whose first start may have arrived: a refused connection for the repeated
/// start proves nothing about the first one.
#[test]
fn a_start_that_may_have_arrived_stays_on_its_worker() {
    let (mut leader, first) = Leader::with_start();
    leader.answer(&first, None);
    let repeated = leader.run(400);
    assert_eq!(repeated.len(), 1, "{repeated:?}");
    assert_eq!((repeated[0].0, &repeated[0].1), (first.0, &first.1));
    leader.answer(&repeated[0], Some(&directive::Answer::NotSent));
    let later = leader.run(100);
    assert!(later.iter().all(|start| start.0 == first.0), "{later:?}");
}

/// Guards against a second run of a task whose first start is carried out late: the refusal of the repeated start
/// proves nothing about the first one, whose ticket was still valid.
#[parameterized(
    ticket = { directive::Refusal::Ticket },
    room = { directive::Refusal::Room },
    unhealthy = { directive::Refusal::Unhealthy },
)]
fn a_refused_repeated_start_leaves_the_first_one_open(reason: directive::Refusal) {
    let (mut leader, first) = Leader::with_start();
    leader.answer(&first, None);
    let repeated = leader.run(400);
    assert_eq!(repeated.len(), 1, "{repeated:?}");
    let clock = Some(leader.now.steady);
    leader.answer(&repeated[0], Some(&directive::Answer::Refused { reason, clock }));
    let later = leader.run(1_000);
    assert!(later.iter().all(|start| start.0 == first.0), "{later:?}");
}

/// Guards against a step that waits forever on an idle fleet: its query was lost, and no other event triggered another
/// pass.
#[test]
fn a_lost_query_is_repeated_on_an_idle_fleet() {
    let mut leader = Leader::new();
    leader.run(100);
    leader.submit(Some(catalog::QueryCost {
        decision: Duration::from_millis(10),
        per_worker: Duration::ZERO,
        valid: Duration::from_secs(2),
    }));
    leader.run(50);
    assert_eq!(leader.queries, 1);
    leader.run(2_000);
    assert_eq!(leader.queries, 2);
}

/// Guards against jobs that are shown as running, and not counted as pending, although no worker has carried out a start
/// of theirs.
#[test]
fn a_job_is_pending_until_a_worker_confirms_a_start() {
    let (mut leader, start) = Leader::with_start();
    let shown = |leader: &Leader| {
        let job = leader.state.job(KEY).expect("the job is retained");
        let pending = leader.dispatch.pending(&leader.state, "check");
        (leader.dispatch.phase(job), pending)
    };
    assert_eq!(shown(&leader), (job::Phase::Queued, 1));
    leader.answer(&start, None);
    assert_eq!(shown(&leader), (job::Phase::Queued, 1));
    let repeated = leader.run(400);
    let clock = leader.now.steady;
    leader.answer(&repeated[0], Some(&directive::Answer::Done { clock }));
    assert_eq!(shown(&leader), (job::Phase::Running, 0));
}

/// Guards against memory that grows for good: finished jobs were removed at 51 a second at most, however many finished.
#[test]
fn finished_jobs_are_removed_as_fast_as_they_finish() {
    const JOBS: u64 = 10_000;
    let mut leader = Leader::new();
    let submission = job::Submission {
        spec: Bytes::new(),
        steps: vec![job::Step {
            tasks: 1,
            ..job::Step::default()
        }],
        schedule: None,
    };
    for key in 0..JOBS {
        // These times are far enough back that the jobs need not be retained.
        let submit = cell::Command::Submit {
            key,
            queue: Box::new(load::queue("check", 0, Duration::from_millis(400), 1.5, 2)),
            team: None,
            submission: Box::new(submission.clone()),
        };
        leader.state.apply(1, submit);
        leader.state.apply(1, cell::Command::Cancel { key });
    }
    leader.run(5_000);
    leader.run(4_500);
    assert_eq!(leader.state.jobs().count(), 0);
}
