//! Demand of teams: soft state that the leader of each zone reports to the leader of the root group.
//!
//! Only the root leader divides limits, so that a report goes to it alone. A report has everything that changed since
//! the version that the root leader acknowledged last. A lost, repeated or late report therefore delays a change and
//! never loses one, and a root leader that knows nothing answers with version 0 and gets everything again.
//!
//! Nothing here is logged. A wrong demand moves targets; the limits hold whatever is reported, because the root group
//! grants by its committed counters and a zone group releases by its own.
//!
//! With at most [`MAX_ENTRIES`] changes at once a change is known [`REPORT_INTERVAL`] later; each lost report, and each
//! further [`MAX_ENTRIES`] changes that came before, add an interval.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bronzespoke_model::{id, resource};
use serde::{Deserialize, Serialize};

use crate::{escrow, root};

/// Time between two reports of a zone. Reports without changes show that the zone is heard.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Changes in a report. At up to 21 bytes each, full reports of 17 zones stay below the 24 KB/s of a daemon.
pub const MAX_ENTRIES: usize = 64;

/// A zone that was not heard for this long wants nothing. It keeps its allotment until another zone lacks something.
pub const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Teams of a zone that the root leader remembers; reports of further teams are ignored.
pub const MAX_TEAMS: usize = 8_192;

/// Bits of a wanted amount that are reported. A wish is rounded up by less than one part in 16.
const KEPT_BITS: u32 = 5;

/// A reported wish stays while it covers what is wanted and is above the rounded wish by less than one part in this
/// number, so that work which starts and ends at a steady rate changes nothing.
const HELD_PART: u32 = 16;

/// A value that changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// What the team's tasks use and what waits to start, rounded up.
    #[serde(rename = "Wanted")]
    Demand(resource::Amount),
    /// Cumulative released counter.
    Released(escrow::Total),
}

/// Report of a zone leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Zone.
    pub zone: id::AvailabilityZoneId,
    /// Term of its leader; versions count within a term.
    pub term: u64,
    /// Version that the receiver is taken to have.
    pub since: u64,
    /// Version that the receiver has afterwards.
    pub through: u64,
    /// Newest version of the sender.
    pub newest: u64,
    /// What changed between the versions.
    pub changes: Vec<(id::TeamId, Change)>,
}

/// The root leader's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Zone.
    pub zone: id::AvailabilityZoneId,
    /// Term of the zone's leader.
    pub term: u64,
    /// Version that the root leader has.
    pub through: u64,
}

/// What a zone leader knows of a team: each value with the version of its last change.
#[derive(Debug, Default, Clone, Copy)]
struct Team {
    wanted: (u64, resource::Amount),
    released: (u64, escrow::Total),
}

/// Reports of a zone leader in one term.
#[derive(Debug)]
pub struct Reporter {
    zone: id::AvailabilityZoneId,
    term: u64,
    teams: BTreeMap<id::TeamId, Team>,
    version: u64,
    /// Highest version that was sent to any receiver.
    sent: u64,
    acknowledged: u64,
    receiver: Option<id::VmId>,
    due: Duration,
}

impl Reporter {
    /// Returns a reporter that has reported nothing.
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

    /// Tells whether this reporter belongs to a leadership.
    pub const fn is_for(&self, zone: id::AvailabilityZoneId, term: u64) -> bool {
        self.zone == zone && self.term == term
    }

    /// Tells whether a report is due.
    pub fn is_due(&self, now: Duration) -> bool {
        now >= self.due
    }

    /// Takes what a team wants and has released.
    pub fn set(&mut self, team: id::TeamId, wanted: resource::Amount, released: escrow::Total) {
        let known = self.teams.entry(team).or_default();
        let wanted = held(known.wanted.1, wanted);
        for (changed, version) in [
            (known.wanted.1 != wanted, &mut known.wanted.0),
            (known.released.1 != released, &mut known.released.0),
        ] {
            // A change that was not sent yet keeps its place, so that a team that changes all the time has its turn.
            if changed && *version <= self.sent {
                self.version += 1;
                *version = self.version;
            }
        }
        known.wanted.1 = wanted;
        known.released.1 = released;
    }

    /// Returns the report that is due to the leader of the root group.
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
            let wanted = (known.wanted.0, *team, Change::Demand(known.wanted.1));
            let released = (known.released.0, *team, Change::Released(known.released.1));
            [wanted, released]
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

