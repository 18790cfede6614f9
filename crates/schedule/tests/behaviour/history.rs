//! Random histories: guards against overcommitted workers, tasks that run twice, teams above their allotment,
//! incomplete gangs and corrupt data structures, under late, lost and duplicate messages, messages from earlier
//! incarnations, restarts and changes of leader. Single rules are also disabled, to show that the checker detects the
//! violation.

use std::time::Duration;

use bronzespoke_model::{job, resource};
use bronzespoke_schedule::Config;
use bronzespoke_schedule::config::Rules;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::cell::{self, Action, Cell};

const WORKERS: u64 = 8;
const RATE: u32 = 2;

fn action(random: &mut SmallRng) -> Action {
    let nth = random.random_range(0..64);
    match random.random_range(0..100) {
        0..22 => Action::Submit {
            team: random.random_range(1..=3),
            spec: spec(random),
        },
        22..27 => Action::Cancel { nth },
        27..30 => Action::Drain {
            nth,
            on: random.random_bool(0.4),
        },
        30..33 => Action::Allotment {
            team: random.random_range(1..=3),
            percent: random.random_range(5..=60),
        },
        33..37 => Action::Partition {
            nth,
            seconds: random.random_range(2..20),
        },
        37..40 => Action::Restart { nth },
        40 => Action::Failover,
        41 => Action::Kill { nth },
        _ => Action::Wait {
            millis: random.random_range(100..1500),
        },
    }
}

fn spec(random: &mut SmallRng) -> job::Spec {
    let kind = match random.random_range(0..10) {
        0..2 => job::Kind::Service,
        2..4 => job::Kind::Gang,
        _ => job::Kind::Batch,
    };
    let mut spec = cell::spec(
        kind,
        random.random_range(1..=6),
        random.random_range(1..=8) * 500,
        random.random_range(1..20),
    );
    if random.random_bool(0.3) {
        spec.size.accelerators = random.random_range(1..=2);
        spec.accelerator = 1;
    }
    if random.random_bool(0.15) {
        spec.priority = job::Priority::Urgent;
    }
    spec.checkpoint = random.random_bool(0.5);
    spec
}

fn cell(seed: u64, rules: Rules, loss: u32) -> Cell {
    let config = Config {
        rules,
        preemptions_per_second: RATE,
        // Odd seeds use a small work budget, which spreads most work over many steps.
        work_per_tick: if seed.is_multiple_of(2) {
            512
        } else {
            1 + (seed % 8) as u32
        },
        ..Config::default()
    };
    let mut cell = Cell::new(seed, config, WORKERS, loss);
    cell.checker.max_preemption_rate = Some(RATE as usize);
    let allotment = resource::Amount::new(30_000, 30_000, 8);
    for team in 1..=3 {
        cell.set_team(team, team, allotment);
    }
    cell
}

/// Runs a history and returns the first violation of a rule.
fn history(seed: u64, rules: Rules, loss: u32, actions: &[Action]) -> Option<String> {
    let mut cell = cell(seed, rules, loss);
    for action in actions {
        cell.apply(action);
        if let Some(text) = cell.checker.violation.take() {
            return Some(text);
        }
    }
    cell.loss = 0;
    cell.run(Duration::from_mins(1));
    let over: Vec<_> = cell
        .teams
        .iter()
        .filter(|(team, (_, allotment))| cell.checker.exceeds_allotment(**team, allotment))
        .map(|(team, _)| *team)
        .collect();
    if !over.is_empty() {
        cell.checker
            .fail(format!("teams {over:?} still exceed their allotment"));
    }
    cell.checker.violation.take()
}

fn actions(seed: u64, count: usize) -> Vec<Action> {
    let mut random = SmallRng::seed_from_u64(seed);
    (0..count).map(|_| action(&mut random)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, max_shrink_iters: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_invariant_holds_over_random_histories(
        seed in any::<u64>(),
        seeds in prop::collection::vec(any::<u64>(), 50..250),
        loss in 0_u32..25,
    ) {
        let actions: Vec<_> = seeds
            .iter()
            .map(|seed| action(&mut SmallRng::seed_from_u64(*seed)))
            .collect();
        prop_assert_eq!(history(seed, Rules::default(), loss, &actions), None);
    }
}

/// Returns whether, for any of 60 seeds, the first violation in a history under these rules contains the text.
fn is_detected(rules: Rules, text: &str) -> bool {
    (0..60).any(|seed| {
        history(seed, rules, 20, &actions(seed, 200)).is_some_and(|violation| violation.contains(text))
    })
}

#[yare::parameterized(
    stopping = { Rules { count_stopping: false, ..Rules::default() }, "worker" },
    expiry = { Rules { await_lease_expiry: false, ..Rules::default() }, "runs on" },
    limit = { Rules { team_limit: false, ..Rules::default() }, "team" },
    incarnation = { Rules { fence_incarnation: false, ..Rules::default() }, "runs on" },
    sequence = { Rules { fence_sequence: false, ..Rules::default() }, "runs on" },
    gang = { Rules { gang_atomic: false, ..Rules::default() }, "gang" },
    drain = { Rules { rolling_drain: false, ..Rules::default() }, "drain" },
    restored = { Rules { confirm_restored: false, ..Rules::default() }, "not confirmed" },
    rate = { Rules { preemption_rate: false, ..Rules::default() }, "preemptions in a second" },
)]
fn the_checker_detects_a_disabled_rule(rules: Rules, text: &str) {
    assert!(is_detected(rules, text), "no history shows `{text}`");
}

/// Runs histories with fixed seeds, so that a failure names its seed.
#[test]
fn seeded_histories_have_no_violation() {
    for seed in 0..100 {
        let violation = history(seed, Rules::default(), (seed % 25) as u32, &actions(seed, 200));
        assert_eq!(violation, None, "seed {seed}");
    }
}
