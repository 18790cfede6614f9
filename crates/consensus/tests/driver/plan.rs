//! Random runs with faults, proposals and membership changes, followed by a fault-free phase that must make progress.

use std::time::Duration;

use bronzespoke_consensus::membership::Change;
use bronzespoke_consensus::replica::{Input, Restored, Role};
use bronzespoke_consensus::rules::Rules;
use bronzespoke_model::id::VmId;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::{Cluster, Conditions, NO_FAULTS, Violation, check, ms};

const MAX_PAUSE: Duration = ms(2_500);

/// Outcome of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub violation: Option<Violation>,
    /// The group made no progress in the fault-free phase although every membership had a live majority.
    pub stalled: bool,
    pub committed: usize,
    pub steps: u64,
    pub terms: u64,
}

/// Runs a seed.
pub fn run(seed: u64, rules: Rules) -> Outcome {
    let mut cluster = Cluster::new(seed, [1, 2, 3, 3, 3, 4, 5, 5][seed as usize % 8], rules);
    cluster.conditions = Conditions {
        loss: [0.0, 0.02, 0.1, 0.2]
            .into_iter()
            .choose(&mut cluster.rng)
            .unwrap_or(0.0),
        duplicate: 0.05,
        late: 0.03,
        slow_sync: 0.05,
        failed_sync: [0.0, 0.0, 0.002]
            .into_iter()
            .choose(&mut cluster.rng)
            .unwrap_or(0.0),
    };
    let end = ms(8_000);
    if seed % 8 == 6 {
        election_storm(&mut cluster);
    }
    while cluster.now < end && cluster.violation.is_none() {
        let pause = ms(cluster.rng.random_range(5..80));
        let until = cluster.now + pause;
        cluster.run_until(until);
        inject_event(&mut cluster);
    }
    let stalled = cluster.violation.is_none() && !recovers(&mut cluster);
    if stalled && std::env::var_os("BRONZESPOKE_TRACE").is_some() {
        for node in cluster.nodes.values() {
            println!("{seed}: {} durable {} lost {}", node.id, node.durable, node.lost);
            println!(
                "   {:?}",
                node.replica
                    .as_ref()
                    .map(bronzespoke_consensus::replica::Replica::status)
            );
        }
    }
    let terms = cluster
        .nodes
        .values()
        .filter_map(|node| node.replica.as_ref())
        .map(|replica| replica.status().term);
    let terms = terms.max().unwrap_or(0);
    Outcome {
        violation: cluster.violation,
        stalled,
        committed: cluster.committed.len(),
        steps: cluster.steps,
        terms,
    }
}

fn random_node(cluster: &mut Cluster) -> VmId {
    cluster
        .nodes
        .keys()
        .copied()
        .choose(&mut cluster.rng)
        .expect("the cluster has nodes")
}

fn inject_event(cluster: &mut Cluster) {
    let target = cluster
        .leader()
        .filter(|_| cluster.rng.random_bool(0.5))
        .unwrap_or_else(|| random_node(cluster));
    match cluster.rng.random_range(0..100) {
        0..66 => {
            let burst = cluster.rng.random_range(1..6);
            for _ in 0..burst {
                cluster.propose(target);
            }
        }
        66..71 => {
            if cluster.nodes[&target].durable || may_lose_vm(cluster, target) {
                cluster.crash(target);
            }
        }
        71..79 => {
            let down = cluster
                .nodes
                .values()
                .filter(|node| node.replica.is_none())
                .map(|node| node.id);
            if let Some(id) = down.choose(&mut cluster.rng) {
                cluster.start(id);
            }
        }
        79..82 => {
            let length = ms(cluster.rng.random_range(50..MAX_PAUSE.as_millis() as u64));
            cluster.pause(target, length);
        }
        82..84 => cluster.isolate(target),
        84..86 => {
            let other = random_node(cluster);
            cluster.cuts.insert((target, other));
            if cluster.rng.random_bool(0.5) {
                cluster.cut(target, other);
            }
        }
        86..91 => cluster.cuts.clear(),
        91..94 => cluster.compact(target),
        94..96 => {
            let to = random_node(cluster);
            let to = Some(to).filter(|_| cluster.rng.random_bool(0.5));
            cluster.input(target, Input::TransferLeadership { to });
        }
        _ => change_membership(cluster),
    }
}

/// Provokes elections by delayed messages, cut links and restarts.
fn election_storm(cluster: &mut Cluster) {
    let saved = cluster.conditions;
    cluster.conditions.late = 0.4;
    let end = cluster.now + ms(3_000);
    while cluster.now < end && cluster.violation.is_none() {
        let until = cluster.now + ms(cluster.rng.random_range(5..60));
        cluster.run_until(until);
        let target = random_node(cluster);
        match cluster.rng.random_range(0..10) {
            0..2 => {
                cluster.crash(target);
                cluster.start(target);
            }
            2..4 => {
                let other = random_node(cluster);
                cluster.cut(target, other);
            }
            4 => cluster.cuts.clear(),
            _ => {
                cluster.propose(target);
            }
        }
    }
    cluster.conditions = saved;
}

