//! Workers of different speed: learning, placement and the detection of faults, in simulated time.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_dispatch::{
    estimate::Estimates,
    pace::{Goal, Kept, Pace},
    place::{Candidate, by_pace},
    speed::{Observation, Range, Speeds},
};
use bronzespoke_model::resource;
use bronzespoke_standin::fleet::{
    load,
    simulation::{Faults, Plan, Report, Simulation, Variation},
};
use bronzespoke_workload::catalog;
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Time to complete the remaining work after the last submission.
const DRAIN: Duration = Duration::from_mins(3);
/// Speeds of the second deployment: two thirds at 0.7, one third at 1.7.
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];

/// A number from a distribution that is close to the normal one.
fn normal(rng: &mut SmallRng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

/// Runs that workers of different speed complete.
struct Bench {
    rng: SmallRng,
    estimates: Estimates,
    speeds: Speeds,
    now: Duration,
}

impl Bench {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            estimates: Estimates::default(),
            speeds: Speeds::default(),
            now: Duration::ZERO,
        }
    }

    /// Completes one run on each worker; 3% of the runs take 7 times as long.
    fn round(&mut self, speeds: &[f64], stated_error: f64) {
        for (worker, speed) in speeds.iter().enumerate() {
            let nominal = 0.68 * (0.3 * normal(&mut self.rng)).exp();
            let tail = if self.rng.random_bool(0.03) { 7.0 } else { 1.0 };
            let stated = Duration::from_secs_f64(nominal * (stated_error * normal(&mut self.rng)).exp());
            let actual = Duration::from_secs_f64(nominal * tail / speed);
            let worker = worker as u32;
            let expected = self.estimates.expected("check", stated);
            self.estimates
                .record("check", stated, actual.mul_f64(self.speeds.of(worker)));
            self.speeds.observe(&Observation {
                worker,
                pool: "fleet",
                queue: "check",
                job: self.rng.random(),
                expected,
                actual,
            });
        }
        self.now += Duration::from_millis(400);
        self.speeds.refresh(self.now);
    }
}

fn mixed(workers: usize) -> Vec<f64> {
    (0..workers).map(|worker| SPEEDS[worker % SPEEDS.len()]).collect()
}

/// Guards against speeds that are learned slowly or distorted by the runs that take 7 times as long: after some runs on
/// each worker, nearly every worker is on its side of the fleet, and later all are close to their speed.
#[test]
fn speeds_are_learned_in_spite_of_noise_and_long_runs() {
    for seed in 0..8 {
        let speeds = mixed(60);
        let mut bench = Bench::new(seed);
        for _ in 0..10 {
            bench.round(&speeds, 0.2);
        }
        let told = |bench: &Bench| {
            let right =
                |(worker, speed): &(usize, &f64)| (bench.speeds.of(*worker as u32) > 1.1) == (**speed > 1.1);
            speeds.iter().enumerate().filter(right).count()
        };
        assert!(
            told(&bench) >= 57,
            "seed {seed}: {} of 60 after 10 runs",
            told(&bench)
        );
        for _ in 0..60 {
            bench.round(&speeds, 0.2);
        }
        for (worker, speed) in speeds.iter().enumerate() {
            let ratio = bench.speeds.of(worker as u32) / speed;
            assert!(
                (0.7..1.4).contains(&ratio),
                "seed {seed}: worker {worker} is off by {ratio}"
            );
        }
        assert_eq!(told(&bench), 60, "seed {seed}");
        let stated = Duration::from_secs(1);
        let expected = bench.estimates.expected("check", stated).as_secs_f64();
        assert!(
            (0.8..1.2).contains(&expected),
            "seed {seed}: the estimate is {expected} s"
        );
    }
}

/// Guards against differences that are only noise: they would change decisions in a fleet of equal workers.
#[test]
fn noise_is_not_taken_for_speed() {
    for seed in 0..8 {
        for error in [0.2, 0.5, 0.9] {
            let speeds = vec![1.0; 60];
            let mut bench = Bench::new(seed);
            for round in 0..100 {
                bench.round(&speeds, error);
                assert_eq!(
                    bench.speeds.range("fleet"),
                    None,
                    "seed {seed}, {error}, round {round}"
                );
            }
            assert!((0..60).all(|worker| (bench.speeds.of(worker) - 1.0).abs() < f64::EPSILON));
        }
    }
}

