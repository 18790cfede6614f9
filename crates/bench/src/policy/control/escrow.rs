//! Allotments of upper limits that follow a shifting demand, compared with fixed allotments.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_control::{demand, envelope, root, zone};
use bronzespoke_model::{id, job, resource::Amount, task};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{NOW_MS, TEAMS, ZONES, Zone, apply, build_root};
use crate::measure::{Bound, Length, Row};

/// Teams of the simulated cell.
const ESCROW_TEAMS: u32 = 20;
/// Upper limit of each team, in tasks.
const ESCROW_LIMIT: u32 = 170;
/// Seconds that a task takes.
const TASK_SECONDS: u64 = 30;

/// Zones that start tasks to meet a demand, under allotments from the root state or under fixed ones.
struct Simulation {
    root: root::State,
    zones: Vec<Zone>,
    /// Job of each team and zone, with the index of its next task to start.
    jobs: BTreeMap<(id::TeamId, id::AvailabilityZoneId), (id::JobId, u32)>,
    /// Running tasks with their zones, by the second at which they end.
    ends: BTreeMap<u64, Vec<(usize, task::Ref)>>,
    reporters: Vec<demand::Reporter>,
    table: demand::Table,
    report_bytes: usize,
    log_bytes: usize,
    second: u64,
}

impl Simulation {
    fn new(seed: u64, rebalanced: bool) -> Self {
        let limit = Amount::new(ESCROW_LIMIT * 1000, ESCROW_LIMIT, 0);
        let allotment = if rebalanced {
            Amount::ZERO
        } else {
            Amount::new(limit.cpu_milli / ZONES as u32, limit.memory_mib / ZONES as u32, 0)
        };
        let mut simulation = Self {
            root: build_root(seed, ESCROW_TEAMS, ZONES as u16, limit),
            zones: (1..=ZONES as u16)
                .map(|zone| Zone::new(zone, 8, ESCROW_TEAMS, allotment))
                .collect(),
            jobs: BTreeMap::new(),
            ends: BTreeMap::new(),
            reporters: (1..=ZONES as u16)
                .map(|zone| demand::Reporter::new(zone, 1, Duration::ZERO))
                .collect(),
            table: demand::Table::new(Duration::ZERO),
            report_bytes: 0,
            log_bytes: 0,
            second: 0,
        };
        for team in 1..=ESCROW_TEAMS {
            for (number, zone) in simulation.zones.iter_mut().enumerate() {
                let job = zone.submit(team, job::Kind::Service, job::MAX_TASKS);
                simulation.jobs.insert((team, number as u16 + 1), (job, 0));
            }
        }
        simulation
    }

    fn running(&self, team: id::TeamId, zone: usize) -> u32 {
        let used = self.zones[zone].state.holdings().get(team).used;
        (used.cpu_milli / 1000) as u32
    }

    /// Simulates one second: tasks end, zones start tasks within their allotments, and each zone exchanges one message with
    /// the root.
    fn step(&mut self, demand: &BTreeMap<(id::TeamId, id::AvailabilityZoneId), u32>, rebalanced: bool) {
        self.second += 1;
        for (zone, task) in self.ends.remove(&self.second).unwrap_or_default() {
            self.zones[zone].end(task, task::Outcome::Stopped);
        }
        for (key, demanded) in demand {
            let zone = usize::from(key.1) - 1;
            let missing = demanded.saturating_sub(self.running(key.0, zone));
            let free = self.zones[zone].state.holdings().get(key.0).free();
            let count = missing
                .min((free.cpu_milli / 1000) as u32)
                .min(free.memory_mib as u32);
            self.start(*key, count);
        }
        if rebalanced {
            self.exchange(demand);
        }
    }

    fn start(&mut self, key: (id::TeamId, id::AvailabilityZoneId), count: u32) {
        let Some((job, next)) = self.jobs.get_mut(&key) else {
            return;
        };
        let zone = usize::from(key.1) - 1;
        let first = *next % (job::MAX_TASKS - count);
        *next = first + count;
        self.zones[zone].start(*job, first..first + count, 8);
        let tasks = (first..first + count).map(|index| (zone, task::Ref { job: *job, index }));
        self.ends
            .entry(self.second + TASK_SECONDS)
            .or_default()
            .extend(tasks);
    }

    fn exchange(&mut self, demand: &BTreeMap<(id::TeamId, id::AvailabilityZoneId), u32>) {
        let view = self.root.view();
        let now = Duration::from_secs(self.second);
        for (number, zone) in self.zones.iter_mut().enumerate() {
            let id = number as u16 + 1;
            zone.apply(zone::Command::Granted(view.granted(id)));
            let released = zone.state.releases(|team| view.target(team, id));
            if !released.is_empty() {
                zone.apply(zone::Command::Release(released));
            }
            let reporter = &mut self.reporters[number];
            for ((team, _), tasks) in demand.iter().filter(|((_, zone), _)| *zone == id) {
                let released = zone.state.holdings().get(*team).released;
                reporter.set(*team, Amount::new(tasks * 1000, *tasks, 0), released);
            }
            if let Some(report) = reporter.report(now, 1)
                && let Some(receipt) = self.table.receive(now, &report)
            {
                self.report_bytes += postcard::to_stdvec(&report).map_or(0, |bytes| bytes.len());
                reporter.acknowledge(1, &receipt);
            }
        }
        for (zone, released) in self.table.released(&self.root) {
            self.log(root::Command::Released { zone, released });
        }
        let grants = root::rebalance(&self.root, &self.table.demand(now, &self.root));
        if !grants.is_empty() {
            self.log(root::Command::Grant(grants));
        }
    }

