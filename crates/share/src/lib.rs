//! Policy of the teams' shares, without I/O, for all schedulers.
//!
//! - [`level`]: fair shares of the teams that have work, by weight, when not all of their work fits.
//! - [`order`]: order of the teams' waiting work.
//! - [`rate`]: the number of jobs per second that a team is owed.
//! - [`past`]: decayed average of a team's past share.

pub mod level;
pub mod order;
pub mod past;
pub mod rate;

/// Number of resource dimensions.
pub const DIMENSIONS: usize = 3;

/// Portion of the capacity in each resource dimension; 1 is all of it.
pub type Portion = [f64; DIMENSIONS];

/// Returns the dominant share: the largest portion in any dimension.
pub fn dominant(portion: &Portion) -> f64 {
    portion.iter().copied().fold(0.0, f64::max)
}
