//! A fleet in simulated time: workers that execute directives, the eligibility service, callers, and the leader that
//! schedules the work. The simulation uses no sockets and no clocks, so that a run depends only on its seed.

pub mod full;
pub mod load;
pub mod simulation;
pub mod worker;
