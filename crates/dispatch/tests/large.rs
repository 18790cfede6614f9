//! Work and service of a leader at the size of the large deployment and beyond, in counts and simulated time.

use std::time::Duration;

use bronzespoke_model::resource;
use bronzespoke_standin::fleet::{
    full, load,
    simulation::{self, Simulation},
};
use bronzespoke_workload::catalog;
use yare::parameterized;

/// Workers that a query about a step names at most.
const QUERIED: u64 = 60;

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
        let mut fleet = full::Fleet::with_backlog(workers, waiting, advice);
        let work = fleet.work_in_a_second();
        assert!(work.passes > 0 && work.steps >= waiting, "{work:?}");
        assert!(work.workers <= work.steps * 2 * QUERIED, "{work:?}");
        fleet.verify().expect("the index of free resources");
    }
}

/// Guards against a step that stays unplaced while workers are free: those that the first query named fill up, and the
/// others have to be found.
#[test]
fn a_step_is_placed_while_any_worker_has_room() {
    let mut fleet = full::Fleet::new(200, true);
    for key in 0..200 {
        fleet.submit(key, full::TASKS_PER_WORKER);
    }
    fleet.fill();
    assert_eq!(fleet.waiting(), 0);
    assert_eq!(fleet.running(), 800);
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
        variation: simulation::Variation::default(),
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
    let work = report.work;
    assert!(work.workers <= work.steps * 2 * QUERIED, "{work:?}");
    assert!(before > 0.9, "{before} before the burst: {:?}", report.seconds);
    assert!(
        after >= before - 0.03,
        "{after} after, {before} before: {:?}",
        report.seconds
    );
}