/// Returns whether a VM without a disk may crash. At most one does, so that the fault-free phase can be judged.
fn may_lose_vm(cluster: &Cluster, _id: VmId) -> bool {
    cluster.nodes.values().all(|node| !node.lost)
}

/// Changes the membership through the leader, as an operator would.
fn change_membership(cluster: &mut Cluster) {
    let Some(leader) = cluster.leader() else { return };
    let Some(replica) = &cluster.nodes[&leader].replica else {
        return;
    };
    let members = replica.status().membership;
    let lost = members
        .voters
        .iter()
        .copied()
        .find(|id| cluster.nodes.get(id).is_none_or(|node| node.lost));
    if let Some(lost) = lost {
        cluster.change(leader, Change::Remove(lost));
        return;
    }
    if let Some(learner) = members.learners.first().copied() {
        promote(cluster, leader, learner);
        return;
    }
    if members.voters.len() < 3 || (members.voters.len() < 5 && cluster.rng.random_bool(0.5)) {
        let id = cluster.nodes.keys().last().map_or(1, |last| last + 1);
        let durable = cluster.rng.random_bool(0.7);
        cluster.add(id, Restored::default(), durable);
        cluster.change(leader, Change::AddLearner(id));
        return;
    }
    if let Some(voter) = members.voters.iter().copied().choose(&mut cluster.rng) {
        cluster.change(leader, Change::Remove(voter));
    }
}

fn promote(cluster: &mut Cluster, leader: VmId, learner: VmId) {
    let proposal = cluster.change(leader, Change::Promote(learner));
    let accepted = !cluster.rejected.contains_key(&proposal);
    let Some(member) = cluster.nodes.get(&learner).filter(|_| accepted) else {
        return;
    };
    if let Err(violation) = cluster.check.promoted(cluster.now, member) {
        cluster.violation.get_or_insert(violation);
    }
}

/// Removes all faults and returns whether the group commits again and all members agree.
fn recovers(cluster: &mut Cluster) -> bool {
    cluster.conditions = NO_FAULTS;
    cluster.cuts.clear();
    // Replicas whose store failed are recreated from their disk, as the daemon does.
    for id in cluster.nodes.keys().copied().collect::<Vec<_>>() {
        let failed = cluster.nodes[&id]
            .replica
            .as_ref()
            .is_some_and(|replica| replica.status().store_failed);
        if failed && cluster.nodes[&id].durable {
            cluster.crash(id);
        }
        cluster.start(id);
    }
    let end = cluster.now + MAX_PAUSE;
    cluster.run_until(end);
    if !majorities_live(cluster) {
        return true;
    }
    let progress = cluster.run_until_condition(ms(8_000), |cluster| {
        cluster.leader().is_some_and(|id| has_lease(cluster, id))
    });
    let Some(leader) = cluster.leader().filter(|_| progress) else {
        return false;
    };
    let proposal = cluster.propose(leader);
    let committed =
        cluster.run_until_condition(ms(4_000), |cluster| cluster.committed.contains_key(&proposal));
    let end = cluster.now + ms(1_500);
    cluster.run_until(end);
    committed && states_match(cluster)
}

/// Returns whether every membership known to a running member has a live majority of its voters.
fn majorities_live(cluster: &Cluster) -> bool {
    let live = |id: &VmId| {
        let replica = cluster.nodes.get(id).and_then(|node| node.replica.as_ref());
        replica.is_some_and(|replica| !replica.status().store_failed)
    };
    cluster
        .nodes
        .values()
        .filter_map(|node| node.replica.as_ref())
        .all(|replica| {
            let members = replica.status().membership;
            members.voters.iter().filter(|id| live(id)).count() >= members.quorum()
                || members.voters.is_empty()
        })
}

fn has_lease(cluster: &Cluster, leader: VmId) -> bool {
    let node = &cluster.nodes[&leader];
    node.replica
        .as_ref()
        .is_some_and(|replica| replica.holds_lease(node.local(cluster.now)))
}

fn states_match(cluster: &Cluster) -> bool {
    let Some(leader) = cluster.leader() else {
        return false;
    };
    let leader = &cluster.nodes[&leader];
    let Some(replica) = &leader.replica else {
        return false;
    };
    let members = replica.status().membership;
    let same = cluster
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
    let removed = cluster.nodes.values().filter_map(|node| node.replica.as_ref());
    let single_leader = removed
        .filter(|replica| replica.status().role == Role::Leader)
        .count()
        == 1;
    same && single_leader && leader.state == check::expected_state(cluster.check.entries(), leader.applied)
}
