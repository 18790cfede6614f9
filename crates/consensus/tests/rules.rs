//! The driver finds each broken safety rule.

mod driver;

use bronzespoke_consensus::rules::Rules;
use driver::{Violation, focus, plan};

type Plan = fn(u64, Rules) -> Option<Violation>;

/// Seeds that are tried at most.
const SEEDS: u64 = 3_000;
/// Seeds of a focused plan that must pass with all rules on.
const SOUND_SEEDS: u64 = 40;

fn without(change: impl FnOnce(&mut Rules)) -> Rules {
    let mut rules = Rules::default();
    change(&mut rules);
    rules
}

fn random(seed: u64, rules: Rules) -> Option<Violation> {
    plan::run(seed, rules).violation
}

/// Guards against checks that pass whatever the replica does: with one rule off, some seed breaks an invariant.
#[yare::parameterized(
    count_voters_only = { random, without(|rules| rules.count_voters_only = false) },
    acknowledge_after_sync = { random, without(|rules| rules.acknowledge_after_sync = false) },
    commit_current_term_only = { focus::short_terms, without(|rules| rules.commit_current_term_only = false) },
    reject_vote_under_lease = { focus::cut_pair, without(|rules| rules.reject_vote_under_lease = false) },
    reject_older_snapshot = { random, without(|rules| rules.reject_older_snapshot = false) },
    require_up_to_date_log = { random, without(|rules| rules.require_up_to_date_log = false) },
    expire_lease = { random, without(|rules| rules.expire_lease = false) },
    one_change_at_a_time = { focus::two_changes, without(|rules| rules.one_change_at_a_time = false) },
    store_commit = { random, without(|rules| rules.store_commit = false) },
    promote_caught_up = { random, without(|rules| rules.promote_caught_up = false) },
)]
fn broken_rule_is_found(plan: Plan, rules: Rules) {
    for seed in 0..SEEDS {
        // An assertion inside the replica finds a broken rule as well as the driver's checks do.
        let outcome = std::panic::catch_unwind(|| plan(seed, rules));
        if !matches!(outcome, Ok(None)) {
            println!("{outcome:?} at seed {seed}");
            return;
        }
    }
    panic!("no seed breaks an invariant");
}

/// Guards against focused plans that report a violation of a sound replica.
#[yare::parameterized(
    two_candidates = { focus::two_candidates },
    short_terms = { focus::short_terms },
    two_changes = { focus::two_changes },
    cut_pair = { focus::cut_pair },
)]
fn sound_rules_pass_focused_plans(plan: Plan) {
    for seed in 0..SOUND_SEEDS {
        assert_eq!(plan(seed, Rules::default()), None, "seed {seed}");
    }
}

/// Guards against a vote that a restart forgets. The silence after a restart is longer than an election, so it hides
/// this fault; it is off here, and the same seeds show that a remembered vote suffices for one leader in a term.
#[test]
fn forgotten_vote_is_found() {
    let silence_off = without(|rules| rules.reject_vote_under_lease = false);
    let both_off = Rules {
        persist_vote: false,
        ..silence_off
    };
    let forgotten =
        (0..SEEDS).find(|seed| focus::two_candidates(*seed, both_off) == Some(Violation::TwoLeaders));
    let seed = forgotten.expect("no seed has two leaders in a term");
    for seed in 0..=seed.max(SOUND_SEEDS) {
        let found = focus::two_candidates(seed, silence_off);
        assert_ne!(found, Some(Violation::TwoLeaders), "seed {seed}");
    }
}
