//! Replacing a lost VM, with a second loss at every step of the repair.

mod driver;

use bronzespoke_consensus::membership::Change;
use bronzespoke_consensus::replica::{Input, Output, Rejection, Replica, Restored, Role};
use bronzespoke_consensus::rules::Rules;
use bronzespoke_model::id::VmId;
use driver::{World, ms};

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

fn settled(world: &World) -> Option<VmId> {
    let leader = world.leader()?;
    let node = &world.nodes[&leader];
    node.replica
        .as_ref()?
        .holds_lease(node.local(world.now))
        .then_some(leader)
}

/// Retries a change until the leader accepts and commits it.
fn change(world: &mut World, change: Change) -> bool {
    let end = world.now + REPAIR_LIMIT;
    while world.now < end && world.violation.is_none() {
        if let Some(leader) = settled(world) {
            let id = world.change(leader, change);
            if world.run_while(ms(2_000), |world| world.committed.contains_key(&id)) {
                return true;
            }
        }
        let until = world.now + ms(100);
        world.run_until(until);
    }
    false
}

fn load(world: &mut World, count: usize) -> bool {
    let Some(leader) = settled(world) else {
        return false;
    };
    let ids: Vec<_> = (0..count).map(|_| world.propose(leader)).collect();
    world.run_while(ms(3_000), |world| {
        ids.iter().all(|id| world.committed.contains_key(id))
    })
}

/// Repairs the loss of VM 3 by VM 4 up to a step.
fn repair(world: &mut World, until: Step) {
    world.run_while(ms(5_000), |world| settled(world).is_some());
    assert!(load(world, 40), "a healthy group commits");
    world.nodes.get_mut(&3).expect("VM 3 exists").durable = false;
    world.crash(3);
    if until >= Step::Removed {
        assert!(
            change(world, Change::Remove(3)),
            "two of three voters remove the third"
        );
    }
    if until >= Step::Added {
        world.add(4, Restored::default(), true);
        assert!(change(world, Change::AddLearner(4)), "a learner is added");
    }
    if until >= Step::CaughtUp {
        let caught_up = |world: &World| world.nodes[&4].applied >= 40;
        assert!(world.run_while(ms(5_000), caught_up), "the learner catches up");
    }
    if until >= Step::Promoted {
        assert!(change(world, Change::Promote(4)), "the learner becomes a voter");
    }
    if until >= Step::Committed {
        assert!(load(world, 5), "the repaired group commits");
    }
}

/// Guards against a second loss during or right after a repair that loses a committed entry, lets a group without a
/// majority commit, or stops a group that has one.
#[yare::parameterized(
    lost = { Step::Lost }, removed = { Step::Removed }, added = { Step::Added },
    caught_up = { Step::CaughtUp }, promoted = { Step::Promoted }, committed = { Step::Committed },
)]
fn second_loss_after_a_repair_step(step: Step) {
    for seed in 0..12 {
        for second in [1, 2] {
            let mut world = World::new(seed, 3, Rules::default());
            repair(&mut world, step);
            world.crash(second);
            let until = world.now + ms(3_000);
            world.run_until(until);
            let works = settled(&world).is_some() && load(&mut world, 3);
            assert_eq!(
                works,
                step >= Step::Promoted,
                "seed {seed}: only a finished repair survives the loss"
            );
            // The VM has a disk, so the group goes on once it is back.
            world.start(second);
            assert!(
                world.run_while(ms(6_000), |world| settled(world).is_some()),
                "seed {seed}: it returns"
            );
            assert!(load(&mut world, 3), "seed {seed}: the group commits again");
            assert_eq!(world.violation, None, "seed {seed}");
        }
    }
}

/// Guards against a repair that operators take for done although the promotion is lost with the leader: the committed
/// members name the new voter only once the group survives the loss of its leader.
#[test]
fn promotion_counts_once_it_is_committed() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, Rules::default());
        repair(&mut world, Step::CaughtUp);
        let until = world.now + ms(500);
        world.run_until(until);
        let leader = settled(&world).expect("the group has a leader");
        let status = |world: &World| {
            let replica = world.nodes[&leader].replica.as_ref();
            replica.expect("the leader runs").status()
        };
        let id = world.change(leader, Change::Promote(4));
        assert_eq!(world.rejected.get(&id), None, "seed {seed}");
        assert!(
            status(&world).membership.voters.contains(&4),
            "seed {seed}: appended"
        );
        assert!(
            !status(&world).committed.voters.contains(&4),
            "seed {seed}: nobody else has the entry"
        );
        let named = |world: &World| status(world).committed.voters.contains(&4);
        assert!(world.run_while(ms(2_000), named), "seed {seed}: committed");
        world.crash(leader);
        let until = world.now + ms(3_000);
        world.run_until(until);
        assert!(settled(&world).is_some(), "seed {seed}: the others go on");
        assert!(load(&mut world, 3), "seed {seed}");
        assert_eq!(world.violation, None, "seed {seed}");
    }
}

