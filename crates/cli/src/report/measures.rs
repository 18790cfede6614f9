//! Measures of a policy run, and whether they meet their bounds.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Value;

/// Maximum ratio that a chart shows; larger ratios are clamped to it.
pub const MAX_RATIO: f64 = 2.0;

/// Bound on a measured value, in the form that `bronzespoke-bench` prints.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// No bound; the value is only reported.
    None,
    /// The value must not be larger.
    AtMost(f64),
    /// The value must not be smaller.
    AtLeast(f64),
}

/// Measured value with its bound.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Measure {
    /// Dotted name of the measure, such as `part.measure.variant`.
    pub name: String,
    /// Measured value; `None` if it was not a finite number.
    pub value: Option<f64>,
    /// Unit of `value` and of the bound.
    pub unit: String,
    /// Bound that `value` is checked against.
    pub bound: Bound,
    /// Origin of the bound.
    pub source: String,
}

/// Result of checking a measure against its bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The measure has no bound.
    Unbounded,
    /// The value is within the bound.
    Holds,
    /// The value is outside the bound, or is not a finite number.
    Broken,
}

impl Measure {
    /// Checks the value against the bound.
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
    /// The ratio is value / bound for an upper bound and bound / value for a lower bound. Returns `None` if the bound
    /// or the value is absent.
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

    /// Returns the part that the measure belongs to: the name up to the first dot.
    pub fn part(&self) -> &str {
        self.name.split('.').next().unwrap_or_default()
    }
}

/// Parses the rows of a policy run.
///
/// # Errors
///
/// Returns a message of one sentence that names the first invalid row.
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
