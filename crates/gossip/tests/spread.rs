//! Dissemination of entries over a simulated network.

mod network;

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_gossip::{Gossip, Key, Rules, Value, gossip};
use bronzespoke_model::{id, target, vm};
use network::{Faults, Network};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const REGIONS: [id::RegionId; 3] = [0, 0, 1];
const TARGET: id::TargetId = 77;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn announced(incarnation: id::Incarnation) -> Value {
    Value::Target {
        announcement: target::Announcement {
            target: TARGET,
            incarnation,
            service: "checks".into(),
            address: ([127, 0, 0, 1], 80).into(),
            slots: 8,
            connections: 64,
        },
        place: vm::Place { region: 0, zone: 0 },
    }
}

fn is_usable(gossip: &Gossip, now: Duration) -> bool {
    gossip
        .targets(now)
        .iter()
        .any(|status| status.announcement.target == TARGET)
}

fn usable_at(network: &mut Network) -> Vec<id::VmId> {
    let ids = network.ids();
    ids.into_iter()
        .filter(|id| network.with_node(*id, |gossip, now| is_usable(gossip, now)))
        .collect()
}

/// Published values by origin and key, each with the time at which it was replaced.
type History = BTreeMap<(id::VmId, Key), Vec<(Option<Value>, Duration)>>;

/// Publishes random entries under faults, calls `check` after each, and returns the network without faults.
fn publish_under_faults(seed: u64, rules: Rules, mut check: impl FnMut(&mut Network, &History)) -> Network {
    let mut network = Network::new(seed, &REGIONS);
    let mut random = SmallRng::seed_from_u64(seed);
    let mut history = History::new();
    let ids = network.ids();
    for id in &ids {
        network.with_node(*id, |gossip, _| gossip.set_rules(rules));
    }
    network.faults = Faults {
        loss: 0.2,
        duplicate: 0.2,
        jitter: seconds(2),
    };
    for round in 0..60 {
        if round % 15 == 5 {
            let side = [ids[random.random_range(0..ids.len())]];
            network.set_cut(&side, true);
        }
        if round % 15 == 12 {
            network.cuts.clear();
        }
        let publisher = random.random_range(0..ids.len());
        let id = ids[publisher];
        let key = Key::Load(publisher as u64 * 10 + random.random_range(0..4));
        let value = (random.random::<f64>() < 0.8).then_some(Value::Load(round));
        network.with_node(id, |gossip, now| match &value {
            Some(value) => gossip.set(now, key, value.clone()).unwrap(),
            None => gossip.remove(now, key),
        });
        let past = history.entry((id, key)).or_default();
        if let Some((_, replaced)) = past.last_mut() {
            *replaced = network.now;
        }
        past.push((value, Duration::MAX));
        network.run(Duration::from_millis(random.random_range(0..1500)));
        check(&mut network, &history);
    }
    network.cuts.clear();
    network.faults = Faults::default();
    network
}

fn check_converged(network: &mut Network) -> Result<(), String> {
    let ids = network.ids();
    let mut first: Option<BTreeMap<Key, Value>> = None;
    for id in ids {
        let view: BTreeMap<Key, Value> = network.with_node(id, |gossip, now| {
            gossip.verify()?;
            let entries = gossip.usable(now).map(|entry| (entry.key, entry.value.clone()));
            Ok::<_, String>(entries.collect())
        })?;
        if first.as_ref().is_some_and(|first| *first != view) {
            return Err(format!("vm {id} holds {view:?}, another {first:?}"));
        }
        first.get_or_insert(view);
    }
    Ok(())
}