    fn log(&mut self, command: root::Command) {
        self.log_bytes += envelope::encode(&[envelope::Envelope::new(NOW_MS, command.clone())]).len();
        apply(&mut self.root, None, command);
    }
}

/// Changes the demand for the next second: every ten seconds, some teams shift their demand to another main zone.
fn shift_demand(
    random: &mut SmallRng,
    second: u64,
    demand: &mut BTreeMap<(id::TeamId, id::AvailabilityZoneId), u32>,
) {
    for team in 1..=ESCROW_TEAMS {
        let moves = second == 0 || (second.is_multiple_of(10) && random.random::<f64>() < 0.1);
        let main = random.random_range(1..=ZONES as u16);
        for zone in 1..=ZONES as u16 {
            let tasks = demand.entry((team, zone)).or_default();
            if moves {
                let max_tasks = if zone == main { ESCROW_LIMIT * 3 / 4 } else { 6 };
                *tasks = random.random_range(0..=max_tasks);
            } else if random.random::<f64>() < 0.2 {
                *tasks = tasks.saturating_add_signed(random.random_range(-1..=1));
            }
        }
    }
}

/// Returns the share of the demand within the limits that ran in the zone where it arose, and the bytes per second of
/// the root log and of the reports to the root leader.
fn demand_met(seed: u64, seconds: u64, rebalanced: bool) -> (f64, f64, f64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut simulation = Simulation::new(seed, rebalanced);
    let mut demand = BTreeMap::new();
    let (mut met, mut possible) = (0, 0);
    for second in 0..seconds {
        shift_demand(&mut random, second, &mut demand);
        simulation.step(&demand, rebalanced);
        for team in 1..=ESCROW_TEAMS {
            let demanded: u32 = (1..=ZONES as u16).map(|zone| demand[&(team, zone)]).sum();
            possible += u64::from(demanded.min(ESCROW_LIMIT));
            for zone in 0..ZONES {
                let demanded = demand[&(team, zone as u16 + 1)];
                met += u64::from(simulation.running(team, zone).min(demanded));
            }
        }
    }
    (
        met as f64 / possible as f64,
        simulation.log_bytes as f64 / seconds as f64,
        simulation.report_bytes as f64 / seconds as f64,
    )
}

/// Returns the seconds until a zone to which a team moved all its demand runs 95% of it. The tasks in the other zone
/// have ended by then, so only the messages take time, a second for each round.
fn time_to_move(seed: u64, rebalanced: bool) -> u64 {
    let mut simulation = Simulation::new(seed, rebalanced);
    let mut demand = BTreeMap::from([((1, 1), ESCROW_LIMIT), ((1, 2), 0)]);
    for _ in 0..60 {
        simulation.step(&demand, rebalanced);
    }
    let running: Vec<task::Ref> = simulation.zones[0].state.runs().map(|(task, _)| task).collect();
    for task in running {
        simulation.zones[0].end(task, task::Outcome::Stopped);
    }
    simulation.ends.clear();
    demand = BTreeMap::from([((1, 1), 0), ((1, 2), ESCROW_LIMIT)]);
    (1..=600)
        .find(|_| {
            simulation.step(&demand, rebalanced);
            simulation.running(1, 1) * 100 >= ESCROW_LIMIT * 95
        })
        .unwrap_or(600)
}

/// Adds the rows that compare rebalanced with fixed allotments.
pub(super) fn add_rows(seed: u64, length: Length, rows: &mut Vec<Row>) {
    let seconds = match length {
        Length::Short => 120,
        Length::Long => 1200,
    };
    let (fixed, _, _) = demand_met(seed, seconds, false);
    let (met, bytes, reports) = demand_met(seed, seconds, true);
    let source = "static equal split, same seed";
    rows.push(Row::new(
        "control.escrow_demand_met_locally.static_equal_split",
        fixed,
        "share",
        Bound::None,
        source,
    ));
    rows.push(Row::new(
        "control.escrow_demand_met_locally.moving_parts",
        met,
        "share",
        Bound::AtLeast(fixed),
        source,
    ));
    rows.push(Row::new(
        "control.escrow_root_log_bytes_per_second.20_teams",
        bytes,
        "B/s",
        Bound::AtMost(24_000.0 * f64::from(ESCROW_TEAMS) / f64::from(TEAMS)),
        "design 1.7, 24 KB/s for 640 teams",
    ));
    rows.push(Row::new(
        "control.demand_report_bytes_per_second.to_root_leader_20_teams",
        reports,
        "B/s",
        Bound::AtMost(24_000.0 * f64::from(ESCROW_TEAMS) / f64::from(TEAMS)),
        "design 1.7, 24 KB/s for 640 teams; reports of 17 zones without frames",
    ));
    rows.push(Row::new(
        "control.escrow_seconds_to_move.static_equal_split_capped_at_600",
        time_to_move(seed, false) as f64,
        "s",
        Bound::None,
        source,
    ));
    rows.push(Row::new(
        "control.escrow_seconds_to_move.moving_parts",
        time_to_move(seed, true) as f64,
        "s",
        Bound::AtMost(time_to_move(seed, false) as f64),
        source,
    ));
}
