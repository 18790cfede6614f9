//! Computes the cost of each role at the target size, and of daemons that combine several roles.

use std::ops::Add;

use bronzespoke_control::demand;

use crate::{daemons, line::short, links, replication, reports, scheduler, soft, state};

const ZONES: f64 = 17.0;
const VMS: f64 = 34.0;
const WORKERS: f64 = 2800.0 / ZONES;
const RUNNING: f64 = 17_000.0 / ZONES;
const RUNNING_PER_WORKER: f64 = 17_000.0 / 2800.0;
const STARTS: f64 = 2500.0 / ZONES;
/// Retained jobs: ended jobs are kept for 24 hours.
const ENDED_JOBS: f64 = 13_000.0 / ZONES;
/// Submissions per second, spread over the day.
const SUBMISSIONS: f64 = 13_000.0 / 86_400.0 / ZONES;
/// Waiting tasks: the queue of design section 1.8, divided among the zones.
const WAITING: f64 = 100_000.0 / ZONES;
const TEAMS: f64 = 640.0;
/// Changes of the root state per second, 3,600 per day.
const CHANGES: f64 = 3600.0 / 86_400.0;
const TARGETS: f64 = 1000.0;
const REPORT_INTERVAL_SECONDS: f64 = 3.0;
/// Bytes of the HTTP/2 frame that resets a request whose response is no longer needed.
const RESET_BYTES: f64 = 13.0;
/// Assumed fraction of runs whose usage changes by enough that a report without starts lists them again.
const CHANGED_USAGE: f64 = 0.5;
/// Capacities of the tables in `crates/control/src/zone/claims.rs` and `crates/control/src/dedupe.rs`.
const REQUEST_IDS: f64 = 49_152.0;
const COMMAND_IDS: f64 = 65_536.0;
/// `ENTRIES_PER_SNAPSHOT` of `crates/daemon/src/control/member.rs` and `RETAINED_ENTRIES` of
/// `crates/consensus/src/replica/config.rs`.
const ENTRIES_PER_SNAPSHOT: f64 = 8192.0;
const MAX_LOG_ENTRIES: f64 = ENTRIES_PER_SNAPSHOT + 4096.0;
/// Log entries per second into which starts and ends are batched at peak, by `ROUTINE_DELAY` of `crates/control/src/batch.rs`.
const ENTRIES: f64 = 10.0;
/// Polls of the feed per second.
const POLLS: f64 = 2.0;
/// Rounds of leader maintenance per second, by `INTERVAL` of `crates/daemon/src/control/maintenance.rs`.
const MAINTENANCE_ROUNDS: f64 = 2.0;

/// Sum of `MAX_OPEN_BYTES`, `MAX_ENDED_BYTES` and `MAX_RESPONSES_BYTES` of `crates/control/src/zone`.
const TABLE_BYTES: f64 = 32.0 * 1024.0 * 1024.0;

const MAX_CORE_PERCENT: f64 = 1.9;
const MAX_MEGABYTES: f64 = 64.0;
const MAX_BYTES_PER_SECOND: f64 = 24_000.0;

/// Linear fits of the measured costs, from which the cost of roles is computed.
#[derive(Debug)]
pub struct Fits {
    /// Scheduler of a zone.
    pub scheduler: scheduler::Fits,
    /// State of a zone group.
    pub state: state::ZoneFits,
    /// State of the root group.
    pub root: state::RootFits,
    /// Replication and the feed.
    pub replication: replication::Fits,
    /// Announcements and frames between daemons.
    pub links: links::Fits,
    /// Workers' reports and their responses.
    pub reports: reports::Fits,
    /// Gossip and reports of demand.
    pub soft: soft::Fits,
    /// Complete daemons.
    pub daemons: daemons::Fits,
}

/// Cost of a role: bytes and processor time per second, and bytes of memory.
#[derive(Debug, Clone, Copy, Default)]
struct Cost {
    sent: f64,
    received: f64,
    micros: f64,
    bytes: f64,
}

impl Add for Cost {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            sent: self.sent + rhs.sent,
            received: self.received + rhs.received,
            micros: self.micros + rhs.micros,
            bytes: self.bytes + rhs.bytes,
        }
    }
}

impl Fits {
    /// Returns the microseconds to encode and write outgoing frames, and to read and decode incoming ones. Each side is
    /// charged half of the measured time of a write with its read.
    fn frames(&self, out: f64, bytes_out: f64, inward: f64, bytes_in: f64) -> f64 {
        let size = |frames: f64, bytes: f64| if frames > 0.0 { bytes / frames } else { 0.0 };
        let (size_out, size_in) = (size(out, bytes_out), size(inward, bytes_in));
        out * (self.links.codec[0].at(size_out) + self.links.socket.at(size_out) / 2.0)
            + inward * (self.links.codec[1].at(size_in) + self.links.socket.at(size_in) / 2.0)
    }

