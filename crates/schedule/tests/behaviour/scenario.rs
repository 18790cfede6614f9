//! Scenarios: each test states the failure that it guards against.

use std::time::Duration;

use bronzespoke_model::{id, job, resource, task, worker};
use bronzespoke_schedule::config::Rules;
use bronzespoke_schedule::message::Cause;
use bronzespoke_schedule::{Config, Input, Output};

use crate::cell::{Cell, spec};

const ALLOTMENT: resource::Amount = resource::Amount::new(900_000, 900_000, 900);

fn cell(workers: u64, rules: Rules) -> Cell {
    let config = Config {
        rules,
        ..Config::default()
    };
    let mut cell = Cell::new(7, config, workers, 0);
    for team in 1..=2 {
        cell.set_team(team, 1, ALLOTMENT);
    }
    cell
}

fn urgent(tasks: u32, cpu: u32) -> job::Spec {
    job::Spec {
        priority: job::Priority::Urgent,
        ..spec(job::Kind::Batch, tasks, cpu, 5)
    }
}

fn assert_no_violation(cell: &Cell) {
    assert_eq!(cell.checker.violation, None);
}

/// Fills a cell with long work of team 1, submits urgent work of team 2, and runs for the 1.6 s within which it must
/// start.
fn preempted(rules: Rules, urgent_tasks: u32) -> Cell {
    let mut cell = cell(4, rules);
    for machine in &mut cell.machines {
        machine.max_run_time_ms = 1_000_000;
    }
    cell.checker.protected_shares.insert(1, 0.5);
    cell.submit(1, spec(job::Kind::Batch, 16, 2_000, 1_000));
    cell.run(Duration::from_secs(10));
    cell.submit(2, urgent(urgent_tasks, 2_000));
    cell.run(Duration::from_millis(1_600));
    cell
}

/// Guards against urgent work that waits behind long work for more than 1.6 s.
#[test]
fn urgent_work_starts_within_its_bound() {
    let cell = preempted(Rules::default(), 8);
    assert_eq!(cell.checker.places(2).len(), 8);
    assert_no_violation(&cell);
}

/// Guards against preemption that takes a team below its protected share. The second half disables the rule, to show
/// that the checker detects the violation.
#[test]
fn urgent_work_leaves_each_team_its_protected_share() {
    let cell = preempted(Rules::default(), 16);
    assert_eq!(cell.checker.places(2).len(), 8);
    assert_no_violation(&cell);
    let unprotected = preempted(
        Rules {
            protect_share: false,
            ..Rules::default()
        },
        16,
    );
    assert!(
        unprotected
            .checker
            .violation
            .is_some_and(|text| text.contains("is reduced to"))
    );
}

/// Guards against a deadlock of two gangs that hold half of the fleet each, and against small tasks that keep taking
/// reserved capacity.
#[test]
fn two_large_gangs_start_one_after_the_other() {
    let mut cell = cell(4, Rules::default());
    cell.submit(1, spec(job::Kind::Batch, 16, 2_000, 20));
    cell.run(Duration::from_secs(2));
    let gangs: Vec<_> = (1..=2)
        .map(|team| cell.submit(team, spec(job::Kind::Gang, 12, 2_000, 20)))
        .collect();
    for _ in 0..60 {
        cell.submit(1, spec(job::Kind::Batch, 1, 2_000, 20));
        cell.run(Duration::from_secs(2));
    }
    cell.run(Duration::from_mins(2));
    for gang in gangs {
        assert_eq!(cell.done.get(&gang), Some(&job::State::Succeeded));
    }
    assert_no_violation(&cell);
}

/// Guards against a gang that fits but waits for the next pass over all gangs, while a gang that was submitted earlier
/// exceeds its team's allotment.
#[test]
fn a_gang_that_fits_starts_immediately() {
    let mut cell = cell(4, Rules::default());
    cell.set_team(2, 1, resource::Amount::new(8_000, 8_000, 0));
    let over_allotment = cell.submit(2, spec(job::Kind::Gang, 3, 4_000, 20));
    let fits = cell.submit(1, spec(job::Kind::Gang, 3, 4_000, 20));
    let started = [over_allotment, fits].map(|job| cell.checker.places(job).len());
    assert_eq!(started, [0, 3]);
    assert_no_violation(&cell);
}

