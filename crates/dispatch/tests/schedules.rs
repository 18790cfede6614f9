//! Jobs that are repeated at due times.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_control::cell;
use bronzespoke_dispatch::{
    dispatch::{Config, Dispatch, Now, Output, Registration},
    recent,
};
use bronzespoke_model::resource;
use bronzespoke_standin::fleet::load;
use bronzespoke_workload::{directive, job, settings};
use bytes::Bytes;
use yare::parameterized;

const EPOCH_MS: u64 = 1_700_000_000_000;
const RUN_MS: u64 = 50;

const fn at(millis: u64) -> Now {
    Now {
        steady: Duration::from_millis(millis),
        wall_ms: EPOCH_MS + millis,
    }
}

fn config(token: u64) -> Config {
    Config {
        token,
        bounds: settings::Bounds::default(),
        past_use: None,
    }
}

/// A leader with one worker that completes each task after 50 ms.
struct Leader {
    state: cell::State,
    dispatch: Dispatch,
    millis: u64,
    /// Active runs, with the time of their start.
    running: BTreeMap<directive::Task, u64>,
    ended: Vec<directive::Ended>,
    /// Times at which each task was started.
    starts: BTreeMap<directive::Task, Vec<u64>>,
    most_waiting: usize,
    stretch: f64,
}

impl Leader {
    fn new() -> Self {
        let state = load::configured(load::queue("check", 0, Duration::from_millis(400), 1.5, 2));
        let mut leader = Self {
            dispatch: Dispatch::new(config(1), &state, &recent::Starts::new(Duration::ZERO), at(0)),
            state,
            millis: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            starts: BTreeMap::new(),
            most_waiting: 0,
            stretch: 1.5,
        };
        let room = resource::Amount::new(64_000, 64_000, 0);
        let announcement = load::announcement(0, 5, room);
        if let Registration::Propose(command) =
            leader
                .dispatch
                .announce(&leader.state, at(0).steady, &announcement)
        {
            leader.commit(&command);
        }
        leader.run(100);
        leader
    }

    fn elect(&mut self, term: u64) {
        self.dispatch = Dispatch::new(
            config(term),
            &self.state,
            &recent::Starts::new(Duration::ZERO),
            at(self.millis),
        );
    }

    fn commit(&mut self, command: &cell::Command) {
        let now = at(self.millis);
        let outcome = self.state.apply(now.wall_ms, command.clone());
        self.dispatch.committed(&self.state, now, command, &outcome);
    }

    fn submit(&mut self, key: job::Key, schedule: job::Schedule, run_time: Duration) {
        let step = job::Step {
            tasks: 1,
            size: resource::Amount::new(1_000, 100, 0),
            run_time,
            ..job::Step::default()
        };
        let second = job::Step {
            after: vec![0],
            ..step.clone()
        };
        self.commit(&cell::Command::Submit {
            key,
            queue: Box::new(load::queue(
                "check",
                0,
                Duration::from_millis(400),
                self.stretch,
                2,
            )),
            team: None,
            submission: Box::new(job::Submission {
                spec: Bytes::new(),
                steps: vec![step, second],
                schedule: Some(schedule),
            }),
        });
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.millis += 1;
            self.end_due();
            self.dispatch.tick(&self.state, at(self.millis));
            for output in self.dispatch.take_outputs() {
                match output {
                    Output::Propose(command) => self.commit(&command),
                    Output::Directive {
                        worker,
                        directive,
                        decided,
                    } => self.direct(worker, &directive, decided),
                    Output::Query(_) | Output::Event(_) => {}
                }
            }
            self.most_waiting = self.most_waiting.max(self.dispatch.waiting_steps());
        }
        self.state.verify().expect("the counters are consistent");
    }

    fn end_due(&mut self) {
        let millis = self.millis;
        let due = self.running.iter().filter(|(_, since)| millis >= *since + RUN_MS);
        let due: Vec<directive::Task> = due.map(|(task, _)| *task).collect();
        for task in due {
            self.running.remove(&task);
            let number = self.ended.last().map_or(1, |ended| ended.number + 1);
            self.ended.push(directive::Ended {
                number,
                task,
                run: 1,
                outcome: directive::Outcome::Done,
                checkpoint: None,
            });
        }
    }

    fn direct(&mut self, worker: cell::WorkerIndex, directive: &directive::Directive, decided: Duration) {
        let clock = at(self.millis).steady;
        let answer = match directive {
            directive::Directive::Start { task, .. } => {
                self.running.insert(*task, self.millis);
                self.starts.entry(*task).or_default().push(self.millis);
                directive::Answer::Done { clock }
            }
            directive::Directive::Renew { .. } => directive::Answer::Report(directive::Report {
                clock,
                started_ms: Some(5),
                running: self
                    .running
                    .keys()
                    .map(|task| directive::Running {
                        task: *task,
                        run: 1,
                        checkpoint: None,
                        percent: 1,
                        load: None,
                    })
                    .collect(),
                ended: self.ended.clone(),
                truncated: false,
            }),
            _ => directive::Answer::Done { clock },
        };
        let now = at(self.millis);
        self.dispatch
            .answered(&self.state, now, worker, directive, decided, Some(&answer));
    }

    fn phase(&self, key: job::Key) -> job::Phase {
        self.state.job(key).expect("the job is retained").phase
    }
}

