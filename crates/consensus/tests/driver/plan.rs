//! Random plans of faults, client work and operators' changes, ending in a calm phase that must make progress.

use std::time::Duration;

use bronzespoke_consensus::membership::Change;
use bronzespoke_consensus::replica::{Input, Restored, Role};
use bronzespoke_consensus::rules::Rules;
use bronzespoke_model::id::VmId;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::{CALM, Violation, Weather, World, check, ms};

const LONGEST_PAUSE: Duration = ms(2_500);

/// How a run ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ending {
    pub violation: Option<Violation>,
    /// The group made no progress in the calm phase although every majority was alive.
    pub stuck: bool,
    pub committed: usize,
    pub steps: u64,
    pub terms: u64,
}

/// Runs one seed.
pub fn run(seed: u64, rules: Rules) -> Ending {
    let mut world = World::new(seed, [1, 2, 3, 3, 3, 4, 5, 5][seed as usize % 8], rules);
    world.weather = Weather {
        loss: [0.0, 0.02, 0.1, 0.2]
            .into_iter()
            .choose(&mut world.rng)
            .unwrap_or(0.0),
        duplicate: 0.05,
        late: 0.03,
        slow_sync: 0.05,
        failed_sync: [0.0, 0.0, 0.002]
            .into_iter()
            .choose(&mut world.rng)
            .unwrap_or(0.0),
    };
    let end = ms(8_000);
    if seed % 8 == 6 {
        storm(&mut world);
    }
    while world.now < end && world.violation.is_none() {
        let pause = ms(world.rng.random_range(5..80));
        let until = world.now + pause;
        world.run_until(until);
        act(&mut world);
    }
    let stuck = world.violation.is_none() && !recovers(&mut world);
    if stuck && std::env::var_os("BRONZESPOKE_TRACE").is_some() {
        for node in world.nodes.values() {
            println!("{seed}: {} durable {} gone {}", node.id, node.durable, node.gone);
            println!(
                "   {:?}",
                node.replica
                    .as_ref()
                    .map(bronzespoke_consensus::replica::Replica::status)
            );
        }
    }
    let terms = world
        .nodes
        .values()
        .filter_map(|node| node.replica.as_ref())
        .map(|replica| replica.status().term);
    let terms = terms.max().unwrap_or(0);
    Ending {
        violation: world.violation,
        stuck,
        committed: world.committed.len(),
        steps: world.steps,
        terms,
    }
}

fn any(world: &mut World) -> VmId {
    world
        .nodes
        .keys()
        .copied()
        .choose(&mut world.rng)
        .expect("the world has nodes")
}

fn act(world: &mut World) {
    let target = world
        .leader()
        .filter(|_| world.rng.random_bool(0.5))
        .unwrap_or_else(|| any(world));
    match world.rng.random_range(0..100) {
        0..66 => {
            let burst = world.rng.random_range(1..6);
            for _ in 0..burst {
                world.propose(target);
            }
        }
        66..71 => {
            if world.nodes[&target].durable || may_lose(world, target) {
                world.crash(target);
            }
        }
        71..79 => {
            let down = world
                .nodes
                .values()
                .filter(|node| node.replica.is_none())
                .map(|node| node.id);
            if let Some(id) = down.choose(&mut world.rng) {
                world.start(id);
            }
        }
        79..82 => {
            let length = ms(world.rng.random_range(50..LONGEST_PAUSE.as_millis() as u64));
            world.pause(target, length);
        }
        82..84 => world.isolate(target),
        84..86 => {
            let other = any(world);
            world.cuts.insert((target, other));
            if world.rng.random_bool(0.5) {
                world.cut(target, other);
            }
        }
        86..91 => world.cuts.clear(),
        91..94 => world.compact(target),
        94..96 => {
            let to = any(world);
            let to = Some(to).filter(|_| world.rng.random_bool(0.5));
            world.input(target, Input::TransferLeadership { to });
        }
        _ => operate(world),
    }
}

/// Elections among late messages, cut pairs and restarts.
fn storm(world: &mut World) {
    let calm = world.weather;
    world.weather.late = 0.4;
    let end = world.now + ms(3_000);
    while world.now < end && world.violation.is_none() {
        let until = world.now + ms(world.rng.random_range(5..60));
        world.run_until(until);
        let target = any(world);
        match world.rng.random_range(0..10) {
            0..2 => {
                world.crash(target);
                world.start(target);
            }
            2..4 => {
                let other = any(world);
                world.cut(target, other);
            }
            4 => world.cuts.clear(),
            _ => {
                world.propose(target);
            }
        }
    }
    world.weather = calm;
}