/// Guards against mass cancellation that leaves runs behind, starts cancelled tasks or rescans the queue.
#[test]
fn mass_cancellation_ends_every_job_once() {
    let mut cell = cell(4, Rules::default());
    let mut out = Vec::new();
    for job in 1..=10_000 {
        let spec = spec(job::Kind::Batch, 3, 2_000, 60);
        cell.scheduler
            .step(cell.now, Input::Submit { job, team: 1, spec }, &mut out);
    }
    let started = out.len();
    let tries = cell.scheduler.metrics(cell.now).placement_attempts;
    out.clear();
    for job in 1..=10_000 {
        cell.scheduler.step(cell.now, Input::Cancel { job }, &mut out);
        cell.scheduler.step(cell.now, Input::Cancel { job }, &mut out);
    }
    let done = |out: &[Output]| {
        out.iter()
            .filter(|output| matches!(output, Output::JobEnded { .. }))
            .count()
    };
    let stops: Vec<_> = out
        .iter()
        .filter_map(|output| match output {
            Output::Stop { task, token, .. } => Some((*task, *token)),
            _ => None,
        })
        .collect();
    assert_eq!(
        (stops.len(), cell.scheduler.metrics(cell.now).placement_attempts),
        (started, tries)
    );
    for (task, token) in stops {
        let outcome = task::Outcome::Stopped;
        cell.scheduler
            .step(cell.now, Input::Ended { task, token, outcome }, &mut out);
    }
    assert_eq!(done(&out), 10_000);
    assert!(!out.iter().any(|output| matches!(output, Output::Start { .. })));
    cell.scheduler.verify().expect("the invariants hold");
}

/// Guards against impossible jobs that wait without a report or block other jobs.
#[yare::parameterized(
    size = { spec(job::Kind::Batch, 1, 9_000, 5), job::Impossible::LargerThanAnyWorker },
    gang = { spec(job::Kind::Gang, 100, 8_000, 5), job::Impossible::LargerThanFleet },
    limit = { spec(job::Kind::Gang, 1_000, 2_000, 5), job::Impossible::OverTeamLimit },
    kind = { job::Spec { accelerator: 9, ..spec(job::Kind::Batch, 1, 1_000, 5) }, job::Impossible::NoSuchAccelerator },
)]
fn an_impossible_job_is_refused(spec: job::Spec, reason: job::Impossible) {
    let mut cell = cell(3, Rules::default());
    let job = cell.submit(1, spec);
    assert_eq!(cell.done.get(&job), Some(&job::State::Impossible(reason)));
    assert_no_violation(&cell);
}

/// Guards against a job that becomes impossible when the fleet shrinks and is not reported, or that blocks others.
#[test]
fn a_job_is_reported_as_impossible_when_the_fleet_shrinks() {
    let mut cell = cell(3, Rules::default());
    cell.submit(1, spec(job::Kind::Batch, 12, 2_000, 60));
    let job = cell.submit(1, spec(job::Kind::Gang, 3, 8_000, 60));
    cell.run(Duration::from_secs(2));
    cell.machines[0].alive = false;
    cell.machines[0].running.clear();
    cell.run(Duration::from_secs(20));
    let cause = Cause::Impossible(job::Impossible::LargerThanFleet);
    assert_eq!(cell.scheduler.explain(job).cause, cause);
    let other = cell.submit(1, spec(job::Kind::Batch, 1, 1_000, 5));
    cell.run(Duration::from_mins(2));
    assert_eq!(cell.done.get(&other), Some(&job::State::Succeeded));
    assert_no_violation(&cell);
}

/// Guards against a worker on which every task fails but which keeps receiving tasks, and against jobs that fail because
/// of it.
#[test]
fn a_worker_on_which_every_task_fails_is_put_on_probation() {
    let mut cell = cell(8, Rules::default());
    cell.machines[3].faulty = true;
    for _ in 0..40 {
        cell.submit(1, spec(job::Kind::Batch, 4, 2_000, 10));
        cell.run(Duration::from_secs(2));
    }
    assert_eq!(cell.scheduler.metrics(cell.now).probation, 1);
    cell.run(Duration::from_mins(5));
    assert!(cell.done.values().all(|state| *state == job::State::Succeeded));
    assert_eq!(cell.done.len(), 40);
    assert_no_violation(&cell);
}

/// Guards against a job that fails on every worker and puts workers on probation, or is retried for ever.
#[test]
fn a_job_that_fails_everywhere_fails_without_probation_of_workers() {
    let mut cell = cell(6, Rules::default());
    let job = cell.submit(1, spec(job::Kind::Batch, 1, 1_000, 10));
    for _ in 0..200 {
        cell.run(Duration::from_millis(500));
        let token = cell.jobs.get(&job).and_then(|job| match job.tasks[0] {
            bronzespoke_schedule::message::Progress::Running { token, .. } => Some(token),
            _ => None,
        });
        if let Some(token) = token {
            let task = task::Ref { job, index: 0 };
            let outcome = task::Outcome::Failed;
            cell.machines.iter_mut().for_each(|machine| {
                machine.running.remove(&token);
            });
            cell.step(Input::Ended { task, token, outcome });
        }
    }
    assert_eq!(cell.done.get(&job), Some(&job::State::Failed));
    assert_eq!(cell.scheduler.metrics(cell.now).probation, 0);
    assert_no_violation(&cell);
}

