//! Replacement of a lost VM, with a second loss at each step of the repair.

mod driver;

use bronzespoke_consensus::membership::Change;
use bronzespoke_consensus::replica::{Input, Output, Rejection, Replica, Restored, Role};
use bronzespoke_consensus::rules::Rules;
use bronzespoke_model::id::VmId;
use driver::{Cluster, ms};

const REPAIR_LIMIT: std::time::Duration = ms(20_000);

/// Steps of a repair, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Lost,
    Removed,
    Added,
    CaughtUp,
    Promoted,
    Committed,
}

fn leader_with_lease(cluster: &Cluster) -> Option<VmId> {
    let leader = cluster.leader()?;
    let node = &cluster.nodes[&leader];
    node.replica
        .as_ref()?
        .holds_lease(node.local(cluster.now))
        .then_some(leader)
}

/// Retries a change until the leader accepts and commits it.
fn change(cluster: &mut Cluster, change: Change) -> bool {
    let end = cluster.now + REPAIR_LIMIT;
    while cluster.now < end && cluster.violation.is_none() {
        if let Some(leader) = leader_with_lease(cluster) {
            let id = cluster.change(leader, change);
            if cluster.run_until_condition(ms(2_000), |cluster| cluster.committed.contains_key(&id)) {
                return true;
            }
        }
        let until = cluster.now + ms(100);
        cluster.run_until(until);
    }
    false
}

fn commit_proposals(cluster: &mut Cluster, count: usize) -> bool {
    let Some(leader) = leader_with_lease(cluster) else {
        return false;
    };
    let ids: Vec<_> = (0..count).map(|_| cluster.propose(leader)).collect();
    cluster.run_until_condition(ms(3_000), |cluster| {
        ids.iter().all(|id| cluster.committed.contains_key(id))
    })
}

/// Replaces the lost VM 3 by VM 4, up to a step of the repair.
fn repair(cluster: &mut Cluster, until: Step) {
    cluster.run_until_condition(ms(5_000), |cluster| leader_with_lease(cluster).is_some());
    assert!(commit_proposals(cluster, 40), "a healthy group commits");
    cluster.nodes.get_mut(&3).expect("VM 3 exists").durable = false;
    cluster.crash(3);
    if until >= Step::Removed {
        assert!(
            change(cluster, Change::Remove(3)),
            "two of three voters remove the third"
        );
    }
    if until >= Step::Added {
        cluster.add(4, Restored::default(), true);
        assert!(change(cluster, Change::AddLearner(4)), "a learner is added");
    }
    if until >= Step::CaughtUp {
        let caught_up = |cluster: &Cluster| cluster.nodes[&4].applied >= 40;
        assert!(
            cluster.run_until_condition(ms(5_000), caught_up),
            "the learner catches up"
        );
    }
    if until >= Step::Promoted {
        assert!(change(cluster, Change::Promote(4)), "the learner becomes a voter");
    }
    if until >= Step::Committed {
        assert!(commit_proposals(cluster, 5), "the repaired group commits");
    }
}

/// Guards against a second loss, during or right after a repair, that loses a committed entry, lets a group without a
/// majority commit, or stops a group that has a majority.
#[yare::parameterized(
    lost = { Step::Lost }, removed = { Step::Removed }, added = { Step::Added },
    caught_up = { Step::CaughtUp }, promoted = { Step::Promoted }, committed = { Step::Committed },
)]
fn second_loss_after_a_repair_step(step: Step) {
    for seed in 0..12 {
        for second in [1, 2] {
            let mut cluster = Cluster::new(seed, 3, Rules::default());
            repair(&mut cluster, step);
            cluster.crash(second);
            let until = cluster.now + ms(3_000);
            cluster.run_until(until);
            let works = leader_with_lease(&cluster).is_some() && commit_proposals(&mut cluster, 3);
            assert_eq!(
                works,
                step >= Step::Promoted,
                "seed {seed}: only a finished repair survives the loss"
            );
            // The VM has a disk, so the group recovers after its restart.
            cluster.start(second);
            assert!(
                cluster.run_until_condition(ms(6_000), |cluster| leader_with_lease(cluster).is_some()),
                "seed {seed}: the group has a leader again"
            );
            assert!(
                commit_proposals(&mut cluster, 3),
                "seed {seed}: the group commits again"
            );
            assert_eq!(cluster.violation, None, "seed {seed}");
        }
    }
}