const fn schedule(first_ms: u64, interval_ms: u64, times: u32) -> job::Schedule {
    job::Schedule {
        first: Duration::from_millis(first_ms),
        interval: Duration::from_millis(interval_ms),
        times,
    }
}

/// Guards against a leader whose memory and passes grow with the number of times that jobs are repeated: twelve jobs that
/// were repeated every five minutes for a year made each take-over fail.
#[test]
fn occurrences_that_are_not_due_take_no_room() {
    let mut leader = Leader::new();
    for key in 0..12 {
        leader.submit(
            key,
            schedule(EPOCH_MS + 300_000, 300_000, 105_120),
            Duration::from_secs(1),
        );
    }
    leader.run(500);
    assert_eq!(leader.most_waiting, 0);
    leader.elect(2);
    leader.run(500);
    assert_eq!(leader.most_waiting, 0);
    assert!(leader.starts.is_empty(), "{:?}", leader.starts);
}

/// Guards against occurrences that start early, late, twice or never, also when the leader changes between them.
#[test]
fn each_occurrence_runs_once_when_it_is_due() {
    let mut leader = Leader::new();
    leader.submit(
        7,
        schedule(EPOCH_MS + 1_000, 500, 4),
        Duration::from_millis(RUN_MS),
    );
    leader.run(1_300);
    leader.elect(2);
    leader.run(2_500);
    assert_eq!(leader.phase(7), job::Phase::Completed);
    assert_eq!(leader.starts.len(), 8, "{:?}", leader.starts);
    for (task, times) in &leader.starts {
        assert_eq!(times.len(), 1, "{task} {times:?}");
        let due = 1_000 + 500 * u64::from(task.occurrence);
        // A new leader learns of the worker with its first report.
        assert!(times[0] >= due && times[0] < due + 300, "{task} {times:?}");
    }
}

/// Guards against a leader that takes all overdue occurrences at once, or leaves some out.
#[test]
fn overdue_occurrences_run_a_part_at_a_time() {
    let mut leader = Leader::new();
    leader.submit(
        7,
        schedule(EPOCH_MS - 5_000, 1, 2_000),
        Duration::from_millis(RUN_MS),
    );
    leader.run(10_000);
    assert_eq!(leader.phase(7), job::Phase::Completed);
    assert_eq!(leader.starts.len(), 4_000);
    assert!(leader.starts.values().all(|times| times.len() == 1));
    assert!(leader.most_waiting <= 512, "{} steps wait", leader.most_waiting);
}

/// Guards against steps that wait for good after their job was cancelled.
#[test]
fn a_cancelled_schedule_leaves_nothing() {
    let mut leader = Leader::new();
    leader.submit(7, schedule(EPOCH_MS, 0, u32::MAX), Duration::from_millis(RUN_MS));
    leader.run(300);
    assert!(leader.dispatch.waiting_steps() > 0);
    leader.commit(&cell::Command::Cancel { key: 7 });
    assert_eq!(leader.dispatch.waiting_steps(), 0);
    leader.run(500);
    assert_eq!(leader.dispatch.waiting_steps(), 0);
}

/// Guards against an accepted number that ends the control thread of each leader in turn.
#[parameterized(
    interval = { EPOCH_MS, u64::MAX, 1_000, 1.5 },
    first = { u64::MAX, u64::MAX, 1_000, 1.5 },
    run_time = { EPOCH_MS, 1_000, u64::MAX, 1.5 },
    stretch = { EPOCH_MS, 1_000, 1_000, f64::MAX },
)]
fn the_largest_accepted_numbers_are_handled(first_ms: u64, interval_ms: u64, run_ms: u64, stretch: f64) {
    let mut leader = Leader::new();
    leader.stretch = stretch;
    leader.submit(
        7,
        schedule(first_ms, interval_ms, u32::MAX),
        Duration::from_millis(run_ms),
    );
    leader.run(1_000);
    leader.elect(2);
    leader.run(1_000);
}