/// Guards against a service whose tasks share a rack, and against a drain that stops two of them at the same time.
#[test]
fn a_service_is_spread_over_racks_and_drained_one_by_one() {
    let mut cell = cell(8, Rules::default());
    for machine in &mut cell.machines {
        machine.max_run_time_ms = 1_000_000;
    }
    let job = cell.submit(1, spec(job::Kind::Service, 4, 1_000, 0));
    let racks = |cell: &Cell| {
        let mut racks: Vec<_> = cell.checker.places(job).iter().map(|worker| worker / 2).collect();
        racks.sort_unstable();
        racks
    };
    cell.run(Duration::from_secs(5));
    assert_eq!(racks(&cell), [0, 1, 2, 3]);
    for worker in 0..4 {
        cell.step(Input::Drain { worker, on: true });
    }
    cell.run(Duration::from_secs(30));
    assert!(cell.checker.places(job).iter().all(|worker| *worker >= 4));
    assert_eq!(cell.checker.places(job).len(), 4);
    assert_no_violation(&cell);
}

/// Guards against a busy team that keeps another one from its weighted share.
#[test]
fn weighted_shares_are_reached_when_the_fleet_is_full() {
    let mut cell = cell(6, Rules::default());
    cell.set_team(2, 3, ALLOTMENT);
    for _ in 0..100 {
        cell.submit(1, spec(job::Kind::Batch, 8, 1_000, 10));
    }
    cell.run(Duration::from_secs(20));
    for _ in 0..40 {
        cell.submit(2, spec(job::Kind::Batch, 8, 1_000, 10));
    }
    cell.run(Duration::from_mins(1));
    let held = |team| {
        let jobs: Vec<id::JobId> = cell
            .jobs
            .iter()
            .filter(|(_, job)| job.team == team)
            .map(|(id, _)| *id)
            .collect();
        jobs.iter()
            .map(|job| cell.checker.places(*job).len())
            .sum::<usize>()
    };
    let (first, second) = (held(1), held(2));
    assert_eq!(first + second, 48);
    assert!((34..=40).contains(&second), "team 2 holds {second} of 48");
    assert_no_violation(&cell);
}

/// Guards against runs that exceed their declared size and overcommit a worker.
#[test]
fn a_run_above_its_declaration_is_throttled_or_ended() {
    let mut cell = cell(1, Rules::default());
    let job = cell.submit(1, spec(job::Kind::Batch, 4, 2_000, 60));
    cell.run(Duration::from_secs(1));
    let machine = &mut cell.machines[0];
    let mut report = machine.report(cell.now);
    report.running[0].usage = resource::Amount::new(3_000, 2_000, 0);
    report.running[1].usage = resource::Amount::new(2_000, 2_500, 0);
    let heavy = report.running[1].token;
    let mut out = Vec::new();
    cell.scheduler.step(cell.now, Input::Report(report), &mut out);
    let throttled = out
        .iter()
        .filter(|output| matches!(output, Output::Throttle { .. }))
        .count();
    assert_eq!(throttled, 1);
    let stopped: Vec<_> = out
        .iter()
        .filter_map(|output| match output {
            Output::Stop { token, .. } => Some(*token),
            _ => None,
        })
        .collect();
    assert_eq!(stopped, [heavy]);
    assert_eq!(cell.scheduler.explain(job).running, 4);
}

/// Guards against starting all tasks of many lost workers at the same time. Service tasks are exempt from the rate limit
/// and start first.
#[test]
fn lost_work_restarts_at_a_limited_rate_with_services_first() {
    let config = Config {
        recovery_starts_per_second: 10,
        ..Config::default()
    };
    let mut cell = Cell::new(3, config, 0, 0);
    cell.set_team(1, 1, ALLOTMENT);
    for id in 0..40 {
        let capacity = resource::Capacity {
            amount: resource::Amount::new(8_000, 8_000, 0),
            accelerator: 0,
        };
        cell.add_machine(id, (id / 8) as id::RackId, capacity);
    }
    let mut tokens = Vec::new();
    let service = cell.submit(1, spec(job::Kind::Service, 5, 1_000, 0));
    let batch = cell.submit(1, spec(job::Kind::Batch, 100, 1_000, 1_000));
    cell.run(Duration::from_secs(1));
    let before = cell.checker.starts[&batch];
    for worker in 0..40 {
        if worker % 8 < 4 {
            tokens.extend(cell.machines[worker].running.keys().copied());
            cell.machines[worker].alive = false;
            cell.machines[worker].running.clear();
            let worker = worker as id::WorkerId;
            cell.step(Input::WorkerGone { worker, at: cell.now });
        }
    }
    assert_eq!(cell.checker.places(service).len(), 5);
    cell.run(Duration::from_secs(2));
    let returned = cell.checker.starts[&batch] - before;
    assert!(returned <= 10 * 2 + 2, "{returned} starts in two seconds");
    assert!(tokens.len() as u32 > returned + 5);
    assert_no_violation(&cell);
}

