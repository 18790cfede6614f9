//! Preemption of checkpointing work in favour of urgent steps, in simulated time and without a network.

use std::{collections::HashMap, time::Duration};

use bronzespoke_model::resource;
use bronzespoke_standin::fleet::{
    load,
    simulation::{Faults, Plan, Report, Simulation, Stops, Variation},
};
use bronzespoke_workload::catalog;

/// Time to complete the remaining work after the last submission.
const DRAIN: Duration = Duration::from_mins(1);
const URGENT: usize = 0;
const GANGS: usize = 1;
const BATCH: usize = 2;

fn kind(name: &str, priority: u32, slo_ms: u64, stretch: f64, cost: (u64, u64)) -> load::Kind {
    load::Kind {
        queue: catalog::Queue {
            advice: Some(catalog::QueryCost {
                decision: Duration::from_millis(cost.0),
                per_worker: Duration::from_micros(cost.1),
                valid: Duration::from_millis(2_500),
            }),
            ..load::queue(name, priority, Duration::from_millis(slo_ms), stretch, 3)
        },
        rate: 0.0,
        tasks: 1.0,
        max_tasks: 64,
        size: resource::Amount::ZERO,
        run_time: Duration::ZERO,
        gang: false,
        two_step_share: 0.0,
        eligible_share: 0.7,
        value: 1.0,
        failing_share: 0.0,
    }
}

/// The kinds of the first deployment, at a share of its size. The mean number of tasks is set so that the random numbers
/// of the generator give the stated one.
fn kinds(scale: f64) -> Vec<load::Kind> {
    let urgent = load::Kind {
        rate: 100.0 * scale,
        tasks: 3.4,
        max_tasks: 8,
        size: resource::Amount::new(2_500, 6_000, 0),
        run_time: Duration::from_millis(800),
        ..kind("check", 0, 400, 1.5, (9, 130))
    };
    let gangs = load::Kind {
        rate: 4.28 * scale,
        tasks: 16.0,
        max_tasks: 24,
        size: resource::Amount::new(4_500, 12_000, 0),
        run_time: Duration::from_millis(6_200),
        gang: true,
        two_step_share: 0.2,
        eligible_share: 0.35,
        ..kind("reconciliation", 1, 1_200, 2.2, (440, 6_200))
    };
    let batch = load::Kind {
        rate: 7.17 * scale,
        tasks: 30.0,
        size: resource::Amount::new(1_700, 5_000, 0),
        run_time: Duration::from_millis(3_400),
        two_step_share: 0.5,
        eligible_share: 0.45,
        ..kind("audit", 2, 3_000, 4.0, (120, 1_800))
    };
    vec![urgent, gangs, batch]
}

/// A sixth of the first deployment at 1.3 times its traffic, with a burst of all queues at 1.7 times that, in which one
/// team sends most of the urgent jobs.
fn burst(seed: u64) -> Plan {
    let at = |kind| {
        let factor = if kind == URGENT { 4.0 } else { 1.7 };
        (kind, Duration::from_secs(6), Duration::from_secs(4), factor)
    };
    Plan {
        seed,
        workers: 58,
        capacity: resource::Amount::new(16_000, 64_000, 0),
        proxies: 12,
        kinds: kinds(1.3 / 6.0),
        teams: (0..6)
            .map(|team| (format!("team-{team}"), resource::Amount::ZERO))
            .collect(),
        duration: Duration::from_secs(16),
        bursts: (0..3).map(at).collect(),
        faults: Faults::default(),
        costs: None,
        trace: None,
        variation: Variation::default(),
    }
}

fn stops(limit: Option<usize>) -> Stops {
    Stops {
        checkpoints: vec![0.0, 0.5, 0.8],
        restore: Duration::from_millis(250),
        stop: Some(Duration::from_millis(400)),
        lost: 0.0,
        limit,
    }
}

fn run(plan: Plan, stops: Stops) -> Report {
    let seed = plan.seed;
    let report = Simulation::new(plan).with_stops(stops).run(DRAIN);
    assert!(
        report.violations.is_empty(),
        "seed {seed}: {:#?}",
        &report.violations[..report.violations.len().min(5)]
    );
    report
}