    /// Takes an answer. An answer that is late makes the next report longer or refused, and is corrected by the answer
    /// to that report.
    pub fn acknowledge(&mut self, from: id::VmId, receipt: &Receipt) {
        if self.is_for(receipt.zone, receipt.term) && self.receiver == Some(from) {
            self.acknowledged = receipt.through.min(self.version);
        }
    }
}

/// Returns the wish to report: the one reported before where it still holds, otherwise the wanted amount rounded up.
fn held(reported: resource::Amount, wanted: resource::Amount) -> resource::Amount {
    let hold = |reported: u32, wanted: u32| {
        let rounded = rounded(wanted);
        let holds = wanted <= reported && reported - reported / HELD_PART <= rounded;
        if holds { reported } else { rounded }
    };
    resource::Amount::new(
        hold(reported.cpu_milli, wanted.cpu_milli),
        hold(reported.memory_mib, wanted.memory_mib),
        hold(reported.accelerators, wanted.accelerators),
    )
}

/// Rounds up to the highest bits.
fn rounded(value: u32) -> u32 {
    let dropped = (u32::BITS - value.leading_zeros()).saturating_sub(KEPT_BITS);
    value.checked_next_multiple_of(1 << dropped).unwrap_or(u32::MAX)
}

/// What the root leader knows of a zone.
#[derive(Debug)]
struct Zone {
    term: u64,
    through: u64,
    /// Newest version of the sender at its first report; below it, something of the zone is still unknown.
    goal: u64,
    heard: Duration,
    teams: BTreeMap<id::TeamId, (resource::Amount, escrow::Total)>,
    /// Teams whose released counter the root state may not have yet.
    ahead: BTreeSet<id::TeamId>,
}

/// Demand that the root leader was told in its leadership.
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

    /// Takes a report of a zone in the directory; `None` when a later leader of the zone has reported.
    pub fn receive(&mut self, now: Duration, report: &Report) -> Option<Receipt> {
        let fresh = || Zone {
            term: report.term,
            through: 0,
            goal: report.newest,
            heard: now,
            teams: BTreeMap::new(),
            ahead: BTreeSet::new(),
        };
        let zone = self.zones.entry(report.zone).or_insert_with(fresh);
        if report.term < zone.term {
            return None;
        }
        if report.term > zone.term {
            *zone = fresh();
        }
        zone.heard = now;
        // A gap is answered with the version that is known; what was applied before is not applied again.
        if report.since <= zone.through && report.through >= zone.through {
            zone.through = report.through;
            for (team, change) in &report.changes {
                if zone.teams.len() >= MAX_TEAMS && !zone.teams.contains_key(team) {
                    continue;
                }
                let (wanted, released) = zone.teams.entry(*team).or_default();
                match change {
                    Change::Demand(amount) => *wanted = *amount,
                    Change::Released(total) => {
                        *released = *total;
                        zone.ahead.insert(*team);
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
    /// A zone that has not told everything yet is taken to want the targets that it has. A new root leader would
    /// otherwise move allotments to the zones that happen to report first.
    pub fn demand(&self, now: Duration, state: &root::State) -> root::Demand {
        // A map is built from a list in a fraction of the time that single insertions take.
        let mut demand = Vec::new();
        for zone in state.open_zones() {
            let known = self.zones.get(&zone);
            let heard = known.map_or(self.since, |known| known.heard);
            if now.saturating_sub(heard) >= REPORT_TIMEOUT {
                continue;
            }
            match known.filter(|known| known.through >= known.goal) {
                Some(known) => {
                    let wanted = known.teams.iter();
                    demand.extend(wanted.map(|(team, (wanted, _))| ((*team, zone), *wanted)));
                }
                None => demand.extend(state.teams().keys().filter_map(|team| {
                    let allotment = state.allotment(*team, zone)?;
                    Some(((*team, zone), allotment.target))
                })),
            }
        }
        demand.into_iter().collect()
    }

    /// Returns the released counters that are ahead of the root state, by zone.
    pub fn released(
        &mut self,
        state: &root::State,
    ) -> BTreeMap<id::AvailabilityZoneId, Vec<(id::TeamId, escrow::Total)>> {
        let mut released = BTreeMap::new();
        for (zone, known) in &mut self.zones {
            let teams = &known.teams;
            known.ahead.retain(|team| {
                let before = state.allotment(*team, *zone).unwrap_or_default().released;
                teams.get(team).is_some_and(|(_, total)| !total.fits(&before))
            });
            let ahead: Vec<_> = known.ahead.iter().map(|team| (*team, teams[team].1)).collect();
            if !ahead.is_empty() {
                released.insert(*zone, ahead);
            }
        }
        released
    }
}
