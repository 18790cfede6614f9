//! Cost of soft state: gossip by VMs and targets, and reports of demand by changed teams.

use std::time::{Duration, Instant};

use bronzespoke_control::{demand, escrow};
use bronzespoke_daemon::peer::wire;
use bronzespoke_gossip::{Key, Message, Value};
use bronzespoke_model::{id, resource, target};

use crate::{count, line, replication, state};

#[path = "../../../gossip/tests/network/mod.rs"]
#[allow(dead_code, missing_docs, reason = "the tests of gossip use the rest")]
mod network;

use network::Network;

const REGIONS: [id::RegionId; 17] = [0, 0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4, 4, 5, 5];
const SECONDS: u64 = 6;

/// Cost of gossip and of reports of demand.
#[derive(Debug)]
pub struct Fits {
    /// Maximum bytes per second that a VM sends, by VMs and by targets.
    pub sent: [line::Line; 2],
    /// Maximum bytes per second that a VM receives, by VMs and by targets.
    pub received: [line::Line; 2],
    /// Microseconds per second of one VM, by VMs and by targets.
    pub micros: [line::Line; 2],
    /// Bytes per second between regions, by VMs and by targets.
    pub remote: [line::Line; 2],
    /// Cost of reports of demand.
    pub demand: Demand,
}

/// Cost of reports of demand, by teams per second whose demand changes in each zone.
#[derive(Debug)]
pub struct Demand {
    /// Bytes of a report, which each zone sends once per second.
    pub report: line::Line,
    /// Bytes of the receipt for a report.
    pub receipt: f64,
    /// Microseconds per second of a zone leader.
    pub zone_micros: line::Line,
    /// Microseconds per second of the root leader, for reports of all zones and two reads of the complete demand.
    pub root_micros: line::Line,
    /// Bytes of memory of the root leader's table, by team entries of all zones.
    pub memory: line::Line,
}

/// Measured values of one run, per second.
#[derive(Debug, Clone, Copy)]
struct Second {
    sent: f64,
    received: f64,
    micros: f64,
    remote: f64,
}

fn frame_size(message: &Message) -> usize {
    replication::frame_bytes(wire::Body::Gossip(message.clone()))
}

