//! Speed of `control`.

/// Registers the benchmarks of this part.
pub fn register(_criterion: &mut criterion::Criterion) {}