/// Guards against a repair that looks complete although the promotion could be lost with the leader. The committed
/// membership must include the new voter only once the group survives the loss of its leader.
#[test]
fn promotion_is_reported_after_commit() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 3, Rules::default());
        repair(&mut cluster, Step::CaughtUp);
        let until = cluster.now + ms(500);
        cluster.run_until(until);
        let leader = leader_with_lease(&cluster).expect("the group has a leader");
        let status = |cluster: &Cluster| {
            let replica = cluster.nodes[&leader].replica.as_ref();
            replica.expect("the leader runs").status()
        };
        let id = cluster.change(leader, Change::Promote(4));
        assert_eq!(cluster.rejected.get(&id), None, "seed {seed}");
        assert!(
            status(&cluster).membership.voters.contains(&4),
            "seed {seed}: the promotion is appended"
        );
        assert!(
            !status(&cluster).committed.voters.contains(&4),
            "seed {seed}: nobody else has the entry"
        );
        let named = |cluster: &Cluster| status(cluster).committed.voters.contains(&4);
        assert!(
            cluster.run_until_condition(ms(2_000), named),
            "seed {seed}: the promotion is committed"
        );
        cluster.crash(leader);
        let until = cluster.now + ms(3_000);
        cluster.run_until(until);
        assert!(
            leader_with_lease(&cluster).is_some(),
            "seed {seed}: the others continue"
        );
        assert!(commit_proposals(&mut cluster, 3), "seed {seed}");
        assert_eq!(cluster.violation, None, "seed {seed}");
    }
}

/// Guards against a group of two voters that stops when one of them is removed, including the leader.
#[yare::parameterized(leader = { true }, other = { false })]
fn one_of_two_voters_leaves(leader_leaves: bool) {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 3, Rules::default());
        repair(&mut cluster, Step::Removed);
        let until = cluster.now + ms(500);
        cluster.run_until(until);
        let leader = leader_with_lease(&cluster).expect("the group has a leader");
        let other = 3 - leader;
        let leaves = if leader_leaves { leader } else { other };
        cluster.change(leader, Change::Remove(leaves));
        let until = cluster.now + ms(500);
        cluster.run_until(until);
        cluster.crash(leaves);
        let rest = 3 - leaves;
        let works = |cluster: &Cluster| leader_with_lease(cluster) == Some(rest);
        assert!(
            cluster.run_until_condition(ms(3_000), works),
            "seed {seed}: the other voter leads"
        );
        assert!(
            commit_proposals(&mut cluster, 3),
            "seed {seed}: the remaining voter commits"
        );
        assert_eq!(cluster.violation, None, "seed {seed}");
    }
}

/// Guards against a removed member that restarts from its disk and disrupts the leader.
#[test]
fn removed_member_does_not_disrupt() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 3, Rules::default());
        cluster.run_until_condition(ms(5_000), |cluster| leader_with_lease(cluster).is_some());
        cluster.crash(3);
        cluster.run_until_condition(ms(5_000), |cluster| {
            leader_with_lease(cluster).is_some_and(|leader| leader != 3)
        });
        assert!(change(&mut cluster, Change::Remove(3)), "seed {seed}");
        let term = |cluster: &Cluster| {
            cluster.nodes[&1]
                .replica
                .as_ref()
                .map(|replica| replica.status().term)
        };
        let before = term(&cluster);
        cluster.start(3);
        let until = cluster.now + ms(5_000);
        cluster.run_until(until);
        assert_eq!(term(&cluster), before, "seed {seed}: no election");
        let returned = cluster.nodes[&3]
            .replica
            .as_ref()
            .map(|replica| replica.status().role);
        assert_eq!(returned, Some(Role::Removed), "seed {seed}");
        let leader = leader_with_lease(&cluster).expect("the group has a leader");
        let id = cluster.change(leader, Change::AddLearner(3));
        let refused = matches!(cluster.rejected.get(&id), Some(Rejection::Change(_)));
        assert!(refused, "seed {seed}: an id is never reused");
    }
}

/// Guards against a voter that restarts without entries that it had acknowledged, and then receives no entries until
/// the leader changes. In the snapshot case, the voter lacks more entries than the leader retains.
#[yare::parameterized(log = { 10, false }, snapshot = { 60, true })]
fn voter_that_lost_the_end_of_its_log_catches_up(lost: usize, compacted: bool) {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 3, Rules::default());
        cluster.run_until_condition(ms(5_000), |cluster| leader_with_lease(cluster).is_some());
        assert!(commit_proposals(&mut cluster, 10), "seed {seed}");
        let leader = leader_with_lease(&cluster).expect("the group has a leader");
        let voter = (1..=3).find(|id| *id != leader).expect("a follower");
        let until = cluster.now + ms(500);
        cluster.run_until(until);
        let kept = cluster.nodes[&voter].disk.clone();
        assert!(commit_proposals(&mut cluster, lost), "seed {seed}");
        let until = cluster.now + ms(500);
        cluster.run_until(until);
        if compacted {
            cluster.compact(leader);
        }
        cluster.crash(voter);
        let node = cluster.nodes.get_mut(&voter).expect("the voter exists");
        node.disk = kept;
        // The loss reverts the applied index of this member, which is the fault under test.
        node.applied = 0;
        cluster.start(voter);
        let goal = cluster.nodes[&leader].applied;
        assert!(
            cluster.run_until_condition(ms(3_000), |cluster| cluster.nodes[&voter].applied >= goal),
            "seed {seed}: the voter catches up"
        );
        assert_eq!(
            leader_with_lease(&cluster),
            Some(leader),
            "seed {seed}: the leader stays"
        );
        assert!(commit_proposals(&mut cluster, 3), "seed {seed}");
    }
}