/// Loses at most one VM without a disk, so that the calm phase can be judged.
fn may_lose(world: &World, _id: VmId) -> bool {
    world.nodes.values().all(|node| !node.gone)
}

/// An operator changes the members through the leader.
fn operate(world: &mut World) {
    let Some(leader) = world.leader() else { return };
    let Some(replica) = &world.nodes[&leader].replica else {
        return;
    };
    let members = replica.status().membership;
    let lost = members
        .voters
        .iter()
        .copied()
        .find(|id| world.nodes.get(id).is_none_or(|node| node.gone));
    if let Some(lost) = lost {
        world.change(leader, Change::Remove(lost));
        return;
    }
    if let Some(learner) = members.learners.first().copied() {
        promote(world, leader, learner);
        return;
    }
    if members.voters.len() < 3 || (members.voters.len() < 5 && world.rng.random_bool(0.5)) {
        let id = world.nodes.keys().last().map_or(1, |last| last + 1);
        let durable = world.rng.random_bool(0.7);
        world.add(id, Restored::default(), durable);
        world.change(leader, Change::AddLearner(id));
        return;
    }
    if let Some(voter) = members.voters.iter().copied().choose(&mut world.rng) {
        world.change(leader, Change::Remove(voter));
    }
}

fn promote(world: &mut World, leader: VmId, learner: VmId) {
    let proposal = world.change(leader, Change::Promote(learner));
    let accepted = !world.rejected.contains_key(&proposal);
    let Some(member) = world.nodes.get(&learner).filter(|_| accepted) else {
        return;
    };
    if let Err(violation) = world.check.promoted(world.now, member) {
        world.violation.get_or_insert(violation);
    }
}

/// Heals everything and tells whether the group commits again and all members agree.
fn recovers(world: &mut World) -> bool {
    world.weather = CALM;
    world.cuts.clear();
    // Processes whose store failed are opened again, like the daemon does.
    for id in world.nodes.keys().copied().collect::<Vec<_>>() {
        let failed = world.nodes[&id]
            .replica
            .as_ref()
            .is_some_and(|replica| replica.status().store_failed);
        if failed && world.nodes[&id].durable {
            world.crash(id);
        }
        world.start(id);
    }
    let end = world.now + LONGEST_PAUSE;
    world.run_until(end);
    if !majorities_live(world) {
        return true;
    }
    let progress = world.run_while(ms(8_000), |world| {
        world.leader().is_some_and(|id| settled(world, id))
    });
    let Some(leader) = world.leader().filter(|_| progress) else {
        return false;
    };
    let proposal = world.propose(leader);
    let committed = world.run_while(ms(4_000), |world| world.committed.contains_key(&proposal));
    let end = world.now + ms(1_500);
    world.run_until(end);
    committed && agree(world)
}

/// Tells whether a majority of the voters in every membership that a live member knows is alive.
fn majorities_live(world: &World) -> bool {
    let live = |id: &VmId| {
        let replica = world.nodes.get(id).and_then(|node| node.replica.as_ref());
        replica.is_some_and(|replica| !replica.status().store_failed)
    };
    world
        .nodes
        .values()
        .filter_map(|node| node.replica.as_ref())
        .all(|replica| {
            let members = replica.status().membership;
            members.voters.iter().filter(|id| live(id)).count() >= members.quorum()
                || members.voters.is_empty()
        })
}

fn settled(world: &World, leader: VmId) -> bool {
    let node = &world.nodes[&leader];
    node.replica
        .as_ref()
        .is_some_and(|replica| replica.holds_lease(node.local(world.now)))
}

fn agree(world: &World) -> bool {
    let Some(leader) = world.leader() else {
        return false;
    };
    let leader = &world.nodes[&leader];
    let Some(replica) = &leader.replica else {
        return false;
    };
    let members = replica.status().membership;
    let same = world
        .nodes
        .values()
        .filter(|node| members.contains(node.id))
        .all(|node| {
            let live = node
                .replica
                .as_ref()
                .is_some_and(|replica| !replica.status().store_failed);
            !live || (node.applied, node.state) == (leader.applied, leader.state)
        });
    let removed = world.nodes.values().filter_map(|node| node.replica.as_ref());
    let quiet = removed
        .filter(|replica| replica.status().role == Role::Leader)
        .count()
        == 1;
    same && quiet && leader.state == check::expected_state(world.check.entries(), leader.applied)
}
