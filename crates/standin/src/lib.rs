//! Stand-ins for targets, workers and callers, used by the demo and the tests.

pub mod caller;
pub mod target;