    fn traffic(&self, traffic: replication::Traffic, micros: f64, bytes: f64) -> Cost {
        let frames = self.frames(
            traffic.frames_out,
            traffic.bytes_out,
            traffic.frames_in,
            traffic.bytes_in,
        );
        Cost {
            sent: traffic.bytes_out,
            received: traffic.bytes_in,
            micros: micros + frames,
            bytes,
        }
    }

    fn announcements(&self) -> Cost {
        let bytes = (VMS - 1.0) * self.links.hello.at(1.0);
        Cost {
            sent: bytes,
            received: bytes,
            micros: self.frames(VMS - 1.0, bytes, VMS - 1.0, bytes),
            bytes: 0.0,
        }
    }

    /// Gossip with a number of targets, all of whose loads change.
    fn gossip(&self, targets: f64) -> Cost {
        let total = |lines: &[crate::line::Line; 2]| lines[0].at(VMS) + lines[1].slope * targets;
        Cost {
            sent: total(&self.soft.sent),
            received: total(&self.soft.received),
            micros: total(&self.soft.micros),
            bytes: 0.0,
        }
    }

    /// Reports of demand at a zone leader, and at the root leader, which leads a zone as well.
    fn demand(&self, changed: f64) -> [Cost; 2] {
        let demand = &self.soft.demand;
        let report = demand.report.at(changed);
        let others = ZONES - 1.0;
        let zone = Cost {
            sent: report,
            received: demand.receipt,
            micros: demand.zone_micros.at(changed) + self.frames(1.0, report, 1.0, demand.receipt),
            bytes: 0.0,
        };
        let (sent, received) = (others * demand.receipt, others * report);
        let root = Cost {
            sent,
            received,
            micros: demand.root_micros.at(changed) + self.frames(others, sent, others, received),
            bytes: demand.memory.at(TEAMS * ZONES),
        };
        [zone, root]
    }

    fn root_state(&self) -> f64 {
        self.root.memory.at(TEAMS) + self.replication.memory.at(MAX_LOG_ENTRIES)
    }

    fn learner(&self) -> Cost {
        let (sent, received) = (
            POLLS * self.replication.feed[0].at(200_000.0),
            POLLS * self.replication.feed[1].at(CHANGES / POLLS),
        );
        Cost {
            sent,
            received,
            micros: self.frames(POLLS, sent, POLLS, received) + CHANGES * self.root.change.at(TEAMS),
            bytes: self.root.memory.at(TEAMS),
        }
    }

    fn root_voter(&self) -> Cost {
        let idle = self.replication.idle[1].at(ZONES);
        let micros = self.replication.micros[1].at(0.0) + CHANGES * self.root.change.at(TEAMS);
        let served = self.learner();
        let cost = self.traffic(idle, micros, self.root_state());
        Cost {
            sent: cost.sent + served.received,
            received: cost.received + served.sent,
            micros: cost.micros + served.micros,
            bytes: cost.bytes,
        }
    }

    fn root_leader(&self) -> Cost {
        let mut traffic = self.replication.idle[0].at(ZONES);
        let entry =
            self.replication.loaded[0].at(1.0).bytes_out - self.replication.loaded[0].at(0.0).bytes_out;
        traffic.bytes_out += CHANGES * entry / 2.0 * (ZONES - 1.0);
        let maintenance = MAINTENANCE_ROUNDS * self.root.rebalance.at(TEAMS);
        let micros =
            self.replication.idle_micros.at(ZONES) + CHANGES * self.root.change.at(TEAMS) + maintenance;
        self.traffic(traffic, micros, self.root_state())
    }

    fn zone_state(&self) -> f64 {
        let by = &self.state.memory;
        let sizes = [RUNNING, ENDED_JOBS, REQUEST_IDS, COMMAND_IDS, TEAMS];
        let fixed = by[4].fixed;
        fixed
            + by.iter()
                .zip(sizes)
                .map(|(line, size)| line.slope * size)
                .sum::<f64>()
            + self.replication.memory.at(MAX_LOG_ENTRIES)
    }

    /// Returns the microseconds per second to apply starts and ends, and to encode the snapshots that log growth causes.
    fn apply(&self, starts: f64) -> f64 {
        let snapshots = 2.0 * starts / ENTRIES_PER_SNAPSHOT;
        let encode = self.encode();
        SUBMISSIONS * self.state.submit.at(RUNNING)
            + starts * self.state.start_and_end.at(RUNNING)
            + snapshots * encode
    }