fn build(zones: usize) -> Network {
    let mut network = Network::new(1, &REGIONS[..zones]);
    network.message_size = frame_size;
    for id in network.ids() {
        network.with_node(id, |gossip, now| {
            let value = Value::Vm {
                applied: 1,
                version: 1,
                ready: true,
            };
            gossip.set(now, Key::Vm(id), value).expect("the table has space");
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
            .with_node(id, |gossip, now| gossip.set(now, Key::Target(number), value))
            .expect("the table has space");
    }
}

fn update_loads(network: &mut Network, targets: u64, round: u64) {
    let ids = network.ids();
    for number in 0..targets {
        let value = Value::Load(((number + round) % 8) as u32);
        let id = ids[number as usize % ids.len()];
        network
            .with_node(id, |gossip, now| gossip.set(now, Key::Load(number), value))
            .expect("the table has space");
    }
}

/// Teams and zones at the target size.
const TEAMS: u32 = 640;
const ZONES: id::AvailabilityZoneId = 17;

/// Records the demand of all teams of a zone; that of `count` teams has changed by more than the rounding.
fn set_demand(reporter: &mut demand::Reporter, teams: u32, first: u32, count: u32, round: u32) {
    // Zones rarely release anything, and a released total that is already recorded is not evaluated again.
    let released = escrow::Total::ZERO;
    for team in 0..teams {
        let changed = (team + teams - first % teams) % teams < count;
        let tasks = if changed { 1 + round % 90 } else { 1 };
        reporter.set(team, resource::Amount::new(1000 * tasks, 2048, 0), released);
    }
}

/// Creates a table that has received the demand of all teams in all zones, and the reporters of the zones.
fn build_table(teams: u32) -> (demand::Table, Vec<demand::Reporter>, Duration) {
    let mut table = demand::Table::new(Duration::ZERO);
    let mut reporters: Vec<_> = (1..=ZONES)
        .map(|zone| demand::Reporter::new(zone, 1, Duration::ZERO))
        .collect();
    let mut now = Duration::ZERO;
    for _ in 0..=(2 * teams as usize).div_ceil(demand::MAX_ENTRIES) {
        now += demand::REPORT_INTERVAL;
        for reporter in &mut reporters {
            set_demand(reporter, teams, 0, 0, 0);
            exchange(reporter, &mut table, now);
        }
    }
    (table, reporters, now)
}

/// Delivers a report and its receipt, and returns their sizes in bytes.
fn exchange(reporter: &mut demand::Reporter, table: &mut demand::Table, now: Duration) -> (usize, usize) {
    let report = reporter.report(now, 1).expect("a report is due");
    let receipt = table.receive(now, &report).expect("the term is the only one");
    reporter.acknowledge(1, &receipt);
    (
        replication::frame_bytes(wire::Body::Demand(report)),
        replication::frame_bytes(wire::Body::DemandReceipt(receipt)),
    )
}

fn demand() -> Demand {
    let state = state::root_state(TEAMS);
    let mut receipt = 0.0;
    let points = [0, 12, 24, 48].map(|changes| {
        let (mut table, mut reporters, mut now) = build_table(TEAMS);
        let (mut bytes, mut zone_micros, mut root_micros) = (0, 0.0, 0.0);
        for second in 0..SECONDS as u32 {
            now += demand::REPORT_INTERVAL;
            let started = Instant::now();
            for reporter in &mut reporters {
                set_demand(reporter, TEAMS, second * changes, changes, second + 20);
            }
            zone_micros += started.elapsed().as_secs_f64() * 1e6 / f64::from(ZONES);
            let started = Instant::now();
            for reporter in &mut reporters {
                let (report, receipt_bytes) = exchange(reporter, &mut table, now);
                bytes += report;
                receipt = receipt_bytes as f64;
            }
            for _ in 0..2 {
                drop(table.demand(now, &state));
                drop(table.released(&state));
            }
            root_micros += started.elapsed().as_secs_f64() * 1e6;
        }
        let seconds = SECONDS as f64;
        let bytes = bytes as f64 / f64::from(ZONES) / seconds;
        (
            f64::from(changes),
            [bytes, zone_micros / seconds, root_micros / seconds],
        )
    });
    let fit = |name: &str, unit: &str, number: usize| {
        let points: Vec<_> = points.iter().map(|(x, values)| (*x, values[number])).collect();
        line::fit(name, "teams that changed in the zone in a second", unit, &points)
    };
    Demand {
        report: fit("bytes of a report of demand", "B", 0),
        receipt,
        zone_micros: fit("time of a zone leader for reports of demand", "µs/s", 1),
        root_micros: fit("time of the root leader for reports of demand", "µs/s", 2),
        memory: memory(),
    }
}

/// Runs the network in rounds of half a second, the interval of the daemon's maintenance.
fn run(mut network: Network, mut change: impl FnMut(&mut Network, u64)) -> Second {
    network.run(Duration::from_secs(5));
    network.sent.clear();
    let started = Instant::now();
    for round in 0..SECONDS * 2 {
        change(&mut network, round);
        network.run(Duration::from_millis(500));
    }
    let vms = network.nodes.len() as f64;
    let micros = started.elapsed().as_secs_f64() * 1e6 / SECONDS as f64 / vms;
    let max_bytes = |side: &dyn Fn(&(id::VmId, id::VmId)) -> id::VmId| {
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
        sent: max_bytes(&|(from, _)| *from),
        received: max_bytes(&|(_, to)| *to),
        micros,
        remote: remote as f64 / SECONDS as f64,
    }
}

/// Runs the measurements of this module, prints them, and returns the fitted lines.
pub fn measure() -> Fits {
    line::print_heading("Soft state (`crates/gossip`, frames of `crates/daemon/src/peer/wire.rs`)");
    let vms = [3, 6, 10, 17].map(|zones| (2.0 * zones as f64, run(build(zones), |_, _| {})));
    let targets = [50, 200, 500, 1000].map(|targets| {
        let mut network = build(17);
        announce(&mut network, targets);
        let second = run(network, |network, round| {
            if round % 2 == 0 {
                update_loads(network, targets, round);
            }
        });
        (targets as f64, second)
    });
    let series: [(&str, &[(f64, Second)]); 2] = [
        ("VMs, idle", &vms),
        ("targets with loads that change each second, 34 VMs", &targets),
    ];
    let column = |name: &str, y: &str, value: &dyn Fn(&Second) -> f64| {
        series.map(|(x, points)| {
            let points: Vec<_> = points.iter().map(|(x, second)| (*x, value(second))).collect();
            line::fit(name, x, y, &points)
        })
    };
    Fits {
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
        demand: demand(),
    }
}

fn memory() -> line::Line {
    let points = [80, 160, 320, 640].map(|count: u32| {
        let bytes = count::memory(|| build_table(count).0);
        (f64::from(count) * f64::from(ZONES), bytes)
    });
    line::fit(
        "memory of the root leader's table of demand",
        "team entries of all zones",
        "B",
        &points,
    )
}
