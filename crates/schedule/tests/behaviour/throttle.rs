//! Throttles: guards against a throttle that is never lifted, against one that is lost, and against stopping runs if a
//! throttle frees the capacity that urgent work needs.

use bronzespoke_model::{id, job, resource, task, worker};
use bronzespoke_schedule::message::{Reason, Restore};
use bronzespoke_schedule::{Config, Input, Output, Scheduler};

use crate::cell::spec;

const NOW: std::time::Duration = std::time::Duration::from_secs(100);
const UNLIMITED: resource::Amount = resource::Amount::new(u32::MAX, u32::MAX, u32::MAX);

/// A scheduler with one worker of 8 cores, whose reports the tests create.
struct Fixture {
    scheduler: Scheduler,
    sequence: u64,
    next_job: id::JobId,
    runs: Vec<(task::Ref, id::Token)>,
    out: Vec<Output>,
}

impl Fixture {
    fn new() -> Self {
        let mut fixture = Self {
            scheduler: Scheduler::new(Config::default(), NOW),
            sequence: 0,
            next_job: 1,
            runs: Vec::new(),
            out: Vec::new(),
        };
        fixture.step(Input::Restore(Restore::Done { next_token: 1 }));
        for team in 1..=2 {
            fixture.step(Input::Team {
                team,
                quota: bronzespoke_model::team::Quota {
                    weight: 1,
                    limit: UNLIMITED,
                    requests: 0,
                },
                allotment: UNLIMITED,
            });
        }
        fixture.step(Input::Register(worker::Registration {
            worker: 1,
            incarnation: 1,
            rack: 1,
            capacity: resource::Capacity {
                amount: resource::Amount::new(8_000, 8_000, 0),
                accelerator: 0,
            },
        }));
        fixture
    }

    fn step(&mut self, input: Input) {
        self.out.clear();
        self.scheduler.step(NOW, input, &mut self.out);
        self.scheduler.verify().expect("the invariants hold");
        for output in &self.out {
            match output {
                Output::Start { task, token, .. } => self.runs.push((*task, *token)),
                Output::Ended { token, .. } => self.runs.retain(|run| run.1 != *token),
                _ => {}
            }
        }
    }

    fn submit(&mut self, team: id::TeamId, spec: job::Spec) {
        let job = self.next_job;
        self.next_job += 1;
        self.step(Input::Submit { job, team, spec });
    }

    /// Reports that every run uses this many milli cores.
    fn report(&mut self, cpu: u32) {
        self.sequence += 1;
        let running = self.runs.iter().map(|(task, token)| worker::Running {
            task: *task,
            token: *token,
            usage: resource::Amount::new(cpu, 1_000, 0),
        });
        let report = worker::Report {
            base: None,
            worker: 1,
            incarnation: 1,
            sequence: self.sequence,
            running: running.collect(),
            ended: Vec::new(),
        };
        self.step(Input::Report(report));
    }

    fn throttles(&self) -> Vec<u32> {
        let share = |output: &Output| match output {
            Output::Throttle { share_milli, .. } => Some(*share_milli),
            _ => None,
        };
        self.out.iter().filter_map(share).collect()
    }

    fn stops(&self) -> usize {
        let stop = |output: &&Output| {
            matches!(
                output,
                Output::Stop {
                    reason: Reason::Preempted,
                    ..
                }
            )
        };
        self.out.iter().filter(stop).count()
    }
}

/// Guards against a throttle that is kept after its cause has gone, is lifted while the run uses all it may, or is not
/// sent again after the worker missed it. Each report is a usage in milli cores and the throttles that must follow.
#[yare::parameterized(
    lifted = { &[(3_000, &[999]), (1_500, &[]), (1_500, &[]), (1_500, &[1_000]), (1_500, &[])] },
    pressed = { &[(3_000, &[999]), (1_990, &[]), (1_990, &[]), (1_990, &[]), (1_990, &[])] },
    interrupted = { &[(3_000, &[999]), (1_500, &[]), (1_500, &[]), (1_990, &[]), (1_500, &[]), (1_500, &[])] },
    lost = { &[(3_000, &[999]), (3_000, &[]), (3_000, &[]), (3_000, &[999]), (3_000, &[])] },
    again = { &[(3_000, &[999]), (0, &[]), (0, &[]), (0, &[1_000]), (3_000, &[999])] },
)]
fn a_throttle_follows_its_cause(reports: &[(u32, &[u32])]) {
    let mut fixture = Fixture::new();
    fixture.submit(1, spec(job::Kind::Batch, 1, 2_000, 60));
    for (number, (cpu, expected)) in reports.iter().enumerate() {
        fixture.report(*cpu);
        assert_eq!(fixture.throttles(), *expected, "report {number}");
    }
}

/// Returns a worker full of runs that were granted less than they declared and use more than their grant.
fn above_their_grant() -> Fixture {
    let mut fixture = Fixture::new();
    let declared = spec(job::Kind::Batch, 1, 4_000, 60);
    for _ in 0..60 {
        fixture.submit(1, declared.clone());
        fixture.report(900);
        let (task, token) = fixture.runs[0];
        let outcome = task::Outcome::Succeeded(String::new());
        fixture.step(Input::Ended { task, token, outcome });
    }
    for _ in 0..2 {
        fixture.submit(1, declared.clone());
    }
    assert_eq!(fixture.runs.len(), 2);
    fixture.report(4_000);
    fixture
}

/// Guards against urgent work that stops runs although a throttle makes room, and against a throttle for urgent work
/// that is not lifted.
#[test]
fn a_throttle_makes_room_for_urgent_work() {
    let mut fixture = above_their_grant();
    let urgent = job::Spec {
        priority: job::Priority::Urgent,
        ..spec(job::Kind::Batch, 1, 2_000, 5)
    };
    fixture.submit(2, urgent);
    assert_eq!((fixture.throttles(), fixture.stops()), (vec![999], 0));
    let urgent = fixture.next_job - 1;
    assert!(fixture.runs.iter().all(|run| run.0.job != urgent));
    fixture.report(1_400);
    assert!(fixture.runs.iter().any(|run| run.0.job == urgent));
    for _ in 0..3 {
        fixture.report(1_400);
    }
    assert_eq!(fixture.throttles(), [1_000]);
}
