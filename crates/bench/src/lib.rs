//! Policy measurements with bounds, and benchmarks.
//!
//! Each measured package has a module that drives its decision logic with small fakes in virtual time and returns
//! rows. The `policy` bench prints the rows and fails when a value violates its bound.

pub mod measure;
pub mod policy;