/// The second deployment at a fifth of its size. The simulated commits and reports take less time than real ones, and the
/// constant part of the objective of urgent jobs is shorter by the difference.
fn mixed_plan(seed: u64) -> Plan {
    let cost = |decision, per_worker| {
        Some(catalog::QueryCost {
            decision: Duration::from_millis(decision),
            per_worker: Duration::from_micros(per_worker),
            valid: Duration::from_millis(2_500),
        })
    };
    let urgent = load::Kind {
        queue: catalog::Queue {
            advice: cost(9, 130),
            ..load::queue("urgent", 0, Duration::from_millis(200), 1.5, 2)
        },
        rate: 17.6,
        tasks: 3.6,
        max_tasks: 12,
        size: resource::Amount::new(5_000, 12_000, 0),
        run_time: Duration::from_millis(680),
        gang: false,
        two_step_share: 0.0,
        eligible_share: 0.7,
        value: 1.0,
        failing_share: 0.0,
    };
    let wide = load::Kind {
        queue: catalog::Queue {
            advice: cost(430, 6_200),
            ..load::queue("wide", 1, Duration::from_millis(1_200), 2.2, 3)
        },
        rate: 1.1,
        tasks: 14.0,
        max_tasks: 16,
        size: resource::Amount::new(9_000, 16_000, 0),
        run_time: Duration::from_millis(4_200),
        gang: true,
        two_step_share: 0.2,
        eligible_share: 0.35,
        value: 1.0,
        failing_share: 0.0,
    };
    let batch = load::Kind {
        queue: catalog::Queue {
            advice: cost(100, 1_400),
            ..load::queue("batch", 2, Duration::from_secs(3), 4.0, 4)
        },
        rate: 1.58,
        tasks: 30.0,
        max_tasks: 80,
        size: resource::Amount::new(3_500, 6_000, 0),
        run_time: Duration::from_millis(2_300),
        gang: false,
        two_step_share: 0.5,
        eligible_share: 0.45,
        value: 1.0,
        failing_share: 0.0,
    };
    Plan {
        seed,
        workers: 70,
        capacity: resource::Amount::new(32_000, 131_072, 0),
        proxies: 12,
        kinds: vec![urgent, wide, batch],
        teams: vec![(String::from("team"), resource::Amount::new(4_000_000, 0, 0))],
        duration: Duration::from_secs(30),
        bursts: Vec::new(),
        faults: Faults::default(),
        variation: Variation {
            speeds: SPEEDS.to_vec(),
            tail: (0.03, 7.0),
            spread: Some((0.2, 0.25)),
            progress: true,
            ..Variation::default()
        },
        costs: None,
        trace: None,
    }
}

fn run(plan: Plan) -> Report {
    let seed = plan.seed;
    let report = Simulation::new(plan).run(DRAIN);
    assert!(
        report.violations.is_empty(),
        "seed {seed}: {:#?}",
        report.violations
    );
    assert!(
        report.unfinished.is_empty(),
        "seed {seed}: {:x?}",
        report.unfinished
    );
    report
}

fn ignoring(plan: &Plan) -> Plan {
    let mut plan = plan.clone();
    plan.variation.ignore_speeds = true;
    plan
}

fn on_time(report: &Report, kind: usize) -> f64 {
    let counters = &report.kinds[kind];
    counters.on_time as f64 / f64::from(counters.submitted.max(1) as u32)
}

/// Guards against urgent jobs that end late on slow workers while long work fills the fast ones.
#[test]
fn urgent_jobs_end_in_time_on_fast_workers() {
    let mut sums = [[0.0; 3]; 2];
    for seed in 0..4 {
        let mut plan = mixed_plan(seed);
        // A run of 7 times the usual time ends late anywhere.
        plan.variation.tail = (0.0, 1.0);
        let reports = [run(ignoring(&plan)), run(plan)];
        let shares = reports.map(|report| [0, 1, 2].map(|kind| on_time(&report, kind)));
        println!("seed {seed}: {:.3?} before, {:.3?} after", shares[0], shares[1]);
        for (sums, shares) in sums.iter_mut().zip(shares) {
            for (sum, share) in sums.iter_mut().zip(shares) {
                *sum += share / 4.0;
            }
        }
    }
    let [before, after] = sums;
    assert!(1.0 - after[0] < (1.0 - before[0]) / 2.0, "{before:?}, {after:?}");
    assert!(
        after[1] > before[1] - 0.05 && after[2] > before[2] - 0.05,
        "{before:?}, {after:?}"
    );
}

