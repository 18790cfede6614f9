//! Soft state: bytes and time by VMs, targets and changed team entries; memory by entries.

use std::time::{Duration, Instant};

use bronzespoke_daemon::peer::wire;
use bronzespoke_gossip::{Key, Message, Value};
use bronzespoke_model::{id, resource, target};

use crate::{count, line, replication};

#[path = "../../../gossip/tests/network/mod.rs"]
#[allow(dead_code, missing_docs, reason = "the tests of gossip use the rest")]
mod network;

use network::Network;

const REGIONS: [id::RegionId; 17] = [0, 0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4, 4, 5, 5];
const SECONDS: u64 = 6;

/// Slopes of soft state.
#[derive(Debug)]
pub struct Slopes {
    /// Bytes that the busiest VM sends in a second: by VMs, targets, team entries changed per zone and second.
    pub sent: [line::Line; 3],
    /// The same received.
    pub received: [line::Line; 3],
    /// Microseconds of one VM in a second.
    pub micros: [line::Line; 3],
    /// Bytes between regions in a second.
    pub remote: [line::Line; 3],
    /// Bytes of memory of one VM by team entries.
    pub memory: line::Line,
}

/// Measured in one run.
#[derive(Debug, Clone, Copy)]
struct Second {
    sent: f64,
    received: f64,
    micros: f64,
    remote: f64,
}

fn meter(message: &Message) -> usize {
    replication::frame_bytes(wire::Body::Gossip(message.clone()))
}

fn build(zones: usize) -> Network {
    let mut network = Network::new(1, &REGIONS[..zones]);
    network.meter = meter;
    for id in network.ids() {
        network.on(id, |gossip, now| {
            let value = Value::Vm {
                applied: 1,
                version: 1,
                ready: true,
            };
            gossip.set(now, Key::Vm(id), value).expect("the table has room");
        });
    }
    network
}

fn announce(network: &mut Network, targets: u64) {
    let ids = network.ids();
    for number in 0..targets {
        let id = ids[number as usize % ids.len()];
        let place = network.nodes[&id].place;
        let announcement = target::Announcement {
            target: number,
            incarnation: 1,
            service: String::from("checks"),
            address: ([10, 0, 0, 1], 8080).into(),
            slots: 8,
            connections: 64,
        };
        let value = Value::Target { announcement, place };
        network
            .on(id, |gossip, now| gossip.set(now, Key::Target(number), value))
            .expect("the table has room");
    }
}

fn load(network: &mut Network, targets: u64, round: u64) {
    let ids = network.ids();
    for number in 0..targets {
        let value = Value::Load(((number + round) % 8) as u32);
        let id = ids[number as usize % ids.len()];
        network
            .on(id, |gossip, now| gossip.set(now, Key::Load(number), value))
            .expect("the table has room");
    }
}

/// Publishes new demand of some teams from the first VM of each zone.
fn teams(network: &mut Network, first: u32, count: u32, round: u64) {
    for id in network
        .ids()
        .into_iter()
        .filter(|id| is_first(network, *id))
        .collect::<Vec<_>>()
    {
        let zone = network.nodes[&id].place.zone;
        network.on(id, |gossip, now| {
            for team in (first..first + count).map(|team| team % 640) {
                let value = Value::Released {
                    term: 3,
                    released: [1_000_000, 2_000_000, 0],
                    wanted: resource::Amount::new(1000 * (1 + round as u32 % 90), 2048, 0),
                };
                gossip
                    .set(now, Key::Released(zone, team), value)
                    .expect("the table has room");
            }
        });
    }
}

fn is_first(network: &Network, id: id::VmId) -> bool {
    let zone = network.nodes[&id].place.zone;
    network
        .nodes
        .iter()
        .find(|(_, node)| node.place.zone == zone)
        .map(|(first, _)| *first)
        == Some(id)
}

/// Runs rounds of half a second, as the duties of the daemon do.
fn run(mut network: Network, mut change: impl FnMut(&mut Network, u64)) -> Second {
    network.run(Duration::from_secs(5));
    network.sent.clear();
    let begun = Instant::now();
    for round in 0..SECONDS * 2 {
        change(&mut network, round);
        network.run(Duration::from_millis(500));
    }
    let vms = network.nodes.len() as f64;
    let micros = begun.elapsed().as_secs_f64() * 1e6 / SECONDS as f64 / vms;
    let most = |side: &dyn Fn(&(id::VmId, id::VmId)) -> id::VmId| {
        let sum = |id: id::VmId| -> u64 {
            network
                .sent
                .iter()
                .filter(|(pair, _)| side(pair) == id)
                .map(|(_, (_, bytes))| bytes)
                .sum()
        };
        network.nodes.keys().map(|id| sum(*id)).max().unwrap_or(0) as f64 / SECONDS as f64
    };
    let region = |id: &id::VmId| network.nodes[id].place.region;
    let remote: u64 = network
        .sent
        .iter()
        .filter(|((from, to), _)| region(from) != region(to))
        .map(|(_, (_, bytes))| bytes)
        .sum();
    Second {
        sent: most(&|(from, _)| *from),
        received: most(&|(_, to)| *to),
        micros,
        remote: remote as f64 / SECONDS as f64,
    }
}

/// Measures and prints.
pub fn measure() -> Slopes {
    line::head("Soft state (`crates/gossip`, frames of `crates/daemon/src/peer/wire.rs`)");
    let vms = [3, 6, 10, 17].map(|zones| (2.0 * zones as f64, run(build(zones), |_, _| {})));
    let targets = [50, 200, 500, 1000].map(|targets| {
        let mut network = build(17);
        announce(&mut network, targets);
        let second = run(network, |network, round| {
            if round % 2 == 0 {
                load(network, targets, round);
            }
        });
        (targets as f64, second)
    });
    let changes = [0, 10, 40, 80, 160].map(|changes| {
        let mut network = build(17);
        teams(&mut network, 0, 640, 0);
        let second = run(network, |network, round| {
            teams(network, round as u32 * changes / 2, changes / 2, round + 1);
        });
        (f64::from(changes), second)
    });
    let series: [(&str, &[(f64, Second)]); 3] = [
        ("VMs, idle", &vms),
        ("targets with loads that change each second, 34 VMs", &targets),
        ("team entries changed per zone and second, 34 VMs", &changes),
    ];
    let column = |name: &str, y: &str, value: &dyn Fn(&Second) -> f64| {
        series.map(|(x, points)| {
            let points: Vec<_> = points.iter().map(|(x, second)| (*x, value(second))).collect();
            line::fit(name, x, y, &points)
        })
    };
    Slopes {
        sent: column("bytes sent by the busiest VM", "B/s", &|second| second.sent),
        received: column("bytes received by the busiest VM", "B/s", &|second| {
            second.received
        }),
        micros: column(
            "time of one VM, with the simulated network and its metering",
            "µs/s",
            &|second| second.micros,
        ),
        remote: column("bytes between regions", "B/s", &|second| second.remote),
        memory: memory(),
    }
}

fn memory() -> line::Line {
    let points = [80, 160, 320, 640].map(|count: u32| {
        let bytes = count::memory(|| {
            let mut network = build(17);
            teams(&mut network, 0, count, 0);
            network.run(Duration::from_secs(5));
            network.sent.clear();
            network
        });
        (f64::from(count) * 17.0, bytes / 34.0)
    });
    line::fit(
        "memory of one VM's table",
        "team entries of all zones",
        "B",
        &points,
    )
}
