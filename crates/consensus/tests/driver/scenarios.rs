//! Plans that make one rare order of events likely.

use bronzespoke_consensus::membership::Change;
use bronzespoke_consensus::rules::Rules;
use bronzespoke_model::id::VmId;
use rand::Rng;

use super::{Violation, World, ms};

fn wait_for_leader(world: &mut World) -> VmId {
    world.run_while(ms(5_000), |world| world.leader().is_some());
    let settled = world.now + ms(200);
    world.run_until(settled);
    world.leader().unwrap_or(1)
}

fn others(world: &World, leader: VmId) -> Vec<VmId> {
    world.nodes.keys().copied().filter(|id| *id != leader).collect()
}

/// Two candidates that reach only a third voter, which restarts again and again while requests are late.
pub fn two_candidates(seed: u64, rules: Rules) -> Option<Violation> {
    let mut world = World::new(seed, 3, rules);
    world.weather.late = 0.5;
    world.cut(1, 2);
    let end = ms(6_000);
    while world.now < end && world.violation.is_none() {
        let until = world.now + ms(world.rng.random_range(100..900));
        world.run_until(until);
        world.crash(3);
        world.start(3);
    }
    world.violation
}

/// Leaders that crash while the first entries of their terms are on few members (figure 8 of the Raft paper).
pub fn short_terms(seed: u64, rules: Rules) -> Option<Violation> {
    let mut world = World::new(seed, 3, rules);
    world.weather.loss = 0.2;
    let end = ms(12_000);
    while world.now < end && world.violation.is_none() {
        let until = world.now + ms(world.rng.random_range(1..12));
        world.run_until(until);
        if let Some(leader) = world.leader().filter(|_| world.rng.random_bool(0.25)) {
            world.propose(leader);
            world.crash(leader);
        }
        let down = world
            .nodes
            .values()
            .find(|node| node.replica.is_none())
            .map(|node| node.id);
        if let Some(id) = down.filter(|_| world.rng.random_bool(0.04)) {
            world.start(id);
        }
    }
    world.violation
}

/// A leader that reaches one of four others and removes two of the unreachable ones.
pub fn two_changes(seed: u64, rules: Rules) -> Option<Violation> {
    let mut world = World::new(seed, 5, rules);
    let leader = wait_for_leader(&mut world);
    let others = others(&world, leader);
    for far in &others[1..] {
        world.cut(leader, *far);
        world.cut(others[0], *far);
    }
    world.change(leader, Change::Remove(others[1]));
    world.change(leader, Change::Remove(others[2]));
    for _ in 0..60 {
        world.propose(leader);
        let newest = world.leader().unwrap_or(leader);
        world.propose(newest);
        let until = world.now + ms(50);
        world.run_until(until);
    }
    world.cuts.clear();
    let until = world.now + ms(2_000);
    world.run_until(until);
    world.violation
}

/// A leader that loses contact with one of two voters, which then stands for election.
pub fn cut_pair(seed: u64, rules: Rules) -> Option<Violation> {
    let mut world = World::new(seed, 3, rules);
    let leader = wait_for_leader(&mut world);
    let other = others(&world, leader)[0];
    world.cut(leader, other);
    // No proposals: they would make the other's log too old to be elected.
    let until = world.now + ms(2_000);
    world.run_until(until);
    world.violation
}
