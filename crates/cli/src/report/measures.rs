//! Measures of a policy run.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Value;

/// Largest ratio that a chart shows; larger ones end there.
pub const MAX_RATIO: f64 = 2.0;

/// A bound on a measured value, as `bronzespoke-bench` prints it.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
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
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Measure {
    /// What was measured, as `part.measure.variant`.
    pub name: String,
    /// Measured value; absent when it was not a finite number.
    pub value: Option<f64>,
    /// Unit of the value.
    pub unit: String,
    /// Bound.
    pub bound: Bound,
    /// Where the bound comes from.
    pub source: String,
}

/// Whether the bound of a measure holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// There is no bound.
    Unbounded,
    /// The bound holds.
    Holds,
    /// The bound is broken, or the value is not a number.
    Broken,
}

impl Measure {
    /// Returns whether the bound holds.
    pub fn verdict(&self) -> Verdict {
        let holds = match (self.bound, self.value) {
            (Bound::None, Some(_)) => return Verdict::Unbounded,
            (Bound::AtMost(limit), Some(value)) => value <= limit,
            (Bound::AtLeast(limit), Some(value)) => value >= limit,
            (_, None) => false,
        };
        if holds { Verdict::Holds } else { Verdict::Broken }
    }

    /// Returns how much of the bound is used, from 0.0 to [`MAX_RATIO`]; at most 1.0 when the bound holds.
    ///
    /// For an upper bound this is value / bound, for a lower bound it is bound / value. `None` without a bound.
    pub fn ratio(&self) -> Option<f64> {
        let (used, allowed) = match (self.bound, self.value?) {
            (Bound::None, _) => return None,
            (Bound::AtMost(limit), value) => (value, limit),
            (Bound::AtLeast(limit), value) => (limit, value),
        };
        let ratio = if allowed > 0.0 {
            (used / allowed).max(0.0)
        } else if self.verdict() == Verdict::Holds {
            0.0
        } else {
            MAX_RATIO
        };
        Some(ratio.min(MAX_RATIO))
    }

    /// Returns the part, which is the name up to the first dot.
    pub fn part(&self) -> &str {
        self.name.split('.').next().unwrap_or_default()
    }
}

/// Reads the rows of a policy run.
///
/// # Errors
///
/// One sentence that names the first wrong row.
pub fn read(rows: Vec<Value>) -> Result<Vec<Measure>, String> {
    let read = |(index, row): (usize, Value)| {
        let measure = serde_json::from_value::<Measure>(row);
        measure.map_err(|error| format!("row {} is not a measure: {error}", index + 1))
    };
    rows.into_iter().enumerate().map(read).collect()
}

/// Groups measures by part, in alphabetical order of the parts.
pub fn by_part(measures: &[Measure]) -> BTreeMap<&str, Vec<&Measure>> {
    let mut parts = BTreeMap::<&str, Vec<&Measure>>::new();
    for measure in measures {
        parts.entry(measure.part()).or_default().push(measure);
    }
    parts
}
