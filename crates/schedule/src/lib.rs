//! Scheduling decisions: placement, fair share, limits, gangs, preemption, leases and worker health.
//!
//! One [`Scheduler`] serves one availability zone and runs on the leader of the zone group. It reads no clock and
//! does no I/O: every step takes the current time and an input, and appends outputs. The outputs are proposals. A
//! [`message::Output::Start`] takes effect when the zone group has committed it. If a commit fails, the caller
//! drops the scheduler, and the next leader restores a new one from the replicated state.

mod amount;
mod backlog;
pub mod config;
mod estimate;
mod index;
mod job;
mod lane;
pub mod message;
mod pass;
mod range;
mod run;
mod scheduler;
mod table;
mod team;
mod timer;
mod worker;

pub use config::Config;
pub use message::{Input, Output};
pub use scheduler::Scheduler;
