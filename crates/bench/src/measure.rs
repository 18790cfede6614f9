//! Rows of the policy table and their bounds.

use serde::Serialize;

/// A bound on a measured value.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// No bound: the value is only reported.
    None,
    /// Upper bound, inclusive.
    AtMost(f64),
    /// Lower bound, inclusive.
    AtLeast(f64),
}

/// A measured value with its bound.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Name of the measure, as `package.measure.variant`.
    pub name: String,
    /// Measured value: a count or a simulated time, never wall-clock time, so that a seed reproduces it.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Bound that the value must satisfy.
    pub bound: Bound,
    /// Where the bound comes from: the brief, the capacity target or an issue.
    pub source: &'static str,
}

impl Row {
    /// Creates a row from a measured value and its bound.
    pub fn new(
        name: impl Into<String>,
        value: f64,
        unit: &'static str,
        bound: Bound,
        source: &'static str,
    ) -> Self {
        Self {
            name: name.into(),
            value,
            unit,
            bound,
            source,
        }
    }

    /// Returns whether the value satisfies the bound.
    pub fn holds(&self) -> bool {
        match self.bound {
            Bound::None => true,
            Bound::AtMost(limit) => self.value <= limit,
            Bound::AtLeast(limit) => self.value >= limit,
        }
    }
}

/// Length of a policy run: the number of trials and the simulated time of each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Length {
    /// At most tens of seconds over all packages, for CI.
    Short,
    /// Several minutes, with more trials, longer windows and larger fleets.
    Long,
}
