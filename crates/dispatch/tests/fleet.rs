//! Decisions of the leader over long runs in simulated time. Every start on a worker is checked against the
//! invariants: no task runs twice, no worker exceeds its resources, no team exceeds its upper limit, steps run in
//! order, and no task starts after its last attempt.

mod common;

use std::time::Duration;

use bronzespoke_model::resource;
use bronzespoke_standin::fleet::simulation::{Faults, Plan, Report, Simulation};
use yare::parameterized;

/// Time to complete the remaining work after the last submission.
const DRAIN: Duration = Duration::from_mins(1);

/// Number of seeds of the tests with combined faults; `FLEET_SEEDS` sets another number for a long run.
fn seeds() -> u64 {
    let given = std::env::var("FLEET_SEEDS").ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(24)
}

fn run(plan: Plan) -> Report {
    let seed = plan.seed;
    let report = Simulation::new(plan).run(DRAIN);
    assert!(
        report.violations.is_empty(),
        "seed {seed}: {:#?}",
        &report.violations[..report.violations.len().min(5)]
    );
    assert!(
        report.unfinished.is_empty(),
        "seed {seed}: accepted jobs are unfinished: {:x?}",
        report.unfinished
    );
    report
}

/// Guards against work that is lost, duplicated or forgotten without any fault.
#[test]
fn all_work_completes_without_faults() {
    let report = run(common::calm(1));
    for counters in &report.kinds {
        assert_eq!(counters.failed, 0, "{counters:?}");
    }
}

/// Guards against broken invariants under each kind of fault alone.
#[parameterized(
    crashes = { Faults { crashes: 0.5, ..Faults::default() } },
    partitions = { Faults { partitions: 0.5, ..Faults::default() } },
    lost_answers = { Faults { lost_answers: 0.05, ..Faults::default() } },
    late_directives = { Faults { late_directives: 0.05, ..Faults::default() } },
    leader_changes = { Faults { leader_changes: 0.2, ..Faults::default() } },
    cancels = { Faults { cancels: 0.2, ..Faults::default() } },
    failing = { Faults { failing: 0.3, ..Faults::default() } },
)]
fn invariants_hold_under(faults: Faults) {
    for seed in 0..4 {
        run(Plan {
            faults,
            ..common::calm(100 + seed)
        });
    }
}

/// Guards against invariants that break when faults coincide: a new leader with crashed, disconnected and late
/// workers.
#[test]
fn invariants_hold_when_faults_coincide() {
    for seed in 0..seeds() {
        run(Plan {
            faults: Faults {
                crashes: 0.2,
                long_absences: false,
                partitions: 0.2,
                lost_answers: 0.02,
                late_directives: 0.02,
                leader_changes: 0.15,
                planned_changes: 0.0,
                cancels: 0.1,
                failing: 0.1,
                losses: 0.0,
                departures: 0.0,
                restarts: 0.0,
                evacuations: 0.0,
                reuse_names: false,
                accept_queue: false,
            },
            ..common::calm(200 + seed)
        });
    }
}

/// Guards against directives to an earlier incarnation that are carried out by its successor with the same name: their
/// resources must not be given away, and their tasks must not run twice.
#[test]
fn late_directives_to_an_earlier_incarnation_are_harmless() {
    for seed in 0..12 {
        run(Plan {
            faults: Faults {
                crashes: 0.8,
                late_directives: 0.05,
                reuse_names: true,
                ..Faults::default()
            },
            ..common::calm(300 + seed)
        });
    }
}

/// Guards against a team that exceeds its upper limit, also when its work queues up.
#[test]
fn a_small_upper_limit_is_not_exceeded() {
    let small = resource::Amount::new(200_000, 0, 0);
    let mut plan = common::calm(3);
    plan.kinds = common::kinds(0.3);
    for (_, limit) in &mut plan.teams {
        *limit = small;
    }
    // Gangs that are wider than the upper limit of their team can never start.
    plan.kinds[0].max_tasks = 6;
    run(plan);
}

/// A plan in which workers leave permanently. Gangs are narrow, so that each fits on the remaining workers.
fn shrinking(seed: u64, faults: Faults) -> Plan {
    let mut plan = common::calm(seed);
    plan.kinds = common::kinds(0.6);
    plan.kinds[0].max_tasks = 6;
    plan.faults = faults;
    plan
}

/// Guards against runs that stay placed permanently on a worker that fails without notice: each request for its report
/// extended the lease that had to expire.
#[test]
fn work_of_a_permanently_lost_worker_continues_elsewhere() {
    for seed in 0..4 {
        let faults = Faults {
            losses: 0.5,
            ..Faults::default()
        };
        run(shrinking(400 + seed, faults));
    }
}

/// Guards against work that stays on a worker that has announced when it leaves, and is lost with it.
#[test]
fn work_moves_off_a_worker_before_it_leaves() {
    let on_time = |faults: Faults| -> usize {
        let reports = (0..4).map(|seed| run(shrinking(500 + seed, faults)));
        reports
            .map(|report| report.kinds.iter().map(|kind| kind.on_time).sum::<usize>())
            .sum()
    };
    let noticed = on_time(Faults {
        departures: 0.7,
        ..Faults::default()
    });
    let silent = on_time(Faults {
        losses: 0.7,
        ..Faults::default()
    });
    assert!(noticed > silent, "{noticed} with notice, {silent} without");
}

/// Guards against a task that runs twice: the next incarnation of its worker, not yet known to the leader, carried out
/// a repeated start, and the answer was attributed to the earlier incarnation.
#[test]
fn a_start_taken_by_the_next_incarnation_is_not_repeated_elsewhere() {
    for seed in 0..seeds() {
        run(Plan {
            faults: Faults {
                crashes: 0.8,
                lost_answers: 0.03,
                reuse_names: true,
                ..Faults::default()
            },
            ..common::calm(600 + seed)
        });
    }
}

/// Guards against tasks that run twice around planned restarts under the same name: notices of departure that arrive
/// late, twice or while the sender works on, also when the next incarnation drains, crashes or is cut off, and around
/// changes of leader.
#[parameterized(
    alone = { Faults { restarts: 2.0, ..Faults::default() } },
    leader_changes = { Faults { restarts: 2.0, leader_changes: 0.2, ..Faults::default() } },
    partitions = { Faults { restarts: 2.0, partitions: 0.5, ..Faults::default() } },
    crashes = { Faults { restarts: 2.0, crashes: 0.8, lost_answers: 0.03, ..Faults::default() } },
)]
fn planned_restarts_run_no_task_twice(faults: Faults) {
    for seed in 0..seeds() {
        run(Plan {
            faults: Faults {
                reuse_names: true,
                ..faults
            },
            ..common::calm(700 + seed)
        });
    }
}

/// Guards against tasks that run twice after a change of leader: the next incarnation of a worker found starts of the
/// former leader in its accept queue, after the new leader had given their runs up.
#[parameterized(
    alone = { Faults::default() },
    partitions_and_restarts = { Faults { partitions: 0.5, restarts: 0.3, ..Faults::default() } },
)]
fn starts_of_a_former_leader_run_no_task_twice(faults: Faults) {
    for seed in 0..seeds() / 2 {
        run(Plan {
            faults: Faults {
                crashes: 1.5,
                long_absences: true,
                leader_changes: 0.15,
                planned_changes: 0.5,
                reuse_names: true,
                accept_queue: true,
                ..faults
            },
            ..common::calm(5_000 + seed)
        });
    }
}
