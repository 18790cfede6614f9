//! Policy measurements of `gossip`: bytes on the links and time until an update has reached all VMs.

use std::time::Duration;

use bronzespoke_gossip::{Key, Message, Value, gossip};
use bronzespoke_model::{id, target, vm};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::measure::{Bound, Length, Row};

#[path = "../../../gossip/tests/network/mod.rs"]
#[allow(
    dead_code,
    missing_docs,
    reason = "shared with the tests of gossip, which use the other items"
)]
mod network;

use network::{Faults, Network};

/// Region of each zone in the current topology of both users.
const CURRENT_REGIONS: &[id::RegionId] = &[0, 0, 1];
/// Region of each zone at the target size.
const TARGET_REGIONS: &[id::RegionId] = &[0, 0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4, 4, 5, 5];
/// Bytes of the length prefix of a frame.
const PREFIX_BYTES: usize = 4;
/// Bytes of the IPv4 and TCP headers of a packet with the timestamp option, and of its acknowledgement.
const PACKET_BYTES: u64 = 52 + 52;
const WARM_UP: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(5);
const CONTROL_BOUND: Bound = Bound::AtMost(24_000.0);
const CONTROL_SOURCE: &str = "design 1.7, control cost";

/// Runs the measurements of `gossip` and returns their rows.
pub fn rows(seed: u64, length: Length) -> Vec<Row> {
    let trials = match length {
        Length::Short => 5,
        Length::Long => 40,
    };
    let mut rows = Vec::new();
    for (name, regions) in [("6_vms", CURRENT_REGIONS), ("34_vms", TARGET_REGIONS)] {
        bytes(seed, name, regions, &mut rows);
    }
    load_updates(seed, &mut rows);
    departures(seed, trials, &mut rows);
    rows.push(config_everywhere(seed, trials));
    rows.push(usable_under_loss(seed));
    restart(seed, &mut rows);
    rows
}

fn frame_size(message: &Message) -> usize {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len()) + PREFIX_BYTES
}

fn build(seed: u64, regions: &[id::RegionId]) -> Network {
    let mut network = Network::new(seed, regions);
    network.message_size = frame_size;
    for id in network.ids() {
        publish_vm(&mut network, id, 1);
    }
    network.run(WARM_UP);
    network.sent.clear();
    network
}

fn publish_vm(network: &mut Network, id: id::VmId, applied: u64) {
    network.with_node(id, |gossip, now| {
        let value = Value::Vm {
            applied,
            version: applied,
            ready: true,
        };
        // Cannot fail: the table has space for these few entries.
        let _published = gossip.set(now, Key::Vm(id), value);
    });
}

/// Returns the maximum number of bytes that one VM sent, and the bytes and packets that were sent between regions.
fn totals(network: &Network) -> (u64, u64, u64) {
    let maximum = network
        .ids()
        .into_iter()
        .map(|id| {
            network
                .sent
                .iter()
                .filter(|((from, _), _)| *from == id)
                .map(|(_, (_, bytes))| bytes)
                .sum()
        })
        .max()
        .unwrap_or(0);
    let mut remote = (0, 0);
    for ((from, to), (messages, bytes)) in &network.sent {
        let distance = network.nodes[from].place.distance(&network.nodes[to].place);
        if distance == vm::Distance::Remote {
            remote = (remote.0 + messages, remote.1 + bytes);
        }
    }
    (maximum, remote.1, remote.0)
}

fn bytes(seed: u64, name: &str, regions: &[id::RegionId], rows: &mut Vec<Row>) {
    let seconds = 30;
    let mut network = build(seed, regions);
    network.run(Duration::from_secs(seconds));
    let (maximum, remote, packets) = totals(&network);
    let per_second = |value: u64| value as f64 / seconds as f64;
    let mut push = |measure: &str, value: u64, bound: Bound| {
        rows.push(Row::new(
            format!("gossip.{measure}.{name}"),
            per_second(value),
            "B/s",
            bound,
            CONTROL_SOURCE,
        ));
    };
    push("idle_sent_by_a_daemon", maximum, CONTROL_BOUND);
    push("idle_between_regions", remote, CONTROL_BOUND);
    push(
        "idle_between_regions_with_headers",
        remote + packets * PACKET_BYTES,
        Bound::None,
    );
}