/// Guards against decisions that change where no speeds differ.
#[test]
fn decisions_on_equal_workers_are_unchanged() {
    for seed in 0..4 {
        let mut plan = mixed_plan(seed);
        plan.variation.speeds = Vec::new();
        plan.duration = Duration::from_secs(15);
        let before = run(ignoring(&plan));
        let after = run(plan);
        assert_eq!(before.decisions, after.decisions, "seed {seed}");
    }
}

/// Guards against healthy slow workers that are taken for faulty ones, whose runs are then moved. Several long runs at the
/// same time on one worker cannot be told from a fault, but they must not be mistaken more often than before.
#[test]
fn healthy_slow_workers_are_not_taken_for_faulty() {
    for seed in 0..3 {
        let mut plan = mixed_plan(20 + seed);
        plan.variation.tail = (0.0, 1.0);
        let before = run(ignoring(&plan)).slow.len();
        let after = run(plan).slow.len();
        println!("seed {seed}: {before} before, {after} after");
        assert!(
            after < before && after <= 2,
            "seed {seed}: {before} before, {after} after"
        );
        let plan = mixed_plan(20 + seed);
        let before = run(ignoring(&plan)).slow.len();
        let after = run(plan).slow.len();
        println!("seed {seed}: {before} before, {after} after, with long runs");
        assert!(after < before, "seed {seed}: {before} before, {after} after");
    }
}

/// Guards against workers that turn 5 times slower than their own speed and are not found, on a slow and a fast one, and
/// against a speed that such a fault spoils.
#[test]
fn a_worker_that_turns_slow_is_found() {
    let mut found = Vec::new();
    for seed in 0..4 {
        let mut plan = mixed_plan(30 + seed);
        // A simulated run keeps its rate when the fault ends, and one of 5 x 7 times the usual time outlasts the simulation.
        plan.variation.tail = (0.0, 1.0);
        let begin = Duration::from_secs(12);
        plan.variation.slowed = vec![
            (0, begin, Duration::from_secs(12), 5.0),
            (1, begin, Duration::from_secs(12), 5.0),
            (2, begin, Duration::from_secs(12), 5.0),
            (5, begin, Duration::from_secs(12), 5.0),
        ];
        let report = run(plan);
        println!("seed {seed}: {:?}", report.found);
        found.extend(report.found.into_keys());
        for worker in [0, 1, 2, 5] {
            let ratio = report.speeds[&worker] / SPEEDS[worker % SPEEDS.len()];
            assert!(
                (0.6..1.5).contains(&ratio),
                "seed {seed}: worker {worker}: {ratio}"
            );
        }
    }
    // A rating needs progress of tasks of two jobs with siblings, which a worker does not always have in this time.
    let is_fast = |worker: &&usize| SPEEDS[**worker % SPEEDS.len()] > 1.0;
    let fast = found.iter().filter(is_fast).count();
    assert!(found.len() >= 8 && fast >= 2, "{found:?}");
}
/// Guards against a new leader that begins without speeds: urgent jobs would end late until it has learned them again.
#[test]
fn a_new_leader_continues_with_the_recorded_speeds() {
    let mut elections = 0;
    for seed in 0..4 {
        let mut plan = mixed_plan(40 + seed);
        plan.faults.leader_changes = 0.1;
        let report = run(plan);
        let late = report
            .inherited
            .iter()
            .filter(|(at, _)| *at > Duration::from_secs(12));
        for (at, speeds) in late {
            elections += 1;
            let told = speeds
                .iter()
                .filter(|(worker, speed)| (**speed > 1.1) == (SPEEDS[**worker % SPEEDS.len()] > 1.1));
            assert!(told.count() >= 66, "seed {seed} at {at:?}: {speeds:?}");
        }
    }
    assert!(elections >= 3, "{elections}");
}

