//! Amounts of the resources that workers offer and tasks use.

use serde::{Deserialize, Serialize};

use crate::id;

/// An amount of each resource dimension.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Amount {
    /// Processors, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Accelerators, in whole devices.
    pub accelerators: u32,
}

impl Amount {
    /// The empty amount.
    pub const ZERO: Self = Self {
        cpu_milli: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// Returns an amount with the given dimensions.
    pub const fn new(cpu_milli: u32, memory_mib: u32, accelerators: u32) -> Self {
        Self {
            cpu_milli,
            memory_mib,
            accelerators,
        }
    }

    /// Returns whether every dimension of `self` is at most that of `other`.
    pub const fn fits(&self, other: &Self) -> bool {
        self.cpu_milli <= other.cpu_milli
            && self.memory_mib <= other.memory_mib
            && self.accelerators <= other.accelerators
    }

    /// Adds each dimension; returns `None` on overflow.
    pub const fn checked_add(&self, other: &Self) -> Option<Self> {
        let (Some(cpu_milli), Some(memory_mib), Some(accelerators)) = (
            self.cpu_milli.checked_add(other.cpu_milli),
            self.memory_mib.checked_add(other.memory_mib),
            self.accelerators.checked_add(other.accelerators),
        ) else {
            return None;
        };
        Some(Self {
            cpu_milli,
            memory_mib,
            accelerators,
        })
    }

    /// Subtracts each dimension; returns `None` if any would become negative.
    pub const fn checked_sub(&self, other: &Self) -> Option<Self> {
        let (Some(cpu_milli), Some(memory_mib), Some(accelerators)) = (
            self.cpu_milli.checked_sub(other.cpu_milli),
            self.memory_mib.checked_sub(other.memory_mib),
            self.accelerators.checked_sub(other.accelerators),
        ) else {
            return None;
        };
        Some(Self {
            cpu_milli,
            memory_mib,
            accelerators,
        })
    }

    /// Subtracts each dimension, saturating at zero.
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Adds each dimension, saturating at the maximum value.
    pub const fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns whether every dimension is zero.
    pub const fn is_zero(&self) -> bool {
        self.cpu_milli == 0 && self.memory_mib == 0 && self.accelerators == 0
    }

    /// Returns the dominant share: the largest share of `total` that `self` takes in any dimension.
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let share = |used: u32, all: u32| {
            if all == 0 {
                0.0
            } else {
                f64::from(used) / f64::from(all)
            }
        };
        share(self.cpu_milli, total.cpu_milli)
            .max(share(self.memory_mib, total.memory_mib))
            .max(share(self.accelerators, total.accelerators))
    }
}

/// Resources that a worker offers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Capacity {
    /// Amount of each resource.
    pub amount: Amount,
    /// Kind of the accelerators; 0 when there are none.
    pub accelerator: id::AcceleratorKind,
}
