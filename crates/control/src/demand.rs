//! Demand of teams: soft state that each zone leader reports to the leader of the root group.
//!
//! Only the root leader divides limits, so reports are sent to it alone. A report contains everything that changed
//! since the version that the root leader acknowledged last. A lost, repeated or late report therefore delays a change
//! but never loses it, and a new root leader acknowledges version 0 and receives everything again.
//!
//! None of this is replicated. A wrong demand only moves targets. The limits hold whatever is reported, because the
//! root group grants by its committed counters and a zone group releases by its own.
//!
//! A change reaches the root leader within [`REPORT_INTERVAL`] if at most [`MAX_ENTRIES`] changes are pending. Each
//! lost report, and each further [`MAX_ENTRIES`] changes that came before, add an interval.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bronzespoke_model::{id, resource};
use serde::{Deserialize, Serialize};

use crate::{escrow, root};

/// Time between two reports of a zone. A report without changes serves as a heartbeat.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of changes in a report. At up to 21 bytes each, full reports of 17 zones stay below the 24 KB/s
/// budget of a daemon.
pub const MAX_ENTRIES: usize = 64;

/// Time without a report after which the demand of a zone is taken to be zero. Its allotment remains until another zone
/// needs it.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of teams per zone that the root leader tracks; reports of further teams are ignored.
pub const MAX_TEAMS: usize = 8_192;

/// Number of significant bits of a reported demand. It is rounded up by less than one part in 16.
const SIGNIFICANT_BITS: u32 = 5;

/// Divisor of the hysteresis: a reported demand is retained while it covers the actual demand and exceeds the rounded
/// demand by less than one part in this number, so that work that starts and ends at a steady rate causes no changes.
const HYSTERESIS_DIVISOR: u32 = 16;

/// A changed value of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Resources of the running tasks plus those requested by waiting tasks, rounded up.
    #[serde(rename = "Wanted")]
    Demand(resource::Amount),
    /// Cumulative counter of resources that the zone released.
    Released(escrow::Total),
}

/// Report of a zone leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Zone that reports.
    pub zone: id::AvailabilityZoneId,
    /// Term of the zone leader. Versions start anew in each term.
    pub term: u64,
    /// Version that the sender assumes the receiver to have.
    pub since: u64,
    /// Version that the receiver has after it applied the changes.
    pub through: u64,
    /// Newest version of the sender.
    pub newest: u64,
    /// Changes between `since` and `through`.
    pub changes: Vec<(id::TeamId, Change)>,
}

/// Acknowledgement of a report by the root leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Zone whose report is acknowledged.
    pub zone: id::AvailabilityZoneId,
    /// Term of the zone leader.
    pub term: u64,
    /// Version that the root leader has.
    pub through: u64,
}

/// Values of a team, each with the version of its last change.
#[derive(Debug, Default, Clone, Copy)]
struct Team {
    demand: (u64, resource::Amount),
    released: (u64, escrow::Total),
}

/// Sends the reports of a zone leader during one term.
#[derive(Debug)]
pub struct Reporter {
    zone: id::AvailabilityZoneId,
    term: u64,
    teams: BTreeMap<id::TeamId, Team>,
    version: u64,
    /// Highest version sent to any receiver.
    sent: u64,
    acknowledged: u64,
    receiver: Option<id::VmId>,
    due: Duration,
}

impl Reporter {
    /// Returns a reporter whose first report is due at `now`.
    pub const fn new(zone: id::AvailabilityZoneId, term: u64, now: Duration) -> Self {
        Self {
            zone,
            term,
            teams: BTreeMap::new(),
            version: 0,
            sent: 0,
            acknowledged: 0,
            receiver: None,
            due: now,
        }
    }

    /// Returns whether this reporter belongs to the leader of a zone in a term.
    pub const fn is_for(&self, zone: id::AvailabilityZoneId, term: u64) -> bool {
        self.zone == zone && self.term == term
    }

    /// Returns whether a report is due.
    pub fn is_due(&self, now: Duration) -> bool {
        now >= self.due
    }

    /// Records the demand and the released counter of a team.
    pub fn set(&mut self, team: id::TeamId, demand: resource::Amount, released: escrow::Total) {
        let known = self.teams.entry(team).or_default();
        let demand = with_hysteresis(known.demand.1, demand);
        for (changed, version) in [
            (known.demand.1 != demand, &mut known.demand.0),
            (known.released.1 != released, &mut known.released.0),
        ] {
            // An unsent change keeps its version, so that a team that changes constantly is not starved.
            if changed && *version <= self.sent {
                self.version += 1;
                *version = self.version;
            }
        }
        known.demand.1 = demand;
        known.released.1 = released;
    }

    /// Returns the report to send to the leader of the root group; `None` when none is due.
    pub fn report(&mut self, now: Duration, receiver: id::VmId) -> Option<Report> {
        if !self.is_due(now) {
            return None;
        }
        self.due = now + REPORT_INTERVAL;
        if self.receiver != Some(receiver) {
            self.receiver = Some(receiver);
            self.acknowledged = 0;
        }
        let since = self.acknowledged;
        let values = self.teams.iter().flat_map(|(team, known)| {
            let demand = (known.demand.0, *team, Change::Demand(known.demand.1));
            let released = (known.released.0, *team, Change::Released(known.released.1));
            [demand, released]
        });
        let mut newer: Vec<_> = values.filter(|(version, ..)| *version > since).collect();
        newer.sort_unstable_by_key(|(version, ..)| *version);
        let complete = newer.len() <= MAX_ENTRIES;
        newer.truncate(MAX_ENTRIES);
        let through = match newer.last() {
            Some((version, ..)) if !complete => *version,
            _ => self.version,
        };
        let changes = newer.into_iter().map(|(_, team, change)| (team, change));
        let report = Report {
            zone: self.zone,
            term: self.term,
            since,
            through,
            newest: self.version,
            changes: changes.collect(),
        };
        self.sent = self.sent.max(through);
        Some(report)
    }

