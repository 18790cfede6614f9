//! The driver finds each broken safety rule.

mod driver;

use bronzespoke_consensus::rules::Rules;
use driver::plan;

const SEEDS: u64 = 6_000;

fn without(change: impl FnOnce(&mut Rules)) -> Rules {
    let mut rules = Rules::default();
    change(&mut rules);
    rules
}

/// Guards against checks that pass whatever the replica does: with one rule off, some seed breaks an invariant.
#[yare::parameterized(
    count_voters_only = { without(|rules| rules.count_voters_only = false) },
    acknowledge_after_sync = { without(|rules| rules.acknowledge_after_sync = false) },
    remember_vote = { without(|rules| rules.remember_vote = false) },
    commit_own_term = { without(|rules| rules.commit_own_term = false) },
    refuse_vote_under_lease = { without(|rules| rules.refuse_vote_under_lease = false) },
    refuse_older_snapshot = { without(|rules| rules.refuse_older_snapshot = false) },
    compare_logs = { without(|rules| rules.compare_logs = false) },
    expire_lease = { without(|rules| rules.expire_lease = false) },
    one_change_at_a_time = { without(|rules| rules.one_change_at_a_time = false) },
    promote_caught_up = { without(|rules| rules.promote_caught_up = false) },
)]
fn broken_rule_is_found(rules: Rules) {
    let found = (0..SEEDS).find_map(|seed| {
        plan::run(seed, rules)
            .violation
            .map(|violation| (seed, violation))
    });
    let (seed, violation): (u64, Violation) = found.expect("no seed breaks an invariant");
    println!("{violation:?} at seed {seed}");
}