/// Guards against a team that stays above a lowered allotment, and against stopping services before batch work.
#[test]
fn a_lowered_allotment_stops_the_newest_work_of_the_lowest_rank() {
    let mut cell = cell(4, Rules::default());
    for machine in &mut cell.machines {
        machine.max_run_time_ms = 1_000_000;
    }
    let service = cell.submit(1, spec(job::Kind::Service, 4, 1_000, 0));
    let old = cell.submit(1, spec(job::Kind::Batch, 4, 1_000, 900));
    let new = cell.submit(1, spec(job::Kind::Batch, 4, 1_000, 900));
    cell.run(Duration::from_secs(2));
    cell.set_team(1, 1, resource::Amount::new(8_000, 8_000, 0));
    cell.run(Duration::from_secs(10));
    let held = [service, old, new].map(|job| cell.checker.places(job).len());
    assert_eq!(held, [4, 4, 0]);
    assert_no_violation(&cell);
}

/// Guards against a lowered allotment that is not enforced because the leader changed at the same time.
#[test]
fn a_lowered_allotment_is_enforced_after_a_change_of_leader() {
    let mut cell = cell(4, Rules::default());
    for machine in &mut cell.machines {
        machine.max_run_time_ms = 1_000_000;
    }
    let job = cell.submit(1, spec(job::Kind::Batch, 12, 1_000, 900));
    cell.run(Duration::from_secs(5));
    let allotment = resource::Amount::new(8_000, 8_000, 0);
    let (quota, _) = cell.teams[&1];
    cell.teams.insert(1, (quota, allotment));
    cell.failover();
    cell.run(Duration::from_secs(20));
    assert_eq!(cell.checker.places(job).len(), 8);
    assert_no_violation(&cell);
}

/// Guards against a report of an earlier incarnation that renews the lease of the present one.
#[test]
fn a_report_of_a_former_incarnation_is_ignored() {
    let mut cell = cell(1, Rules::default());
    let late = worker::Report {
        sequence: 1_000,
        ..cell.machines[0].report(cell.now)
    };
    let registration = cell.machines[0].restart(cell.now);
    cell.step(Input::Register(registration));
    let mut out = Vec::new();
    let at = cell.now + Duration::from_secs(10);
    cell.scheduler.step(at, Input::Report(late), &mut out);
    cell.scheduler
        .step(at + Duration::from_millis(300), Input::Tick, &mut out);
    assert!(out.contains(&Output::WorkerLost { worker: 0 }));
}

fn large_among_small(rules: Rules) -> Option<job::State> {
    let mut cell = cell(2, rules);
    let large = spec(job::Kind::Batch, 1, 8_000, 10);
    for _ in 0..200 {
        cell.submit(1, spec(job::Kind::Batch, 2, 1_000, 10));
    }
    cell.run(Duration::from_secs(5));
    let large = cell.submit(2, large);
    for _ in 0..60 {
        cell.submit(1, spec(job::Kind::Batch, 2, 1_000, 10));
        cell.run(Duration::from_secs(2));
    }
    assert_no_violation(&cell);
    cell.done.get(&large).copied()
}

/// Guards against a large task that starves among a stream of small ones. The second half disables aging, to show that
/// the task starves without it.
#[test]
fn a_large_task_starts_among_small_ones() {
    assert_eq!(large_among_small(Rules::default()), Some(job::State::Succeeded));
    let without_aging = Rules {
        aging: false,
        ..Rules::default()
    };
    assert_eq!(large_among_small(without_aging), None);
}

/// Guards against urgent work that waits because all workers are reserved for a gang.
#[test]
fn urgent_work_takes_reserved_workers() {
    let mut cell = cell(3, Rules::default());
    for machine in &mut cell.machines {
        machine.max_run_time_ms = 1_000_000;
    }
    cell.submit(1, spec(job::Kind::Batch, 12, 2_000, 100));
    cell.run(Duration::from_secs(5));
    cell.submit(1, spec(job::Kind::Gang, 3, 8_000, 100));
    cell.run(Duration::from_secs(5));
    let urgent = cell.submit(2, urgent(1, 2_000));
    cell.run(Duration::from_millis(1_600));
    assert_eq!(cell.checker.places(urgent).len(), 1);
    assert_no_violation(&cell);
}
