//! Measurements: policy tables with bounds and speed benchmarks.
//!
//! Each part of the system contributes a module that drives its decisions with small fakes in virtual time and
//! returns rows. The benches print the rows; a broken bound fails the run.

pub mod measure;
pub mod policy;