/// Guards against a machine whose speed is forgotten with the incarnation of its worker.
#[test]
fn the_next_incarnation_of_a_worker_keeps_its_speed() {
    let speeds = mixed(60);
    let mut bench = Bench::new(1);
    for _ in 0..30 {
        bench.round(&speeds, 0.2);
    }
    let (speed, precision) = bench.speeds.learned(2).expect("a known speed");
    bench.speeds.remove(2);
    assert_eq!(bench.speeds.learned(2), None);
    bench.speeds.inherit(102, "fleet", speed, precision);
    bench.now += Duration::from_secs(1);
    bench.speeds.refresh(bench.now);
    let inherited = bench.speeds.of(102);
    assert!(
        (inherited / speed - 1.0).abs() < 0.05,
        "{inherited} instead of {speed}"
    );
}

/// Guards against a leader whose placements move long work to fast workers that tight work needs, and against fast workers
/// that stay idle.
#[test]
fn room_on_fast_workers_is_kept_for_tight_work_only_as_far_as_it_is_needed() {
    let size = resource::Amount::new(5_000, 4_000, 0);
    let now = Duration::from_secs(10);
    let mut kept = Kept::default();
    assert_eq!(kept.tasks_beside(now, "fleet", &size), u32::MAX, "no tight work");
    for _ in 0..100 {
        kept.record(now, "fleet", &size, Duration::from_millis(400));
    }
    // 100 tasks of 5 cores and 0.4 s within the 5 s of the window occupy 40 cores.
    kept.set_room("fleet", 100_000.0);
    assert_eq!(kept.tasks_beside(now, "fleet", &size), 12);
    kept.take("fleet", &resource::Amount::new(60_000, 0, 0));
    assert_eq!(kept.tasks_beside(now, "fleet", &size), 0);
    let later = now + Duration::from_secs(30);
    assert_eq!(
        kept.tasks_beside(later, "fleet", &size),
        7,
        "the tight work has stopped"
    );
}

/// Guards against tasks on workers on which they end late, and against fast workers that are taken without need.
#[test]
fn a_task_runs_on_the_slowest_worker_on_which_it_ends_in_time() {
    let goal = Goal {
        chain: Duration::from_millis(680),
        remaining: Duration::from_millis(680),
        run_time: Duration::from_millis(680),
        elapsed: Duration::from_millis(100),
        objective: Duration::from_millis(1_420),
        noise: 0.3,
    };
    let range = Range {
        slowest: 0.7,
        fastest: 1.7,
    };
    let tight = Pace::new(&goal, range);
    assert!(
        tight.tight && !tight.suffices(0.7) && tight.suffices(1.0),
        "{tight:?}"
    );
    let slack = Pace::new(
        &Goal {
            objective: Duration::from_secs(5),
            ..goal
        },
        range,
    );
    assert!(!slack.tight && slack.suffices(0.7), "{slack:?}");
    let candidates: Vec<_> = [0.7, 1.0, 1.7]
        .into_iter()
        .zip(0..)
        .map(|(speed, worker)| Candidate {
            worker,
            free: resource::Amount::new(10_000, 10_000, 0),
            room: resource::Amount::new(32_000, 32_000, 0),
            slots: u32::MAX,
            speed,
            remote: false,
            cold: false,
            reserved: false,
        })
        .collect();
    let size = resource::Amount::new(5_000, 5_000, 0);
    let place = |pace: &Pace| {
        let mut candidates = candidates.clone();
        by_pace(
            &mut candidates,
            &size,
            &[0, 1, 2, 3, 4, 5],
            &BTreeMap::new(),
            Some(pace),
        )
        .into_iter()
        .map(|(_, worker)| worker)
        .collect::<Vec<_>>()
    };
    assert_eq!(place(&tight), [1, 1, 2, 2, 0, 0]);
    assert_eq!(place(&slack), [0, 0, 1, 1, 2, 2]);
    let held = Pace {
        fast_tasks: 1,
        ..slack
    };
    assert_eq!(place(&held), [0, 0, 1, 1, 2], "room on the fast worker is kept");
}
