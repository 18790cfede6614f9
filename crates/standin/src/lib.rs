//! Simulated targets, workers and callers for the demo, the tests and the benchmarks.
//!
//! The real targets, workers and callers are not part of this repository. The stand-ins use the same HTTP interfaces
//! over real sockets, and record independently what ran, so that checks do not rely on the state of the scheduler.

pub mod caller;
pub mod client;
pub mod fleet;
pub mod ledger;
pub mod target;
pub mod worker;
