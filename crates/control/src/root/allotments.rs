//! Division of upper limits into allotments per availability zone.

use std::collections::BTreeMap;

use bronzespoke_model::{id, resource};
use serde::{Deserialize, Serialize};

use super::state;
use crate::escrow;

/// Divisor of the tolerance while demand exceeds a limit: a zone is under-allotted only when its target is below its
/// proportional share by more than one part in this number. Without a tolerance every change of demand would change all
/// targets.
const TOLERANCE_DIVISOR: u64 = 8;

/// Portion of a team's upper limit that one zone may use.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Cumulative counter of resources granted to the zone.
    pub granted: escrow::Total,
    /// Cumulative counter of resources that the zone reported as released.
    pub released: escrow::Total,
    /// Size that the allotment should have; the zone releases any surplus.
    pub target: resource::Amount,
}

impl Allotment {
    /// Returns the amount that the root group must assume the zone may use.
    pub fn outstanding(&self) -> escrow::Total {
        self.granted.saturating_sub(&self.released)
    }
}

/// New values of the granted counter and the target of one allotment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Team whose limit is divided.
    pub team: id::TeamId,
    /// Zone that receives the grant.
    pub zone: id::AvailabilityZoneId,
    /// Cumulative counter after the grant; a value below the current one leaves the counter unchanged.
    pub granted: escrow::Total,
    /// Size that the allotment should have.
    pub target: resource::Amount,
}

/// Demand by team and zone: resources used by the running tasks of the team plus those requested by waiting tasks.
pub type Demand = BTreeMap<(id::TeamId, id::AvailabilityZoneId), resource::Amount>;

/// Returns the grants that move allotments towards the demand.
///
/// Targets change only when a zone is under-allotted, and then as few of them as possible, because each change is an
/// entry in the log that every VM replicates. Zones that hold more than their new target release the surplus first; the
/// receiving zone gets its grant once the release is reported. Demand of lost zones is ignored.
pub fn rebalance(state: &state::State, demand: &Demand) -> Vec<Grant> {
    let zones: Vec<id::AvailabilityZoneId> = state.open_zones().collect();
    let mut grants = Vec::new();
    let mut demands = vec![escrow::Total::ZERO; zones.len()];
    let mut current = vec![Allotment::default(); zones.len()];
    for team in state.teams().values() {
        demands.fill(escrow::Total::ZERO);
        for ((_, zone), amount) in demand.range((team.id, 0)..=(team.id, id::AvailabilityZoneId::MAX)) {
            if let Ok(index) = zones.binary_search(zone) {
                demands[index] = (*amount).into();
            }
        }
        current.fill(Allotment::default());
        for (zone, allotment) in state
            .allotments
            .get(&team.id)
            .into_iter()
            .flat_map(|allotments| allotments.iter())
        {
            if let Ok(index) = zones.binary_search(zone) {
                current[index] = *allotment;
            }
        }
        let limit = escrow::Total::from(team.quota.limit);
        let targets = divide(&limit, &demands, &current);
        let mut headroom = state.headroom(team.id);
        for ((zone, allotment), target) in zones.iter().zip(&current).zip(targets) {
            grants.extend(grant(team.id, *zone, allotment, &target, &mut headroom));
        }
    }
    grants
}

/// Returns the grant that raises an allotment towards its target within `headroom`, the ungranted rest of the limit;
/// `None` when nothing changes.
fn grant(
    team: id::TeamId,
    zone: id::AvailabilityZoneId,
    allotment: &Allotment,
    target: &escrow::Total,
    headroom: &mut escrow::Total,
) -> Option<Grant> {
    let added = target.saturating_sub(&allotment.outstanding()).min(headroom);
    *headroom = headroom.saturating_sub(&added);
    let target = target.amount();
    let changes = added != escrow::Total::ZERO || target != allotment.target;
    changes.then(|| Grant {
        team,
        zone,
        granted: allotment.granted.saturating_add(&added),
        target,
    })
}

/// Divides a limit among zones, each resource dimension independently.
fn divide(limit: &escrow::Total, demands: &[escrow::Total], current: &[Allotment]) -> Vec<escrow::Total> {
    let mut targets = vec![[0; 3]; demands.len()];
    for (dimension, total) in limit.dimensions().into_iter().enumerate() {
        let demands: Vec<u64> = demands
            .iter()
            .map(|demand| demand.dimensions()[dimension])
            .collect();
        let current: Vec<u64> = current
            .iter()
            .map(|allotment| escrow::Total::from(allotment.target).dimensions()[dimension])
            .collect();
        let shares = divide_dimension(total, &demands, &current);
        for (target, share) in targets.iter_mut().zip(shares) {
            target[dimension] = share;
        }
    }
    targets.into_iter().map(escrow::Total::from_dimensions).collect()
}

/// Adjusts the current targets of one resource dimension where demand requires it.
fn divide_dimension(limit: u64, demands: &[u64], current: &[u64]) -> Vec<u64> {
    let desired = desired_targets(limit, demands);
    if current.iter().all(|target| *target == 0) {
        return desired;
    }
    let scarce = demands.iter().sum::<u64>() > limit;
    let is_short = |zone: usize| {
        let enough = if scarce {
            desired[zone] - desired[zone] / TOLERANCE_DIVISOR
        } else {
            demands[zone]
        };
        current[zone] < enough
    };
    let mut targets: Vec<u64> = (0..demands.len())
        .map(|zone| {
            if is_short(zone) {
                desired[zone]
            } else {
                current[zone]
            }
        })
        .collect();
    let mut excess = targets.iter().sum::<u64>().saturating_sub(limit);
    let mut donors: Vec<usize> = (0..demands.len())
        .filter(|zone| targets[*zone] > desired[*zone])
        .collect();
    donors.sort_by_key(|zone| std::cmp::Reverse(targets[*zone] - desired[*zone]));
    for zone in donors {
        let taken = excess.min(targets[zone] - desired[zone]);
        targets[zone] -= taken;
        excess -= taken;
    }
    targets
}

/// Returns the desired target of each zone: its demand plus an equal share of half of the spare capacity, so that the
/// zone can start more work before the next rebalancing; or, when demand exceeds the limit, its proportional share of
/// the limit.
fn desired_targets(limit: u64, demands: &[u64]) -> Vec<u64> {
    let total: u64 = demands.iter().sum();
    if total <= limit {
        let spare = (limit - total) / 2 / (demands.len().max(1) as u64);
        return demands.iter().map(|demand| demand + spare).collect();
    }
    demands
        .iter()
        .map(|demand| (u128::from(limit) * u128::from(*demand) / u128::from(total)) as u64)
        .collect()
}

/// Scales targets down proportionally so that their sum fits a lowered limit.
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
            let (max, total) = (limit.dimensions()[dimension], sum.dimensions()[dimension]);
            scaled[dimension] = if total <= max {
                value
            } else {
                (u128::from(value) * u128::from(max) / u128::from(total)) as u64
            };
        }
        allotment.target = escrow::Total::from_dimensions(scaled).amount();
    }
}