fn announce(network: &mut Network, id: id::VmId, target: id::TargetId) {
    let place = network.nodes[&id].place;
    let announcement = target::Announcement {
        target,
        incarnation: 1,
        service: String::from("checks"),
        address: ([10, 0, 0, 1], 8080).into(),
        slots: 8,
        connections: 64,
    };
    let value = Value::Target { announcement, place };
    network.with_node(id, |gossip, now| {
        let _published = gossip.set(now, Key::Target(target), value);
    });
}

/// Measures traffic while the load of every target changes once a second, as it does with steady requests to all targets.
fn load_updates(seed: u64, rows: &mut Vec<Row>) {
    let seconds = 10;
    for targets in [50, 1000] {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut network = build(seed, TARGET_REGIONS);
        let ids = network.ids();
        let names: Vec<id::TargetId> = (0..targets).map(|_| random.random()).collect();
        for (number, target) in names.iter().enumerate() {
            announce(&mut network, ids[number % ids.len()], *target);
        }
        network.run(Duration::from_secs(2));
        network.sent.clear();
        for _ in 0..seconds {
            for (number, target) in names.iter().enumerate() {
                let load = Value::Load(random.random_range(0..8));
                network.with_node(ids[number % ids.len()], |gossip, now| {
                    let _published = gossip.set(now, Key::Load(*target), load);
                });
            }
            network.run(Duration::from_secs(1));
        }
        let (maximum, remote, _) = totals(&network);
        let per_second = |value: u64| value as f64 / f64::from(seconds);
        rows.push(Row::new(
            format!("gossip.loaded_sent_by_a_daemon.{targets}_targets"),
            per_second(maximum),
            "B/s",
            CONTROL_BOUND,
            CONTROL_SOURCE,
        ));
        rows.push(Row::new(
            format!("gossip.loaded_between_regions.{targets}_targets"),
            per_second(remote),
            "B/s",
            Bound::None,
            CONTROL_SOURCE,
        ));
    }
}

/// Runs until a condition holds for all VMs, for at most a simulated minute, and returns the simulated time.
fn run_until(network: &mut Network, holds: impl Fn(&mut Network, id::VmId) -> bool) -> Duration {
    let start = network.now;
    let limit = Duration::from_mins(1);
    loop {
        let all = network.ids().into_iter().all(|id| holds(network, id));
        let time = network.now.saturating_sub(start);
        if all || time >= limit {
            return time;
        }
        network.run(STEP);
    }
}

fn has_dropped(network: &mut Network, id: id::VmId, target: id::TargetId) -> bool {
    network.with_node(id, |gossip, now| {
        let targets = gossip.targets(now);
        targets.iter().all(|status| status.announcement.target != target)
    })
}

fn departures(seed: u64, trials: u64, rows: &mut Vec<Row>) {
    let mut maximum = [Duration::ZERO; 3];
    for trial in 0..trials {
        let mut random = SmallRng::seed_from_u64(seed ^ trial);
        let mut network = build(seed ^ trial, TARGET_REGIONS);
        let ids = network.ids();
        for (case, maximum) in maximum.iter_mut().enumerate() {
            let target = 1000 + case as u64;
            let (holder, other) = (
                ids[random.random_range(0..ids.len())],
                ids[random.random_range(0..ids.len())],
            );
            announce(&mut network, holder, target);
            network.run(WARM_UP);
            match case {
                1 => network.faults.loss = 0.05,
                // The only VM that has the departure is cut off before it can propagate it.
                2 => network.set_cut(&[holder], true),
                _ => {}
            }
            let via = if case == 2 { holder } else { other };
            network.with_node(via, |gossip, now| {
                let _published = gossip.set_departing(now, target, 1);
            });
            let time = run_until(&mut network, |network, id| has_dropped(network, id, target));
            *maximum = time.max(*maximum);
            network.faults = Faults::default();
        }
    }
    let cases = [
        ("normal", 1.0, "brief, departing within 1 s"),
        ("loss_5_percent", 3.0, "design I8"),
        ("holder_cut_off", 3.0, "design I8"),
    ];
    for ((name, bound, source), maximum) in cases.into_iter().zip(maximum) {
        rows.push(Row::new(
            format!("gossip.departing_known_everywhere.{name}"),
            maximum.as_secs_f64(),
            "s",
            Bound::AtMost(bound),
            source,
        ));
    }
}

