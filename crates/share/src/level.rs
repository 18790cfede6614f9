//! Fair shares by water-filling over dominant shares.
//!
//! All teams that have work are raised to the same weighted dominant share, and a team whose work is used up stops
//! there. The level at which the first resource is exhausted is the level of the fair shares. What a team does not use
//! therefore goes to the others by weight.

use crate::{DIMENSIONS, Portion, dominant};

/// Work of a team: what it runs and what it could run in addition.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Weight of the team, above 0.
    pub weight: f64,
    /// Portion of the capacity that the team could use now.
    pub wanted: Portion,
}

/// Returns the fair share of a team of weight 1 when the work of all teams does not fit, or `None` if it fits.
///
/// The fair share of a team is its weight times this level. The function sorts the claims, and its cost is otherwise
/// linear in their number.
pub fn compute(claims: &[Claim]) -> Option<f64> {
    let fits = |dimension: usize| claims.iter().map(|claim| claim.wanted[dimension]).sum::<f64>() <= 1.0;
    if (0..DIMENSIONS).all(fits) {
        return None;
    }
    // The level from which all work of a claim is covered.
    let mut claims: Vec<(f64, Claim)> = claims
        .iter()
        .map(|claim| (dominant(&claim.wanted) / claim.weight, *claim))
        .filter(|(covered_at, _)| *covered_at > 0.0)
        .collect();
    claims.sort_by(|left, right| left.0.total_cmp(&right.0));
    let mut covered = [0.0; DIMENSIONS];
    // What the claims that are not covered yet use for each unit of the level.
    let mut slope = [0.0; DIMENSIONS];
    for (covered_at, claim) in &claims {
        for (sum, wanted) in slope.iter_mut().zip(claim.wanted) {
            *sum += wanted / covered_at;
        }
    }
    for (covered_at, claim) in &claims {
        let exhausted_at = (0..DIMENSIONS)
            .filter(|dimension| slope[*dimension] > 0.0)
            .map(|dimension| (1.0 - covered[dimension]) / slope[dimension])
            .fold(f64::INFINITY, f64::min);
        if exhausted_at <= *covered_at {
            return Some(exhausted_at.max(0.0));
        }
        for dimension in 0..DIMENSIONS {
            covered[dimension] += claim.wanted[dimension];
            slope[dimension] -= claim.wanted[dimension] / covered_at;
        }
    }
    // Only rounding errors lead here: the sum of all work is above 1 in some dimension.
    claims.last().map(|(covered_at, _)| *covered_at)
}

/// Returns the fair share of a team among active teams that all use up theirs.
pub fn among(weight: f64, active_weight: f64) -> f64 {
    weight / active_weight
}
