//! Scenarios that make a specific rare order of events likely.

use bronzespoke_consensus::membership::Change;
use bronzespoke_consensus::rules::Rules;
use bronzespoke_model::id::VmId;
use rand::Rng;

use super::{Cluster, Violation, ms};

fn wait_for_leader(cluster: &mut Cluster) -> VmId {
    cluster.run_until_condition(ms(5_000), |cluster| cluster.leader().is_some());
    let until = cluster.now + ms(200);
    cluster.run_until(until);
    cluster.leader().unwrap_or(1)
}

fn others(cluster: &Cluster, leader: VmId) -> Vec<VmId> {
    cluster.nodes.keys().copied().filter(|id| *id != leader).collect()
}

/// Two candidates that reach only a third voter, which restarts repeatedly while vote requests are delayed.
pub fn two_candidates(seed: u64, rules: Rules) -> Option<Violation> {
    let mut cluster = Cluster::new(seed, 3, rules);
    cluster.conditions.late = 0.5;
    cluster.cut(1, 2);
    let end = ms(6_000);
    while cluster.now < end && cluster.violation.is_none() {
        let until = cluster.now + ms(cluster.rng.random_range(100..900));
        cluster.run_until(until);
        cluster.crash(3);
        cluster.start(3);
    }
    cluster.violation
}

/// Leaders that crash while the first entries of their terms are on a minority (figure 8 of the Raft paper).
pub fn short_terms(seed: u64, rules: Rules) -> Option<Violation> {
    let mut cluster = Cluster::new(seed, 3, rules);
    cluster.conditions.loss = 0.2;
    let end = ms(12_000);
    while cluster.now < end && cluster.violation.is_none() {
        let until = cluster.now + ms(cluster.rng.random_range(1..12));
        cluster.run_until(until);
        if let Some(leader) = cluster.leader().filter(|_| cluster.rng.random_bool(0.25)) {
            cluster.propose(leader);
            cluster.crash(leader);
        }
        let down = cluster
            .nodes
            .values()
            .find(|node| node.replica.is_none())
            .map(|node| node.id);
        if let Some(id) = down.filter(|_| cluster.rng.random_bool(0.04)) {
            cluster.start(id);
        }
    }
    cluster.violation
}

/// A leader that reaches one of four other voters and removes two of the unreachable ones.
pub fn two_changes(seed: u64, rules: Rules) -> Option<Violation> {
    let mut cluster = Cluster::new(seed, 5, rules);
    let leader = wait_for_leader(&mut cluster);
    let others = others(&cluster, leader);
    for far in &others[1..] {
        cluster.cut(leader, *far);
        cluster.cut(others[0], *far);
    }
    cluster.change(leader, Change::Remove(others[1]));
    cluster.change(leader, Change::Remove(others[2]));
    for _ in 0..60 {
        cluster.propose(leader);
        let newest = cluster.leader().unwrap_or(leader);
        cluster.propose(newest);
        let until = cluster.now + ms(50);
        cluster.run_until(until);
    }
    cluster.cuts.clear();
    let until = cluster.now + ms(2_000);
    cluster.run_until(until);
    cluster.violation
}

/// A leader that loses contact with one of the two other voters, which then campaigns.
pub fn cut_pair(seed: u64, rules: Rules) -> Option<Violation> {
    let mut cluster = Cluster::new(seed, 3, rules);
    let leader = wait_for_leader(&mut cluster);
    let other = others(&cluster, leader)[0];
    cluster.cut(leader, other);
    // No proposals: they would make the other voter's log too old to win an election.
    let until = cluster.now + ms(2_000);
    cluster.run_until(until);
    cluster.violation
}
