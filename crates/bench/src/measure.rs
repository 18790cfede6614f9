//! One row of the policy table.

use serde::Serialize;

/// A bound on a measured value.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// Reported without a verdict.
    None,
    /// The value must not be larger.
    AtMost(f64),
    /// The value must not be smaller.
    AtLeast(f64),
}

/// A measured value with its bound.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// What was measured, as `part.measure.variant`.
    pub name: String,
    /// Measured value; a count or simulated time, never elapsed time.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Bound.
    pub bound: Bound,
    /// Where the bound comes from: the brief, the capacity target or an issue.
    pub source: &'static str,
}

impl Row {
    /// Returns a row.
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

    /// Tells whether the bound holds.
    pub fn holds(&self) -> bool {
        match self.bound {
            Bound::None => true,
            Bound::AtMost(limit) => self.value <= limit,
            Bound::AtLeast(limit) => self.value >= limit,
        }
    }
}

/// How long a policy run takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Length {
    /// Tens of seconds at most over all parts; for CI.
    Short,
    /// Minutes.
    Long,
}