    /// Processes an acknowledgement. A stale one makes the next report longer than necessary or rejected; the
    /// acknowledgement of that report corrects it.
    pub fn acknowledge(&mut self, from: id::VmId, receipt: &Receipt) {
        if self.is_for(receipt.zone, receipt.term) && self.receiver == Some(from) {
            self.acknowledged = receipt.through.min(self.version);
        }
    }
}

/// Returns the demand to report: in each dimension the previously reported value within the hysteresis, otherwise the
/// actual demand rounded up.
fn with_hysteresis(reported: resource::Amount, demand: resource::Amount) -> resource::Amount {
    let select = |reported: u32, demand: u32| {
        let rounded = round_up(demand);
        let retained = demand <= reported && reported - reported / HYSTERESIS_DIVISOR <= rounded;
        if retained { reported } else { rounded }
    };
    resource::Amount::new(
        select(reported.cpu_milli, demand.cpu_milli),
        select(reported.memory_mib, demand.memory_mib),
        select(reported.accelerators, demand.accelerators),
    )
}

/// Rounds up to [`SIGNIFICANT_BITS`].
fn round_up(value: u32) -> u32 {
    let dropped = (u32::BITS - value.leading_zeros()).saturating_sub(SIGNIFICANT_BITS);
    value.checked_next_multiple_of(1 << dropped).unwrap_or(u32::MAX)
}

/// Reported state of a zone, as tracked by the root leader.
#[derive(Debug)]
struct Zone {
    term: u64,
    through: u64,
    /// Newest version of the sender at its first report. Until `through` reaches it, the demand is incomplete.
    complete_at: u64,
    last_report: Duration,
    teams: BTreeMap<id::TeamId, (resource::Amount, escrow::Total)>,
    /// Teams whose released counter may not be recorded in the root state yet.
    unrecorded: BTreeSet<id::TeamId>,
}

/// Demand reported to a root leader during its leadership.
#[derive(Debug)]
pub struct Table {
    since: Duration,
    zones: BTreeMap<id::AvailabilityZoneId, Zone>,
}

impl Table {
    /// Returns an empty table of a new root leader.
    pub const fn new(now: Duration) -> Self {
        Self {
            since: now,
            zones: BTreeMap::new(),
        }
    }

    /// Processes a report of a zone in the directory. Returns `None` when a leader of a later term has already
    /// reported.
    pub fn receive(&mut self, now: Duration, report: &Report) -> Option<Receipt> {
        let fresh = || Zone {
            term: report.term,
            through: 0,
            complete_at: report.newest,
            last_report: now,
            teams: BTreeMap::new(),
            unrecorded: BTreeSet::new(),
        };
        let zone = self.zones.entry(report.zone).or_insert_with(fresh);
        if report.term < zone.term {
            return None;
        }
        if report.term > zone.term {
            *zone = fresh();
        }
        zone.last_report = now;
        // A report that leaves a gap or is older is not applied; the receipt names the version that the table has.
        if report.since <= zone.through && report.through >= zone.through {
            zone.through = report.through;
            for (team, change) in &report.changes {
                if zone.teams.len() >= MAX_TEAMS && !zone.teams.contains_key(team) {
                    continue;
                }
                let (demand, released) = zone.teams.entry(*team).or_default();
                match change {
                    Change::Demand(amount) => *demand = *amount,
                    Change::Released(total) => {
                        *released = *total;
                        zone.unrecorded.insert(*team);
                    }
                }
            }
        }
        Some(Receipt {
            zone: report.zone,
            term: report.term,
            through: zone.through,
        })
    }

    /// Returns the demand of all zones.
    ///
    /// While the reports of a zone are incomplete, its current targets are taken as its demand. Otherwise a new root
    /// leader would move allotments to the zones that happen to report first.
    pub fn demand(&self, now: Duration, state: &root::State) -> root::Demand {
        // Building the map from a list takes a fraction of the time of single insertions.
        let mut demand = Vec::new();
        for zone in state.open_zones() {
            let known = self.zones.get(&zone);
            let last_report = known.map_or(self.since, |known| known.last_report);
            if now.saturating_sub(last_report) >= REPORT_TIMEOUT {
                continue;
            }
            match known.filter(|known| known.through >= known.complete_at) {
                Some(known) => {
                    let teams = known.teams.iter();
                    demand.extend(teams.map(|(team, (amount, _))| ((*team, zone), *amount)));
                }
                None => demand.extend(state.teams().keys().filter_map(|team| {
                    let allotment = state.allotment(*team, zone)?;
                    Some(((*team, zone), allotment.target))
                })),
            }
        }
        demand.into_iter().collect()
    }

    /// Returns the released counters that are not recorded in the root state yet, by zone.
    pub fn released(
        &mut self,
        state: &root::State,
    ) -> BTreeMap<id::AvailabilityZoneId, Vec<(id::TeamId, escrow::Total)>> {
        let mut released = BTreeMap::new();
        for (zone, known) in &mut self.zones {
            let teams = &known.teams;
            known.unrecorded.retain(|team| {
                let before = state.allotment(*team, *zone).unwrap_or_default().released;
                teams.get(team).is_some_and(|(_, total)| !total.fits(&before))
            });
            let unrecorded: Vec<_> = known
                .unrecorded
                .iter()
                .map(|team| (*team, teams[team].1))
                .collect();
            if !unrecorded.is_empty() {
                released.insert(*zone, unrecorded);
            }
        }
        released
    }
}
