//! Contacts that renew the lease of a leader.

mod driver;

use std::time::Duration;

use bronzespoke_consensus::log::Position;
use bronzespoke_consensus::message::{Append, Body, Message};
use bronzespoke_consensus::replica::Input;
use bronzespoke_consensus::rules::Rules;
use bronzespoke_model::id::VmId;
use driver::{Cluster, Violation, ms};

/// Lease of a leader, rounded up; after this time without contact it may not answer reads.
const LEASE: Duration = ms(600);
/// Longest delivery time of a message in the driver.
const DELIVERY: Duration = ms(14);

fn holds_lease(cluster: &Cluster, vm: VmId) -> bool {
    let node = &cluster.nodes[&vm];
    let replica = node.replica.as_ref();
    replica.is_some_and(|replica| replica.holds_lease(node.local(cluster.now)))
}

fn elect(cluster: &mut Cluster) -> (VmId, u64) {
    let led = |cluster: &Cluster| {
        cluster
            .leader()
            .is_some_and(|leader| holds_lease(cluster, leader))
    };
    assert!(
        cluster.run_until_condition(ms(10_000), led),
        "a leader is elected"
    );
    let leader = cluster.leader().expect("the group has a leader");
    let replica = cluster.nodes[&leader].replica.as_ref();
    (leader, replica.expect("the leader runs").term())
}

/// Guards against a lease that is renewed by members that refuse a late append of an earlier term: they do not follow
/// the leader, and the echoed send time is of the clock of an earlier process.
#[test]
fn a_refusal_of_an_earlier_term_does_not_renew_the_lease() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 3, Rules::default());
        let (first, earlier_term) = elect(&mut cluster);
        cluster.crash(first);
        cluster.start(first);
        cluster.run_until(cluster.now + LEASE);
        let (leader, _term) = elect(&mut cluster);
        let followers: Vec<VmId> = (1..=3).filter(|vm| *vm != leader).collect();
        // The followers no longer receive the leader's messages, while their own arrive.
        for follower in &followers {
            cluster.cuts.insert((leader, *follower));
        }
        cluster.run_until(cluster.now + LEASE / 2);
        for follower in &followers {
            let append = Append {
                previous: Position::default(),
                entries: Vec::new(),
                commit: 0,
                sent: Duration::from_mins(1).as_micros() as u64,
                token: 0,
                age: None,
            };
            let message = Message {
                term: earlier_term,
                body: Body::Append(append),
            };
            cluster.input(
                *follower,
                Input::Receive {
                    from: leader,
                    message,
                },
            );
        }
        cluster.run_until(cluster.now + LEASE / 2 + DELIVERY);
        assert!(
            !holds_lease(&cluster, leader),
            "seed {seed}: no member has followed VM {leader} for a whole lease"
        );
    }
}

/// Suspends the leader for longer than its lease while its successor commits, and resumes it before it hears of that.
fn suspend_leader(seed: u64, is_counted: bool) -> Option<Violation> {
    const SUSPENSION: Duration = ms(4_000);
    let mut cluster = Cluster::new(seed, 3, Rules::default());
    let (leader, _term) = elect(&mut cluster);
    cluster.isolate(leader);
    let resumed = cluster.now + SUSPENSION;
    cluster.pause(leader, SUSPENSION);
    // The old leader keeps its role while it stands still.
    let successor = |cluster: &Cluster| (1..=3).find(|vm| *vm != leader && holds_lease(cluster, *vm));
    assert!(cluster.run_until_condition(SUSPENSION, |cluster| successor(cluster).is_some()));
    let successor = successor(&cluster).expect("another leader is elected");
    let proposal = cluster.propose(successor);
    assert!(cluster.run_until_condition(SUSPENSION, |cluster| cluster.committed.contains_key(&proposal)));
    cluster.run_until(resumed.saturating_sub(ms(1)));
    if !is_counted {
        let node = cluster.nodes.get_mut(&leader).expect("the leader runs");
        node.omit(SUSPENSION);
    }
    cluster.run_until(resumed + ms(20));
    cluster.violation
}

/// Guards against a clock under the leases that stands still while the VM is suspended: the old leader still trusts its
/// lease although an entry was acknowledged without it.
#[test]
fn a_lease_ends_during_a_suspension() {
    for seed in 0..20 {
        assert_eq!(suspend_leader(seed, true), None, "seed {seed}");
        let stale = suspend_leader(seed, false);
        assert!(
            matches!(
                stale,
                Some(Violation::StaleLease | Violation::TwoLeases | Violation::OverstatedFreshness)
            ),
            "seed {seed}: the check does not see a clock that stands still: {stale:?}"
        );
    }
}
