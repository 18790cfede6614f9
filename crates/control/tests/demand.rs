//! Demand reports over an unreliable network, with changes of zone leaders and root leaders.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_control::{
    demand::{self, Change, Receipt, Report, Reporter, Table},
    envelope, escrow, root,
};
use bronzespoke_model::{id, resource::Amount, team, vm};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const TEAMS: u32 = 150;
const ZONES: [id::AvailabilityZoneId; 3] = [1, 2, 3];

fn total(value: u64) -> escrow::Total {
    escrow::Total::from_dimensions([value, value, 0])
}

fn root_state() -> root::State {
    let mut state = root::State::new();
    let mut apply = |command| {
        let index = state.applied() + 1;
        state.apply(index, &envelope::Envelope::new(1, command));
    };
    for zone in ZONES {
        let place = vm::Place { region: 1, zone };
        apply(root::Command::AddZone { place });
    }
    for team in 1..=TEAMS {
        let quota = team::Quota {
            weight: 1,
            limit: Amount::new(900, 900, 0),
            requests: 1,
        };
        let name = format!("team {team}");
        apply(root::Command::CreateTeam { name, quota });
    }
    state
}

fn grant(state: &mut root::State, grants: Vec<root::Grant>) {
    let index = state.applied() + 1;
    let command = root::Command::Grant(grants);
    state.apply(index, &envelope::Envelope::new(1, command));
}

/// A zone leader with its demand and its committed counters.
struct Zone {
    id: id::AvailabilityZoneId,
    term: u64,
    reporter: Reporter,
    teams: BTreeMap<id::TeamId, (Amount, u64)>,
}

impl Zone {
    fn report(&mut self, now: Duration, receiver: id::VmId) -> Option<Report> {
        for (team, (demand, released)) in &self.teams {
            self.reporter.set(*team, *demand, total(*released));
        }
        self.reporter.report(now, receiver)
    }
}

struct Cell {
    state: root::State,
    zones: Vec<Zone>,
    /// VM that leads the root group; `table` is the state of its leadership.
    leader: id::VmId,
    table: Table,
    reports: Vec<(id::VmId, Report)>,
    receipts: Vec<(id::VmId, Receipt)>,
    now: Duration,
    random: SmallRng,
}