    /// Returns the microseconds to encode a snapshot of a zone with full id tables.
    fn encode(&self) -> f64 {
        by_tables(&self.state.encode)
    }

    fn zone_leader(&self, starts: f64) -> Cost {
        if starts == 0.0 {
            return self.traffic(
                self.replication.idle[0].at(3.0),
                self.replication.idle_micros.at(3.0),
                self.zone_state(),
            );
        }
        let micros = self.replication.micros[0].at(ENTRIES) + self.apply(starts);
        let mut traffic = self.replication.loaded[0].at(ENTRIES);
        traffic.bytes_out = self.replication.batched.at(ENTRIES);
        self.traffic(traffic, micros, self.zone_state())
    }

    fn zone_follower(&self, starts: f64) -> Cost {
        if starts == 0.0 {
            return self.traffic(
                self.replication.idle[1].at(3.0),
                self.replication.micros[1].at(0.0),
                self.zone_state(),
            );
        }
        let micros = self.replication.micros[1].at(ENTRIES) + self.apply(starts);
        let mut traffic = self.replication.loaded[1].at(ENTRIES);
        traffic.bytes_in = self.replication.batched.at(ENTRIES) / 2.0;
        self.traffic(traffic, micros, self.zone_state())
    }

    fn scheduler(&self, starts: f64) -> Cost {
        let memory = &self.scheduler.memory;
        let sizes = [WORKERS, TEAMS, WAITING, RUNNING];
        let bytes = memory[0].fixed
            + memory
                .iter()
                .zip(sizes)
                .map(|(line, size)| line.slope * size)
                .sum::<f64>();
        Cost {
            micros: starts * self.scheduler.placement[0].at(WORKERS),
            bytes,
            ..Cost::default()
        }
    }

    /// Reports of all workers of a zone. With starts, the rate of responses is as measured in the loaded zone. A report
    /// follows each response, and is replaced at most once, by a report that lists an end.
    fn reports(&self, starts: f64) -> Cost {
        let idle = WORKERS / REPORT_INTERVAL_SECONDS;
        let loaded = &self.daemons.loaded;
        let responses = idle.max(starts * loaded.responses / loaded.starts);
        let replaced = if starts > 0.0 { responses } else { 0.0 };
        let reports = responses + replaced;
        let changed = WORKERS / REPORT_INTERVAL_SECONDS * RUNNING_PER_WORKER * CHANGED_USAGE + starts;
        let [runs, ends] = &self.reports.report;
        let received =
            reports * runs.fixed + changed * runs.slope + starts * ends.slope + replaced * RESET_BYTES;
        let sent = responses * self.reports.response.fixed + starts * self.reports.response.slope;
        // The reports of idle workers are empty, so listed runs and the scheduler's work for them are added.
        let micros = reports * self.daemons.workers.slope * REPORT_INTERVAL_SECONDS
            + (changed + starts) * self.reports.micros[0].slope
            + starts * self.reports.micros[1].slope
            + reports * RUNNING_PER_WORKER * self.scheduler.report.slope;
        Cost {
            sent,
            received,
            micros,
            bytes: 0.0,
        }
    }

    /// Threads, timers, sockets and periodic messages of a daemon without load.
    fn daemon(&self) -> Cost {
        Cost {
            micros: self.daemons.idle.at(VMS),
            ..Cost::default()
        }
    }
}

fn by_tables(lines: &[crate::line::Line; 3]) -> f64 {
    let sizes = [ENDED_JOBS, REQUEST_IDS, COMMAND_IDS];
    lines[0].fixed
        + lines
            .iter()
            .zip(sizes)
            .map(|(line, size)| line.slope * size)
            .sum::<f64>()
}

fn print_role(name: &str, cost: Cost) {
    println!(
        "| {name} | {} | {} | {} | {} |",
        short(cost.sent),
        short(cost.received),
        short(cost.micros / 1e4),
        short(cost.bytes / 1e6)
    );
}

fn compare(name: &str, value: f64, bound: f64, unit: &str) -> String {
    let holds = if value <= bound { "holds" } else { "DOES NOT HOLD" };
    format!(
        "{name} {} of {bound} {unit} ({:.2} x), {holds}",
        short(value),
        value / bound
    )
}

fn print_total(name: &str, roles: &[Cost]) {
    let cost = roles.iter().copied().fold(Cost::default(), Cost::add);
    println!(
        "| {name} | {} | {} | {} | {} |",
        compare("sent", cost.sent, MAX_BYTES_PER_SECOND, "B/s"),
        compare("received", cost.received, MAX_BYTES_PER_SECOND, "B/s"),
        compare("CPU", cost.micros / 1e4, MAX_CORE_PERCENT, "% of a core"),
        compare("memory", cost.bytes / 1e6, MAX_MEGABYTES, "MB"),
    );
}

