//! A fleet in simulated time: workers that take orders, the eligibility service, callers, and the leader's decisions
//! between them. Nothing here uses sockets or clocks; a run depends on its seed only.

pub mod load;
pub mod simulation;
pub mod worker;