/// Guards against a group of two voters that stops when one of them leaves, also when that one led.
#[yare::parameterized(leader = { true }, other = { false })]
fn one_of_two_voters_leaves(leader_leaves: bool) {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, Rules::default());
        repair(&mut world, Step::Removed);
        let until = world.now + ms(500);
        world.run_until(until);
        let leader = settled(&world).expect("the group has a leader");
        let other = 3 - leader;
        let leaves = if leader_leaves { leader } else { other };
        world.change(leader, Change::Remove(leaves));
        let until = world.now + ms(500);
        world.run_until(until);
        world.crash(leaves);
        let rest = 3 - leaves;
        let works = |world: &World| settled(world) == Some(rest);
        assert!(
            world.run_while(ms(3_000), works),
            "seed {seed}: the other voter leads"
        );
        assert!(load(&mut world, 3), "seed {seed}: and commits");
        assert_eq!(world.violation, None, "seed {seed}");
    }
}

/// Guards against a removed member that returns from its disk and disturbs the leader.
#[test]
fn removed_member_does_not_disturb() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, Rules::default());
        world.run_while(ms(5_000), |world| settled(world).is_some());
        world.crash(3);
        world.run_while(ms(5_000), |world| {
            settled(world).is_some_and(|leader| leader != 3)
        });
        assert!(change(&mut world, Change::Remove(3)), "seed {seed}");
        let term = |world: &World| {
            world.nodes[&1]
                .replica
                .as_ref()
                .map(|replica| replica.status().term)
        };
        let before = term(&world);
        world.start(3);
        let until = world.now + ms(5_000);
        world.run_until(until);
        assert_eq!(term(&world), before, "seed {seed}: no election");
        let returned = world.nodes[&3]
            .replica
            .as_ref()
            .map(|replica| replica.status().role);
        assert_eq!(returned, Some(Role::Removed), "seed {seed}");
        let leader = settled(&world).expect("the group has a leader");
        let id = world.change(leader, Change::AddLearner(3));
        let refused = matches!(world.rejected.get(&id), Some(Rejection::Change(_)));
        assert!(refused, "seed {seed}: an id is never used twice");
    }
}

/// Guards against a voter that restarts without entries that it had acknowledged, and then gets no entries until the
/// leader changes. The snapshot case needs more than the retained entries.
#[yare::parameterized(log = { 10, false }, snapshot = { 60, true })]
fn voter_that_lost_the_end_of_its_log_catches_up(lost: usize, compacted: bool) {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, Rules::default());
        world.run_while(ms(5_000), |world| settled(world).is_some());
        assert!(load(&mut world, 10), "seed {seed}");
        let leader = settled(&world).expect("the group has a leader");
        let voter = (1..=3).find(|id| *id != leader).expect("a follower");
        let until = world.now + ms(500);
        world.run_until(until);
        let kept = world.nodes[&voter].disk.clone();
        assert!(load(&mut world, lost), "seed {seed}");
        let until = world.now + ms(500);
        world.run_until(until);
        if compacted {
            world.compact(leader);
        }
        world.crash(voter);
        let node = world.nodes.get_mut(&voter).expect("the voter exists");
        node.disk = kept;
        // The loss takes the applied index of this member back; that is the fault under test.
        node.applied = 0;
        world.start(voter);
        let goal = world.nodes[&leader].applied;
        assert!(
            world.run_while(ms(3_000), |world| world.nodes[&voter].applied >= goal),
            "seed {seed}: the voter catches up"
        );
        assert_eq!(settled(&world), Some(leader), "seed {seed}: the leader stays");
        assert!(load(&mut world, 3), "seed {seed}");
    }
}

/// Guards against a handover that leaves the group without a leader for an election timeout.
#[test]
fn transfer_and_full_disk_hand_over() {
    for (seed, input) in (0..10).flat_map(|seed| {
        [
            (seed, Input::TransferLeadership { to: None }),
            (seed, Input::PersistFailed),
        ]
    }) {
        let mut world = World::new(seed, 3, Rules::default());
        world.run_while(ms(5_000), |world| settled(world).is_some());
        load(&mut world, 10);
        let old = settled(&world).expect("the group has a leader");
        world.input(old, input);
        let moved = world.run_while(ms(300), |world| {
            settled(world).is_some_and(|leader| leader != old)
        });
        assert!(
            moved,
            "seed {seed}: another leader within 300 ms, less than an election timeout"
        );
        assert!(load(&mut world, 3), "seed {seed}");
        assert_eq!(world.violation, None);
    }
}

/// Guards against a leader that queues without bound.
#[test]
fn proposals_beyond_the_bound_are_rejected() {
    let mut world = World::new(1, 3, Rules::default());
    world.run_while(ms(5_000), |world| settled(world).is_some());
    let leader = settled(&world).expect("the group has a leader");
    world.isolate(leader);
    let ids: Vec<_> = (0..9_000).map(|_| world.propose(leader)).collect();
    let full = ids
        .iter()
        .filter(|id| world.rejected.get(id) == Some(&Rejection::QueueFull))
        .count();
    assert_eq!(full, 9_000 - 8_192, "the bound is the default of the settings");
    world.run_while(ms(3_000), |world| world.leader() != Some(leader));
    let unknown = ids
        .iter()
        .filter(|id| world.rejected.get(id) == Some(&Rejection::Unknown))
        .count();
    assert_eq!(
        unknown, 8_192,
        "the others are reported as unknown when the leadership is lost"
    );
}

/// Guards against a sole voter that leads before its own vote is durable, and so may lead one term twice.
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

/// Guards against a store that hangs without a fault: the writes that wait for it are bounded as well.
#[test]
fn proposals_wait_for_a_hanging_store() {
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
    assert_eq!(full, 11, "the first entry of the term and nine proposals wait");
}