/// Returns whether any VM understates the age of an entry, which its origin had already replaced at that time.
fn any_age_understated(network: &mut Network, history: &History) -> bool {
    let now_global = network.now;
    network.ids().into_iter().any(|id| {
        network.with_node(id, |gossip, now| {
            gossip.usable(now).any(|entry| {
                let past = &history[&(entry.origin, entry.key)];
                let replaced = past
                    .iter()
                    .rev()
                    .find(|(value, _)| value.as_ref() == Some(entry.value))
                    .map_or(Duration::ZERO, |(_, replaced)| *replaced);
                entry.origin != id && replaced < now_global.saturating_sub(entry.age)
            })
        })
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against states that do not converge and against understated ages, after any combination of faults.
    #[test]
    fn converges_and_never_understates_ages(seed in any::<u64>()) {
        let mut understated = false;
        let mut network = publish_under_faults(seed, Rules::default(), |network, history| {
            understated |= any_age_understated(network, history);
        });
        prop_assert!(!understated);
        network.run(seconds(5));
        prop_assert_eq!(check_converged(&mut network), Ok(()));
    }
}

#[test]
fn ages_counted_from_arrival_are_detected() {
    let rules = Rules {
        echo: false,
        ..Rules::default()
    };
    let mut understated = false;
    for seed in 0..8 {
        publish_under_faults(seed, rules, |network, history| {
            understated |= any_age_understated(network, history);
        });
    }
    assert!(understated);
}

/// Announces a target on one VM, marks it as departing on another, and publishes the old announcement again. Returns
/// the VMs on which the target is usable before and after.
fn depart_elsewhere(rules: Rules) -> (Vec<id::VmId>, Vec<id::VmId>) {
    let mut network = Network::new(3, &REGIONS);
    let ids = network.ids();
    for id in &ids {
        network.with_node(*id, |gossip, _| gossip.set_rules(rules));
    }
    network.run(seconds(3));
    network.with_node(ids[0], |gossip, now| {
        gossip.set(now, Key::Target(TARGET), announced(4)).unwrap();
    });
    network.run(seconds(1));
    let before = usable_at(&mut network);
    network.with_node(ids[5], |gossip, now| {
        gossip.set_departing(now, TARGET, 4).unwrap();
    });
    network.run(seconds(1));
    let _refused = network.with_node(ids[2], |gossip, now| {
        gossip.set(now, Key::Target(TARGET), announced(4))
    });
    network.run(seconds(3));
    (before, usable_at(&mut network))
}

#[test]
fn a_departure_overrides_announcements_of_the_same_incarnation() {
    let (before, after) = depart_elsewhere(Rules::default());
    assert_eq!(before.len(), 6);
    assert!(after.is_empty());
    let without = Rules {
        departures: false,
        ..Rules::default()
    };
    assert!(
        !depart_elsewhere(without).1.is_empty(),
        "the check does not detect a missing rule"
    );
}

#[test]
fn a_later_incarnation_of_a_departed_target_is_usable_and_an_earlier_one_is_not() {
    let mut network = Network::new(4, &REGIONS);
    let ids = network.ids();
    network.run(seconds(3));
    network.with_node(ids[0], |gossip, now| {
        gossip.set_departing(now, TARGET, 4).unwrap();
    });
    network.run(seconds(1));
    let old = network.with_node(ids[3], |gossip, now| {
        gossip.set(now, Key::Target(TARGET), announced(3))
    });
    assert_eq!(old, Err(gossip::Error::Departed));
    network.with_node(ids[3], |gossip, now| {
        gossip.set(now, Key::Target(TARGET), announced(5)).unwrap();
    });
    network.run(seconds(1));
    assert_eq!(usable_at(&mut network).len(), 6);
}

#[test]
fn entries_of_an_unreachable_vm_become_unusable() {
    let mut network = Network::new(5, &REGIONS);
    let ids = network.ids();
    network.run(seconds(3));
    network.with_node(ids[0], |gossip, now| {
        gossip.set(now, Key::Target(TARGET), announced(1)).unwrap();
    });
    network.run(seconds(2));
    network.set_cut(&ids[..1], true);
    network.run(gossip::USABLE_AGE);
    assert_eq!(usable_at(&mut network), [ids[0]]);
}

#[test]
fn a_stopped_relay_is_replaced() {
    for stopped in 0..6 {
        let mut network = Network::new(6, &REGIONS);
        let ids = network.ids();
        network.run(seconds(3));
        network.nodes.get_mut(&ids[stopped]).unwrap().up = false;
        network.run(seconds(8));
        for id in ids.iter().filter(|id| **id != ids[stopped]) {
            let publisher = *id;
            network.with_node(publisher, |gossip, now| {
                gossip.set(now, Key::Load(1), Value::Load(9)).unwrap();
            });
        }
        network.run(seconds(3));
        for id in ids.iter().filter(|id| **id != ids[stopped]) {
            for other in ids.iter().filter(|id| **id != ids[stopped]) {
                let age = network.with_node(*id, |gossip, now| gossip.vm_age(*other, now));
                assert!(
                    age.is_some_and(|age| age < gossip::USABLE_AGE),
                    "{stopped}: {age:?}"
                );
            }
        }
    }
}

/// Guards against two zones that lose contact because their selected relays cannot reach each other.
#[test]
fn a_cut_link_between_two_relays_is_bypassed() {
    for left in 0..6 {
        for right in 0..left {
            let mut network = Network::new(9, &REGIONS);
            let ids = network.ids();
            let pair = (ids[left], ids[right]);
            if network.nodes[&pair.0].place == network.nodes[&pair.1].place {
                continue;
            }
            network.run(seconds(3));
            network.cuts.extend([pair, (pair.1, pair.0)]);
            network.run(seconds(8));
            for id in &ids {
                for other in &ids {
                    let age = network.with_node(*id, |gossip, now| gossip.vm_age(*other, now));
                    assert!(
                        age.is_some_and(|age| age < gossip::USABLE_AGE),
                        "{pair:?}: {age:?}"
                    );
                }
            }
        }
    }
}

/// Returns whether a removal eventually reaches a VM that was cut off until the other VMs purged the tombstone.
fn missed_removal_is_applied(rules: Rules) -> bool {
    let mut network = Network::new(7, &REGIONS);
    let ids = network.ids();
    for id in &ids {
        network.with_node(*id, |gossip, _| gossip.set_rules(rules));
    }
    network.with_node(ids[0], |gossip, now| {
        gossip.set(now, Key::Load(1), Value::Load(1)).unwrap();
    });
    network.run(seconds(3));
    network.set_cut(&ids[1..2], true);
    network.with_node(ids[0], |gossip, now| gossip.remove(now, Key::Load(1)));
    network.with_node(ids[0], |gossip, now| {
        gossip.set(now, Key::Load(2), Value::Load(2)).unwrap();
    });
    network.run(seconds(90));
    network.set_cut(&ids[1..2], false);
    network.run(seconds(5));
    network.with_node(ids[1], |gossip, now| {
        gossip.get(Key::Load(1), now).is_none() && gossip.get(Key::Load(2), now).is_some()
    })
}

#[test]
fn a_purged_removal_still_reaches_a_vm_that_missed_it() {
    assert!(missed_removal_is_applied(Rules::default()));
    let without = Rules {
        floor: false,
        ..Rules::default()
    };
    assert!(
        !missed_removal_is_applied(without),
        "the check does not detect a missing rule"
    );
}

#[test]
fn a_restart_replaces_the_entries_of_the_previous_incarnation() {
    let mut network = Network::new(8, &REGIONS);
    let ids = network.ids();
    network.with_node(ids[0], |gossip, now| {
        gossip.set(now, Key::Load(1), Value::Load(1)).unwrap();
    });
    network.run(seconds(3));
    network.restart(ids[0]);
    network.with_node(ids[0], |gossip, now| {
        gossip.set(now, Key::Load(2), Value::Load(2)).unwrap();
    });
    network.run(seconds(3));
    for id in ids {
        let keys: Vec<Key> = network.with_node(id, |gossip, now| {
            gossip.usable(now).map(|entry| entry.key).collect()
        });
        assert_eq!(keys, [Key::Load(2)]);
    }
}