/// Measures the time from the application of a configuration on all VMs until each VM knows that all have applied it.
fn config_everywhere(seed: u64, trials: u64) -> Row {
    let mut maximum = Duration::ZERO;
    for trial in 0..trials {
        let mut network = build(seed ^ trial, TARGET_REGIONS);
        network.faults = Faults {
            loss: 0.05,
            ..Faults::default()
        };
        let ids = network.ids();
        for id in &ids {
            publish_vm(&mut network, *id, 2);
        }
        let time = run_until(&mut network, |network, id| {
            let applied = network.with_node(id, |gossip, now| gossip.min_applied_index(&ids, now));
            applied.is_some_and(|applied| applied >= 2)
        });
        maximum = maximum.max(time);
    }
    Row::new(
        "gossip.config_known_in_force_everywhere.34_vms_loss_5_percent",
        maximum.as_secs_f64(),
        "s",
        Bound::AtMost(11.0),
        "design I10",
    )
}

/// Measures the share of VM pairs in which the entry of one is recent enough for the other to use, with message loss.
fn usable_under_loss(seed: u64) -> Row {
    let mut network = build(seed, TARGET_REGIONS);
    network.faults.loss = 0.05;
    network.run(WARM_UP);
    let ids = network.ids();
    let (mut usable, mut all) = (0_u32, 0_u32);
    for _ in 0..200 {
        network.run(Duration::from_millis(100));
        for id in &ids {
            let is_fresh = |vm: &id::VmId, network: &mut Network| {
                let age = network.with_node(*id, |gossip, now| gossip.vm_age(*vm, now));
                age.is_some_and(|age| age < gossip::USABLE_AGE)
            };
            usable += ids.iter().filter(|vm| is_fresh(vm, &mut network)).count() as u32;
            all += ids.len() as u32;
        }
    }
    Row::new(
        "gossip.usable_share.34_vms_loss_5_percent",
        f64::from(usable) / f64::from(all),
        "share",
        Bound::None,
        "design 5, remote targets drop after 2.5 s",
    )
}

/// Measures the time until a restarted VM without state has received 1,000 targets, and the largest message meanwhile.
fn restart(seed: u64, rows: &mut Vec<Row>) {
    let mut network = build(seed, TARGET_REGIONS);
    let ids = network.ids();
    let targets = 1000;
    for target in 0..targets {
        announce(
            &mut network,
            ids[1 + target % (ids.len() - 1)],
            target as id::TargetId,
        );
    }
    network.run(WARM_UP);
    network.restart(ids[0]);
    let first = ids[0];
    let time = run_until(&mut network, |network, id| {
        let held = network.with_node(id, |gossip, now| gossip.targets(now).len());
        id != first || held == targets
    });
    rows.push(Row::new(
        "gossip.targets_known_after_restart.1000_targets",
        time.as_secs_f64(),
        "s",
        Bound::AtMost(11.0),
        "design I10, ready within the bound",
    ));
    rows.push(Row::new(
        "gossip.largest_message.1000_targets",
        network.largest as f64,
        "B",
        Bound::AtMost(1_048_576.0),
        "design 4, frames up to 1 MiB",
    ));
}

const _: () = assert!(gossip::USABLE_AGE.as_millis() < 3000);