fn on_time(reports: &[Report], kind: usize) -> f64 {
    let sum = |count: fn(&bronzespoke_standin::fleet::simulation::Counters) -> usize| -> usize {
        reports.iter().map(|report| count(&report.kinds[kind])).sum()
    };
    sum(|kind| kind.on_time) as f64 / sum(|kind| kind.submitted) as f64
}

fn summary(reports: &[Report]) -> String {
    let shares: Vec<String> = [URGENT, GANGS, BATCH]
        .iter()
        .map(|kind| format!("{:.4}", on_time(reports, *kind)))
        .collect();
    let preempted: usize = reports.iter().map(|report| report.preempted.len()).sum();
    let wasted: u64 = reports.iter().map(|report| report.wasted_core_ms).sum();
    format!(
        "urgent, gangs, batch on time {shares:?}, {preempted} preempted, {} core-s wasted",
        wasted / 1_000
    )
}

/// Guards against urgent steps that wait in a burst for gaps between longer work, and against preemption that costs the
/// other queues more than it gains.
#[test]
fn a_burst_of_urgent_jobs_is_served_by_stopping_batch_runs() {
    let all = |limit| -> Vec<Report> { (1..=4).map(|seed| run(burst(seed), stops(limit))).collect() };
    let (before, after) = (all(Some(0)), all(None));
    let text = format!("before: {}\nafter:  {}", summary(&before), summary(&after));
    println!("{text}");
    let missed = |reports: &[Report]| 1.0 - on_time(reports, URGENT);
    assert!(missed(&before) > 0.02, "the load is no test\n{text}");
    assert!(missed(&after) < missed(&before) * 0.6, "{text}");
    assert!(on_time(&after, BATCH) >= on_time(&before, BATCH) - 0.01, "{text}");
    assert!(on_time(&after, GANGS) >= on_time(&before, GANGS) - 0.03, "{text}");
    // What is thrown away is the stop and the restore of runs of about two cores.
    let (preempted, wasted) = after.iter().fold((0, 0), |sum, report| {
        (
            sum.0 + report.preempted.len() as u64,
            sum.1 + report.wasted_core_ms,
        )
    });
    assert!(wasted <= preempted * 2_000, "{text}");
}

/// Guards against stops on a fleet with room: earlier deployments are served as before.
#[test]
fn nothing_is_stopped_while_there_is_room() {
    let plan = Plan {
        bursts: Vec::new(),
        kinds: kinds(1.0 / 6.0),
        ..burst(5)
    };
    let report = run(plan, stops(None));
    assert!(report.preempted.is_empty(), "{:?}", report.preempted);
}

/// Guards against stops without a bound: on many workers at once, of one task again and again, or of members of a gang.
#[test]
fn stops_are_bounded() {
    for seed in 1..=3 {
        let mut plan = burst(seed);
        plan.bursts[0].3 = 7.0;
        let report = run(plan, stops(None));
        assert!(report.most_under_way <= 58 / 4, "{}", report.most_under_way);
        assert!(!report.preempted.is_empty());
        let mut times = HashMap::new();
        for (kind, task) in &report.preempted {
            assert_eq!(*kind, BATCH, "{task}");
            *times.entry(*task).or_insert(0) += 1;
        }
        assert!(times.values().all(|times| *times <= 2), "{times:?}");
        let limited = run(burst(seed), stops(Some(2)));
        assert!(limited.most_under_way <= 2, "{}", limited.most_under_way);
    }
}

/// Guards against capacity that is given away before the end of a stopped run is proved: some stops never arrive. The
/// simulation checks that no worker exceeds its resources.
#[test]
fn a_stop_that_is_not_acknowledged_frees_nothing() {
    for seed in 1..=3 {
        let lost = Stops {
            lost: 0.4,
            ..stops(None)
        };
        let mut plan = burst(seed);
        plan.bursts[0].3 = 7.0;
        let report = run(plan, lost);
        assert!(!report.preempted.is_empty());
        assert!(report.unfinished.is_empty(), "{:?}", report.unfinished);
    }
}

/// Guards against a change of leader while stops are under way: the new leader knows no held capacity and begins anew.
#[test]
fn a_new_leader_begins_anew() {
    for seed in 1..=3 {
        let plan = Plan {
            faults: Faults {
                leader_changes: 0.4,
                ..Faults::default()
            },
            ..burst(seed)
        };
        let report = run(plan, stops(None));
        assert!(report.unfinished.is_empty(), "{:?}", report.unfinished);
    }
}
