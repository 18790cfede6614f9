//! Speed of `request`.

/// Registers the benchmarks of this part.
pub fn register(_criterion: &mut criterion::Criterion) {}
