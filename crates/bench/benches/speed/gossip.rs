//! Benchmarks of `gossip`.

use std::{hint::black_box, time::Duration};

use bronzespoke_gossip::{Config, Gossip, Key, Message, Value};
use bronzespoke_model::{id, target, vm};
use criterion::{BatchSize, BenchmarkId, Criterion};

const PLACE: vm::Place = vm::Place { region: 0, zone: 0 };

/// Registers the benchmarks of this module.
pub fn register(criterion: &mut Criterion) {
    for targets in [8, 50, 200, 1000] {
        merge(criterion, targets);
    }
}

fn node(id: id::VmId) -> Gossip {
    let config = Config {
        id,
        place: PLACE,
        incarnation: 1,
        seed: 1,
    };
    let mut gossip = Gossip::new(config, Duration::ZERO);
    gossip.set_members(Duration::ZERO, &[(1, PLACE), (2, PLACE)]);
    gossip
}

/// Runs one round of gossip in both directions and returns the messages to the right-hand node.
fn exchange(left: &mut Gossip, right: &mut Gossip, now: Duration) -> Vec<Message> {
    let mut received = Vec::new();
    let mut out = Vec::new();
    left.tick(now, &mut out);
    right.tick(now, &mut out);
    while let Some((to, message)) = out.pop() {
        if to == 2 {
            received.push(message.clone());
            right.receive(now, 1, message, &mut out);
        } else {
            left.receive(now, 2, message, &mut out);
        }
    }
    received
}

/// Merges load updates of all targets of another VM, and reads the targets.
fn merge(criterion: &mut Criterion, targets: u64) {
    let (mut left, mut right) = (node(1), node(2));
    for target in 0..targets {
        let announcement = target::Announcement {
            target,
            incarnation: 1,
            service: "checks".into(),
            address: ([10, 0, 0, 1], 8080).into(),
            slots: 8,
            connections: 64,
        };
        let value = Value::Target {
            announcement,
            place: PLACE,
        };
        let _published = left.set(Duration::ZERO, Key::Target(target), value);
    }
    let mut now = Duration::ZERO;
    for _ in 0..40 {
        now += Duration::from_millis(250);
        exchange(&mut left, &mut right, now);
    }
    assert_eq!(
        right.targets(now).len() as u64,
        targets,
        "the targets did not arrive"
    );
    for target in 0..targets {
        let _published = left.set(now, Key::Load(target), Value::Load(3));
    }
    let before = right.clone();
    now += Duration::from_millis(250);
    let messages = exchange(&mut left, &mut right, now);
    let mut group = criterion.benchmark_group("gossip");
    group.bench_with_input(
        BenchmarkId::new("merge_loads", targets),
        &targets,
        |bencher, _| {
            bencher.iter_batched_ref(
                || (before.clone(), messages.clone()),
                |(gossip, messages)| {
                    let mut out = Vec::new();
                    for message in messages.drain(..) {
                        gossip.receive(now, 1, message, &mut out);
                    }
                    out
                },
                BatchSize::LargeInput,
            );
        },
    );
    group.bench_with_input(
        BenchmarkId::new("read_targets", targets),
        &targets,
        |bencher, _| {
            bencher.iter(|| black_box(&right).targets(now));
        },
    );
    group.finish();
}