impl Cell {
    fn new(seed: u64) -> Self {
        let zone = |id| Zone {
            id,
            term: 1,
            reporter: Reporter::new(id, 1, Duration::ZERO),
            teams: BTreeMap::new(),
        };
        Self {
            state: root_state(),
            zones: ZONES.into_iter().map(zone).collect(),
            leader: 1,
            table: Table::new(Duration::ZERO),
            reports: Vec::new(),
            receipts: Vec::new(),
            now: Duration::ZERO,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    fn change(&mut self) {
        let count = self.random.random_range(0..30);
        for _ in 0..count {
            let zone = self.random.random_range(0..ZONES.len());
            let team = self.random.random_range(1..=TEAMS);
            let (demand, released) = self.zones[zone].teams.entry(team).or_default();
            let tasks = self.random.random_range(0..200);
            *demand = Amount::new(tasks, tasks * 3, 0);
            *released += self.random.random_range(0..2);
        }
    }

    fn replace_leaders(&mut self) {
        if self.random.random::<f64>() < 0.05 {
            // The same VM may become leader again, with an empty table.
            self.leader = self.random.random_range(1..=2);
            self.table = Table::new(self.now);
        }
        let number = self.random.random_range(0..ZONES.len());
        let zone = &mut self.zones[number];
        if self.random.random::<f64>() < 0.05 {
            zone.term += 1;
            zone.reporter = Reporter::new(zone.id, zone.term, self.now);
        }
    }

    /// Delivers messages in random order. With faults, some stay in flight and are delivered again, and some are lost.
    fn deliver(&mut self, faults: bool) {
        while !self.reports.is_empty() {
            let number = self.random.random_range(0..self.reports.len());
            let (to, report) = self.reports[number].clone();
            if to == self.leader
                && !(faults && self.random.random::<f64>() < 0.3)
                && let Some(receipt) = self.table.receive(self.now, &report)
            {
                self.receipts.push((to, receipt));
            }
            if faults && self.random.random::<f64>() < 0.2 {
                break;
            }
            self.reports.swap_remove(number);
        }
        while !self.receipts.is_empty() {
            let number = self.random.random_range(0..self.receipts.len());
            let (from, receipt) = self.receipts[number];
            if !(faults && self.random.random::<f64>() < 0.3) {
                for zone in &mut self.zones {
                    zone.reporter.acknowledge(from, &receipt);
                }
            }
            if faults && self.random.random::<f64>() < 0.2 {
                break;
            }
            self.receipts.swap_remove(number);
        }
    }

    fn advance(&mut self, faults: bool) {
        self.now += demand::REPORT_INTERVAL;
        for zone in &mut self.zones {
            // A zone may still report to an earlier leader of the root group.
            let stale = faults && self.random.random::<f64>() < 0.1;
            let to = if stale { 3 - self.leader } else { self.leader };
            let report = zone.report(self.now, to);
            self.reports.extend(report.map(|report| (to, report)));
        }
        self.deliver(faults);
    }

    /// Checks that no released counter exceeds the committed one, since the sum of the allotments could then exceed the
    /// limit.
    fn check_released(&mut self) -> Result<(), String> {
        for (zone, released) in self.table.released(&self.state) {
            for (team, known) in released {
                let committed = self.zones[usize::from(zone) - 1].teams[&team].1;
                if !known.fits(&total(committed)) {
                    return Err(format!("zone {zone}, team {team}: {known:?} of {committed}"));
                }
            }
        }
        Ok(())
    }

    fn check_settled(&mut self) -> Result<(), String> {
        let demand = self.table.demand(self.now, &self.state);
        let released = self.table.released(&self.state);
        for zone in &self.zones {
            for (team, (actual, counter)) in &zone.teams {
                let known = demand.get(&(*team, zone.id)).copied().unwrap_or_default();
                if !actual.fits(&known) || known.cpu_milli > actual.cpu_milli + actual.cpu_milli / 7 {
                    return Err(format!("zone {}, team {team}: {known:?} of {actual:?}", zone.id));
                }
                let ahead = released.get(&zone.id).into_iter().flatten();
                let known = ahead.filter(|(other, _)| other == team).map(|(_, total)| *total);
                if known.sum_or_zero() != total(*counter) {
                    return Err(format!("zone {}, team {team}: released {counter}", zone.id));
                }
            }
        }
        Ok(())
    }
}

/// Sum of at most one total.
trait Sum {
    fn sum_or_zero(self) -> escrow::Total;
}

impl<I: Iterator<Item = escrow::Total>> Sum for I {
    fn sum_or_zero(self) -> escrow::Total {
        self.fold(escrow::Total::ZERO, |sum, total| sum.saturating_add(&total))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against a change that a lost, repeated or late message hides permanently, and against released counters
    /// that exceed the committed ones.
    #[test]
    fn demand_arrives_after_any_faults(seed in any::<u64>()) {
        let mut cell = Cell::new(seed);
        for _ in 0..60 {
            cell.change();
            cell.replace_leaders();
            cell.advance(true);
            prop_assert_eq!(cell.check_released(), Ok(()));
        }
        // Old messages may still arrive in the first interval. Then one report determines the version that the root
        // leader has, and the remaining ones carry both values of all teams.
        let needed = 2 + (2 * TEAMS as usize).div_ceil(demand::MAX_ENTRIES);
        for _ in 0..needed {
            cell.advance(false);
        }
        prop_assert_eq!(cell.check_settled(), Ok(()));
    }
}

/// Guards against teams that are starved of reports because other teams, or the team itself, change constantly, and
/// against reports that together exceed the bandwidth budget of the root leader.
#[test]
fn no_team_is_starved_of_reports() {
    const MANY: u32 = 640;
    let mut reporter = Reporter::new(1, 1, Duration::ZERO);
    let mut table = Table::new(Duration::ZERO);
    let intervals = (2 * MANY as usize).div_ceil(demand::MAX_ENTRIES) as u32;
    let mut last = BTreeMap::new();
    for second in 0..5 * intervals {
        let now = demand::REPORT_INTERVAL * second;
        for team in 1..=MANY {
            let size = 1000 * (1 + (second * 7 + team) % 90);
            let released =
                escrow::Total::from_dimensions([u64::MAX >> 24; 3].map(|base| base + u64::from(second)));
            reporter.set(team, Amount::new(size, size, size % 97), released);
        }
        let report = reporter.report(now, 1).unwrap();
        let bytes = postcard::to_stdvec(&report).unwrap().len();
        assert!(bytes * 17 <= 24_000, "{bytes} bytes");
        for (team, change) in &report.changes {
            last.insert((*team, matches!(change, Change::Demand(_))), second);
        }
        let receipt = table.receive(now, &report).unwrap();
        reporter.acknowledge(1, &receipt);
        if second >= intervals {
            for (team, is_demand) in (1..=MANY).flat_map(|team| [(team, true), (team, false)]) {
                let waited = second - last.get(&(team, is_demand)).copied().unwrap_or_default();
                assert!(waited <= intervals, "team {team} waits for {waited} intervals");
            }
        }
    }
}

/// Guards against allotments that a new root leader moves away from zones that have not reported yet.
#[test]
fn a_new_root_leader_moves_nothing_before_all_zones_reported() {
    let mut state = root_state();
    let demand_of = |zone: id::AvailabilityZoneId| Amount::new(250 + u32::from(zone), 250, 0);
    let all = (1..=TEAMS).flat_map(|team| ZONES.map(|zone| ((team, zone), demand_of(zone))));
    let grants = root::rebalance(&state, &all.collect());
    grant(&mut state, grants);
    let mut table = Table::new(Duration::ZERO);
    let mut reporter = Reporter::new(1, 1, Duration::ZERO);
    for second in 0..4 {
        let now = demand::REPORT_INTERVAL * second;
        assert_eq!(root::rebalance(&state, &table.demand(now, &state)), Vec::new());
        for team in 1..=TEAMS {
            reporter.set(team, demand_of(1), escrow::Total::ZERO);
        }
        let report = reporter.report(now, 1).unwrap();
        let receipt = table.receive(now, &report).unwrap();
        reporter.acknowledge(1, &receipt);
    }
    // Zones that do not report have no demand.
    let demand = table.demand(demand::REPORT_TIMEOUT, &state);
    assert!(demand.keys().all(|(_, zone)| *zone == 1));
    assert_eq!(demand.len(), TEAMS as usize);
}

/// Guards against a deposed zone leader that overwrites the reports of the current one.
#[test]
fn reports_of_an_earlier_term_are_ignored() {
    let state = root_state();
    let mut table = Table::new(Duration::ZERO);
    let report = |term, tasks| {
        let mut reporter = Reporter::new(1, term, Duration::ZERO);
        reporter.set(1, Amount::new(tasks, tasks, 0), escrow::Total::ZERO);
        reporter.report(Duration::ZERO, 1).unwrap()
    };
    assert!(table.receive(Duration::ZERO, &report(2, 20)).is_some());
    assert_eq!(table.receive(Duration::ZERO, &report(1, 10)), None);
    assert_eq!(table.demand(Duration::ZERO, &state)[&(1, 1)].cpu_milli, 20);
}
