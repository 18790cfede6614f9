//! Division of upper limits into allotments per availability zone.

use std::collections::BTreeMap;

use bronzespoke_model::{id, resource};
use serde::{Deserialize, Serialize};

use super::state;
use crate::escrow;

/// While wishes exceed a limit, a zone lacks something only when its target is below its proportion by more than one
/// part in this number; otherwise every change of a wish would change all targets.
const TOLERANCE: u64 = 8;

/// Allotment of one team in one zone.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Cumulative counter of what was granted.
    pub granted: escrow::Total,
    /// Cumulative counter of what the zone reported as released.
    pub released: escrow::Total,
    /// Size that the allotment should have; the zone releases what it has above it.
    pub target: resource::Amount,
}

impl Allotment {
    /// Returns what the zone may still use, as far as the root group knows.
    pub fn outstanding(&self) -> escrow::Total {
        self.granted.saturating_sub(&self.released)
    }
}

/// A new value of a granted counter and a target allotment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Team.
    pub team: id::TeamId,
    /// Zone.
    pub zone: id::AvailabilityZoneId,
    /// Cumulative counter after the grant; a smaller value than the present one changes nothing.
    pub granted: escrow::Total,
    /// Size that the allotment should have.
    pub target: resource::Amount,
}

/// Wish for an allotment: what the zone's tasks of the team use and what waits to start.
pub type Demand = BTreeMap<(id::TeamId, id::AvailabilityZoneId), resource::Amount>;

/// Returns the grants that move allotments towards the demand.
///
/// Targets change only where a zone lacks something, and then as few as will do, because each change is an entry in the
/// log that every VM follows. Zones that hold more than their new target release the surplus first; a zone gets its
/// addition once the release is reported. Demand of lost zones is ignored.
pub fn rebalance(state: &state::State, demand: &Demand) -> Vec<Grant> {
    let zones: Vec<id::AvailabilityZoneId> = state.open_zones().collect();
    let mut grants = Vec::new();
    let mut wishes = vec![escrow::Total::ZERO; zones.len()];
    let mut present = vec![Allotment::default(); zones.len()];
    for team in state.teams().values() {
        wishes.fill(escrow::Total::ZERO);
        for ((_, zone), wish) in demand.range((team.id, 0)..=(team.id, id::AvailabilityZoneId::MAX)) {
            if let Ok(number) = zones.binary_search(zone) {
                wishes[number] = (*wish).into();
            }
        }
        present.fill(Allotment::default());
        for (zone, allotment) in state
            .allotments
            .get(&team.id)
            .into_iter()
            .flat_map(|allotments| allotments.iter())
        {
            if let Ok(number) = zones.binary_search(zone) {
                present[number] = *allotment;
            }
        }
        let limit = escrow::Total::from(team.quota.limit);
        let targets = divide(&limit, &wishes, &present);
        let mut room = state.room(team.id);
        for ((zone, allotment), target) in zones.iter().zip(&present).zip(targets) {
            grants.extend(grant(team.id, *zone, allotment, &target, &mut room));
        }
    }
    grants
}

/// Returns the grant that brings an allotment to its target as far as there is room; `None` when nothing changes.
fn grant(
    team: id::TeamId,
    zone: id::AvailabilityZoneId,
    allotment: &Allotment,
    target: &escrow::Total,
    room: &mut escrow::Total,
) -> Option<Grant> {
    let added = target.saturating_sub(&allotment.outstanding()).min(room);
    *room = room.saturating_sub(&added);
    let target = target.amount();
    let changes = added != escrow::Total::ZERO || target != allotment.target;
    changes.then(|| Grant {
        team,
        zone,
        granted: allotment.granted.saturating_add(&added),
        target,
    })
}

/// Divides a limit among zones, each dimension on its own.
fn divide(limit: &escrow::Total, wishes: &[escrow::Total], present: &[Allotment]) -> Vec<escrow::Total> {
    let mut allotments = vec![[0; 3]; wishes.len()];
    for (dimension, total) in limit.dimensions().into_iter().enumerate() {
        let wishes: Vec<u64> = wishes.iter().map(|wish| wish.dimensions()[dimension]).collect();
        let present: Vec<u64> = present
            .iter()
            .map(|allotment| escrow::Total::from(allotment.target).dimensions()[dimension])
            .collect();
        let shares = divide_one(total, &wishes, &present);
        for (allotment, share) in allotments.iter_mut().zip(shares) {
            allotment[dimension] = share;
        }
    }
    allotments
        .into_iter()
        .map(escrow::Total::from_dimensions)
        .collect()
}

/// Changes the present targets of one dimension as far as the wishes need it.
fn divide_one(limit: u64, wishes: &[u64], present: &[u64]) -> Vec<u64> {
    let aims = aims(limit, wishes);
    if present.iter().all(|target| *target == 0) {
        return aims;
    }
    let scarce = wishes.iter().sum::<u64>() > limit;
    let lacks = |zone: usize| {
        let enough = if scarce {
            aims[zone] - aims[zone] / TOLERANCE
        } else {
            wishes[zone]
        };
        present[zone] < enough
    };
    let mut targets: Vec<u64> = (0..wishes.len())
        .map(|zone| if lacks(zone) { aims[zone] } else { present[zone] })
        .collect();
    let mut excess = targets.iter().sum::<u64>().saturating_sub(limit);
    let mut donors: Vec<usize> = (0..wishes.len())
        .filter(|zone| targets[*zone] > aims[*zone])
        .collect();
    donors.sort_by_key(|zone| std::cmp::Reverse(targets[*zone] - aims[*zone]));
    for zone in donors {
        let taken = excess.min(targets[zone] - aims[zone]);
        targets[zone] -= taken;
        excess -= taken;
    }
    targets
}

/// Returns what each zone is meant to have: its wish and an equal share of half of what is left over, so that it can
/// start more work before the next round; or, when the wishes exceed the limit, its proportion of the limit.
fn aims(limit: u64, wishes: &[u64]) -> Vec<u64> {
    let wanted: u64 = wishes.iter().sum();
    if wanted <= limit {
        let spare = (limit - wanted) / 2 / (wishes.len().max(1) as u64);
        return wishes.iter().map(|wish| wish + spare).collect();
    }
    wishes
        .iter()
        .map(|wish| (u128::from(limit) * u128::from(*wish) / u128::from(wanted)) as u64)
        .collect()
}

/// Scales targets down so that they fit a lower limit.
pub(super) fn shrink(limit: &escrow::Total, allotments: &mut BTreeMap<id::AvailabilityZoneId, Allotment>) {
    let targets: Vec<escrow::Total> = allotments
        .values()
        .map(|allotment| allotment.target.into())
        .collect();
    if escrow::sum(&targets).fits(limit) {
        return;
    }
    let sum = escrow::sum(&targets);
    for allotment in allotments.values_mut() {
        let target = escrow::Total::from(allotment.target).dimensions();
        let mut scaled = [0; 3];
        for (dimension, value) in target.into_iter().enumerate() {
            let (most, all) = (limit.dimensions()[dimension], sum.dimensions()[dimension]);
            scaled[dimension] = if all <= most {
                value
            } else {
                (u128::from(value) * u128::from(most) / u128::from(all)) as u64
            };
        }
        allotment.target = escrow::Total::from_dimensions(scaled).amount();
    }
}