/// Guards against a leadership transfer that leaves the group without a leader for an election timeout.
#[test]
fn transfer_and_failed_store_transfer_leadership() {
    for (seed, input) in (0..10).flat_map(|seed| {
        [
            (seed, Input::TransferLeadership { to: None }),
            (seed, Input::PersistFailed),
        ]
    }) {
        let mut cluster = Cluster::new(seed, 3, Rules::default());
        cluster.run_until_condition(ms(5_000), |cluster| leader_with_lease(cluster).is_some());
        commit_proposals(&mut cluster, 10);
        let old = leader_with_lease(&cluster).expect("the group has a leader");
        cluster.input(old, input);
        let moved = cluster.run_until_condition(ms(300), |cluster| {
            leader_with_lease(cluster).is_some_and(|leader| leader != old)
        });
        assert!(
            moved,
            "seed {seed}: another leader within 300 ms, less than an election timeout"
        );
        assert!(commit_proposals(&mut cluster, 3), "seed {seed}");
        assert_eq!(cluster.violation, None);
    }
}

/// Guards against a leader that queues an unbounded number of proposals.
#[test]
fn proposals_beyond_the_bound_are_rejected() {
    let mut cluster = Cluster::new(1, 3, Rules::default());
    cluster.run_until_condition(ms(5_000), |cluster| leader_with_lease(cluster).is_some());
    let leader = leader_with_lease(&cluster).expect("the group has a leader");
    cluster.isolate(leader);
    let ids: Vec<_> = (0..9_000).map(|_| cluster.propose(leader)).collect();
    let full = ids
        .iter()
        .filter(|id| cluster.rejected.get(id) == Some(&Rejection::QueueFull))
        .count();
    assert_eq!(
        full,
        9_000 - 8_192,
        "the limit is the default of the configuration"
    );
    cluster.run_until_condition(ms(3_000), |cluster| cluster.leader() != Some(leader));
    let unknown = ids
        .iter()
        .filter(|id| cluster.rejected.get(id) == Some(&Rejection::Unknown))
        .count();
    assert_eq!(
        unknown, 8_192,
        "the others are reported as unknown when the leadership is lost"
    );
}

/// Guards against a sole voter that becomes leader before its vote is durable, and could lead the same term twice.
#[test]
fn sole_voter_waits_for_its_vote() {
    let members = bronzespoke_consensus::membership::Membership::from_voters([1]);
    let config = bronzespoke_consensus::replica::Config::new(1, bronzespoke_model::id::GroupId::Root, 1);
    let mut replica = Replica::new(config, Restored::bootstrap(members), ms(0));
    let mut out = Vec::new();
    replica.step(ms(0), Input::Tick, &mut out);
    assert_eq!(replica.status().role, Role::Candidate);
    let [Output::Persist(write), ..] = out.as_slice() else {
        panic!("the vote is stored first: {out:?}")
    };
    replica.step(
        ms(1),
        Input::Persisted {
            through: write.sequence,
        },
        &mut out,
    );
    assert_eq!(replica.status().role, Role::Leader);
}

/// Guards against an unbounded number of pending writes when the store stalls without an error.
#[test]
fn pending_writes_are_bounded_when_the_store_stalls() {
    let members = bronzespoke_consensus::membership::Membership::from_voters([1]);
    let mut config = bronzespoke_consensus::replica::Config::new(1, bronzespoke_model::id::GroupId::Root, 1);
    config.max_uncommitted_entries = 10;
    let mut replica = Replica::new(config, Restored::bootstrap(members), ms(0));
    let mut out = Vec::new();
    replica.step(ms(0), Input::Tick, &mut out);
    replica.step(ms(1), Input::Persisted { through: 1 }, &mut out);
    for id in 0..20 {
        replica.step(ms(2), Input::Propose { id, data: "a".into() }, &mut out);
    }
    let full = out
        .iter()
        .filter(|output| matches!(output, Output::Rejected { .. }))
        .count();
    assert_eq!(
        full, 11,
        "the first entry of the term and nine proposals are pending"
    );
}
