//! Basic operation: guards against jobs that never start, never end or cannot be cancelled.

use std::time::Duration;

use bronzespoke_model::{id, job, resource, task, team, worker};
use bronzespoke_schedule::message::Restore;
use bronzespoke_schedule::{Config, Input, Output, Scheduler};

const NOW: Duration = Duration::from_secs(100);

fn step(scheduler: &mut Scheduler, now: Duration, input: Input) -> Vec<Output> {
    let mut out = Vec::new();
    scheduler.step(now, input, &mut out);
    scheduler.verify().expect("the invariants hold");
    out
}

fn registration(worker: id::WorkerId) -> worker::Registration {
    worker::Registration {
        worker,
        incarnation: 1,
        rack: 0,
        capacity: resource::Capacity {
            amount: resource::Amount::new(4_000, 8_192, 0),
            accelerator: 0,
        },
    }
}

fn batch(tasks: u32) -> job::Spec {
    job::Spec {
        kind: job::Kind::Batch,
        priority: job::Priority::Normal,
        tasks,
        size: resource::Amount::new(1_000, 1_024, 0),
        accelerator: 0,
        run_time: Duration::from_secs(10),
        checkpoint: false,
        command: String::new(),
    }
}

fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::new(Config::default(), NOW);
    step(
        &mut scheduler,
        NOW,
        Input::Team {
            team: 1,
            quota: team::Quota {
                weight: 1,
                limit: resource::Amount::new(100_000, 100_000, 10),
                requests: 0,
            },
            allotment: resource::Amount::new(100_000, 100_000, 10),
        },
    );
    step(
        &mut scheduler,
        NOW,
        Input::Restore(Restore::Done { next_token: 7 }),
    );
    step(&mut scheduler, NOW, Input::Register(registration(1)));
    scheduler
}

fn submit(job: id::JobId, tasks: u32) -> Input {
    Input::Submit {
        job,
        team: 1,
        spec: batch(tasks),
    }
}

fn starts(out: &[Output]) -> Vec<(task::Ref, id::Token)> {
    out.iter()
        .filter_map(|output| match output {
            Output::Start { task, token, .. } => Some((*task, *token)),
            _ => None,
        })
        .collect()
}

#[test]
fn a_batch_job_starts_as_capacity_allows_and_ends_when_all_tasks_have_succeeded() {
    let mut scheduler = scheduler();
    let mut running = starts(&step(&mut scheduler, NOW, submit(1, 6)));
    assert_eq!(running.len(), 4);
    assert_eq!(running[0].1, 7);
    let mut done = Vec::new();
    while let Some((task, token)) = running.pop() {
        let outcome = task::Outcome::Succeeded(String::new());
        done = step(&mut scheduler, NOW, Input::Ended { task, token, outcome });
        running.extend(starts(&done));
    }
    let last = Output::JobEnded {
        job: 1,
        outcome: job::State::Succeeded,
    };
    assert_eq!(done.last(), Some(&last));
}

#[test]
fn a_cancelled_job_frees_its_capacity_and_ends_when_its_last_run_has_ended() {
    let mut scheduler = scheduler();
    let running = starts(&step(&mut scheduler, NOW, submit(1, 6)));
    assert!(starts(&step(&mut scheduler, NOW, submit(2, 4))).is_empty());
    let out = step(&mut scheduler, NOW, Input::Cancel { job: 1 });
    let stops = out
        .iter()
        .filter(|output| matches!(output, Output::Stop { .. }))
        .count();
    assert_eq!(stops, 4);
    let mut all = Vec::new();
    for (task, token) in running {
        let outcome = task::Outcome::Stopped;
        all.extend(step(&mut scheduler, NOW, Input::Ended { task, token, outcome }));
    }
    assert_eq!(starts(&all).len(), 4);
    assert!(all.contains(&Output::JobEnded {
        job: 1,
        outcome: job::State::Cancelled,
    }));
}

#[test]
fn tasks_of_a_lost_worker_restart_after_its_lease_and_the_clock_drift() {
    let mut scheduler = scheduler();
    step(&mut scheduler, NOW, submit(1, 1));
    let early = step(&mut scheduler, NOW + Duration::from_millis(10_199), Input::Tick);
    assert!(
        !early
            .iter()
            .any(|output| matches!(output, Output::WorkerLost { .. }))
    );
    let late = step(&mut scheduler, NOW + Duration::from_millis(10_201), Input::Tick);
    assert!(late.contains(&Output::WorkerLost { worker: 1 }));
    let again = step(
        &mut scheduler,
        NOW + Duration::from_secs(11),
        Input::Register(worker::Registration {
            incarnation: 2,
            ..registration(1)
        }),
    );
    assert_eq!(starts(&again).len(), 1);
}

#[test]
fn restored_capacity_is_not_used_before_its_worker_reports() {
    let mut scheduler = Scheduler::new(Config::default(), NOW);
    step(
        &mut scheduler,
        NOW,
        Input::Team {
            team: 1,
            quota: team::Quota {
                weight: 1,
                limit: resource::Amount::new(100_000, 100_000, 10),
                requests: 0,
            },
            allotment: resource::Amount::new(100_000, 100_000, 10),
        },
    );
    step(
        &mut scheduler,
        NOW,
        Input::Restore(Restore::Worker(registration(1))),
    );
    let out = step(
        &mut scheduler,
        NOW,
        Input::Restore(Restore::Done { next_token: 1 }),
    );
    assert!(out.is_empty());
    assert!(step(&mut scheduler, NOW, submit(1, 1)).is_empty());
    let later = NOW + Duration::from_secs(2);
    let out = step(
        &mut scheduler,
        later,
        Input::Report(worker::Report {
            worker: 1,
            incarnation: 1,
            sequence: 9,
            base: None,
            running: Vec::new(),
            ended: Vec::new(),
        }),
    );
    assert_eq!(starts(&out).len(), 1);
    assert!(out.contains(&Output::Recovered {
        duration: Duration::from_secs(2),
    }));
}

/// Guards against a start that is sent to a later incarnation of the worker, or for a run that has ended, while the task
/// may run elsewhere.
#[test]
fn a_run_may_start_only_on_the_incarnation_it_was_placed_on_and_before_it_ends() {
    let mut scheduler = scheduler();
    let running = starts(&step(&mut scheduler, NOW, submit(1, 2)));
    let [(first, ended), (_, earlier)] = running[..] else {
        panic!("two tasks start");
    };
    assert!(scheduler.may_start(1, ended));
    assert!(!scheduler.may_start(2, ended));
    let outcome = task::Outcome::LeaseExpired;
    step(
        &mut scheduler,
        NOW,
        Input::Ended {
            task: first,
            token: ended,
            outcome,
        },
    );
    assert!(!scheduler.may_start(1, ended));
    let later = worker::Registration {
        incarnation: 2,
        ..registration(1)
    };
    step(&mut scheduler, NOW, Input::Register(later));
    assert!(!scheduler.may_start(1, earlier));
}
