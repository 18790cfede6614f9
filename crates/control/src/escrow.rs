//! Cumulative counters of granted and released resources.
//!
//! An upper limit is divided into allotments, one per availability zone. An allotment is the difference of two counters
//! that never decrease, so duplicated, reordered and lost messages cannot make the sum of the allotments exceed the
//! limit.

use bronzespoke_model::resource;
use serde::{Deserialize, Serialize};

/// Amount of each resource dimension, wide enough for cumulative counters.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Total {
    /// CPU, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Accelerators, in whole devices.
    pub accelerators: u64,
}

impl Total {
    /// Zero in each dimension.
    pub const ZERO: Self = Self {
        cpu_milli: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// Combines each dimension of two totals.
    pub fn zip(&self, other: &Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            cpu_milli: combine(self.cpu_milli, other.cpu_milli),
            memory_mib: combine(self.memory_mib, other.memory_mib),
            accelerators: combine(self.accelerators, other.accelerators),
        }
    }

    /// Adds each dimension, saturating at the maximum value.
    pub fn saturating_add(&self, other: &Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// Subtracts each dimension, saturating at zero.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// Returns the larger value of each dimension.
    pub fn max(&self, other: &Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Returns the smaller value of each dimension.
    pub fn min(&self, other: &Self) -> Self {
        self.zip(other, u64::min)
    }

    /// Returns whether every dimension of `self` is at most that of `other`.
    pub const fn fits(&self, other: &Self) -> bool {
        self.cpu_milli <= other.cpu_milli
            && self.memory_mib <= other.memory_mib
            && self.accelerators <= other.accelerators
    }

    /// Returns the dimensions in a fixed order: CPU, memory, accelerators.
    pub const fn dimensions(&self) -> [u64; 3] {
        [self.cpu_milli, self.memory_mib, self.accelerators]
    }

    /// Returns a total from dimensions in the order of [`Total::dimensions`].
    pub const fn from_dimensions(dimensions: [u64; 3]) -> Self {
        Self {
            cpu_milli: dimensions[0],
            memory_mib: dimensions[1],
            accelerators: dimensions[2],
        }
    }

    /// Converts the total to an amount, saturating each dimension at the maximum value.
    pub fn amount(&self) -> resource::Amount {
        let saturate = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        resource::Amount::new(
            saturate(self.cpu_milli),
            saturate(self.memory_mib),
            saturate(self.accelerators),
        )
    }
}

impl From<resource::Amount> for Total {
    fn from(amount: resource::Amount) -> Self {
        Self {
            cpu_milli: u64::from(amount.cpu_milli),
            memory_mib: u64::from(amount.memory_mib),
            accelerators: u64::from(amount.accelerators),
        }
    }
}

/// Returns the sum of totals.
pub fn sum<'a>(totals: impl IntoIterator<Item = &'a Total>) -> Total {
    totals
        .into_iter()
        .fold(Total::ZERO, |sum, total| sum.saturating_add(total))
}