/// Returns an upper estimate of the teams per second whose demand changes in a zone: ends are spread evenly over the
/// teams, and each end changes the demand by more than the rounding.
fn changed_teams(ends: f64) -> f64 {
    let changed = TEAMS * (1.0 - (1.0 - 1.0 / TEAMS).powf(ends));
    changed.min(demand::MAX_ENTRIES as f64)
}

/// Prints the cost of roles and daemons, without load and at peak load.
pub fn print(fits: &Fits) {
    for (name, starts) in [
        ("no starts", 0.0),
        ("peak, 147 starts and ends a second in each zone", STARTS),
    ] {
        let changed = changed_teams(starts);
        let targets = if starts > 0.0 { TARGETS } else { 0.0 };
        let announcements = fits.announcements();
        let idle = fits.gossip(0.0);
        let gossip = fits.gossip(targets);
        let [zone_demand, root_demand] = fits.demand(changed);
        let (learner, voter, leader) = (fits.learner(), fits.root_voter(), fits.root_leader());
        let (follower, zone_leader) = (fits.zone_follower(starts), fits.zone_leader(starts));
        let (scheduler, reports) = (fits.scheduler(starts), fits.reports(starts));
        println!("\n### Roles, {name}\n");
        println!(
            "| role | sent, B/s | received, B/s | CPU, % of a core | memory, MB |\n| --- | --- | --- | --- | --- |"
        );
        print_role("daemon without load, measured as a whole", fits.daemon());
        print_role("announcements (every daemon)", announcements);
        print_role("gossip member, idle table", idle);
        print_role(&format!("gossip member, {targets} targets"), gossip);
        let teams = format!("{} changed teams per zone and second", short(changed));
        print_role(&format!("zone leader, demand of {teams}"), zone_demand);
        print_role(&format!("root leader, demand of {teams}"), root_demand);
        print_role("root learner", learner);
        print_role("root voter, one learner served", voter);
        print_role("root leader, 17 voters", leader);
        print_role("zone follower or witness", follower);
        print_role("zone leader, log and state", zone_leader);
        print_role("zone leader, scheduler", scheduler);
        print_role("zone leader, workers' reports", reports);
        println!("\n### Daemons, {name}\n");
        println!("| daemon | sent | received | CPU | memory |\n| --- | --- | --- | --- | --- |");
        let all = fits.daemon() + announcements + gossip;
        print_total("entry: zone follower, root learner", &[all, learner, follower]);
        print_total(
            "entry: zone follower and witness, root voter",
            &[all, voter, follower, follower],
        );
        print_total(
            "entry: zone leader, root learner",
            &[all, learner, zone_leader, zone_demand, scheduler, reports],
        );
        // A zone's witness is the nearest VM with the lowest id, so one VM may be the witness of two other zones.
        let leads = leader + root_demand + zone_leader + scheduler;
        let busiest = [all, leads, reports, follower, follower];
        print_total("entry: zone leader, witness of two zones, root leader", &busiest);
        let remaining = [all, leads, follower, follower];
        print_total("the same without workers' reports", &remaining);
        let remote = fits.soft.remote[0].at(VMS)
            + fits.soft.remote[1].slope * targets
            + (ZONES - 1.0) * (zone_demand.sent + zone_demand.received);
        println!(
            "\nSoft state between all regions together: {} B/s.",
            short(remote)
        );
    }
    println!(
        "\nSnapshot of a zone at the target size with full id tables and no answers: {} bytes, {} ms to encode, {} ms to \
         decode and verify.",
        short(by_tables(&fits.state.snapshot)),
        short(by_tables(&fits.state.encode) / 1000.0),
        short(by_tables(&fits.state.decode) / 1000.0),
    );
    let tables = TABLE_BYTES / 1e6;
    let without_tables =
        (fits.root_leader().bytes + 3.0 * fits.zone_state() + fits.scheduler(0.0).bytes) / 1e6;
    println!(
        "\nWith the tables of open jobs, ended jobs and answers at their bounds, each replica of a zone takes up to {} MB \
         more; with three replicas that makes {} MB.",
        short(tables),
        short(3.0f64.mul_add(tables, without_tables)),
    );
    println!(
        "\nLeader of a zone with {} starts and ends a second, bytes sent for the log: {} with an entry for each, {} with \
         10 entries a second.",
        short(2.0 * STARTS),
        short(fits.replication.batched.at(2.0 * STARTS)),
        short(fits.replication.batched.at(10.0)),
    );
}
