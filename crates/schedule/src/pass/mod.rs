//! Passes over the scheduler's state, one module per concern.

mod aging;
mod backlog;
mod drain;
mod end;
mod estimate;
mod explain;
pub(crate) mod gang;
mod health;
mod hold;
mod lease;
pub(crate) mod limit;
mod place;
mod preempt;
mod queue;
mod report;
mod restore;
pub(crate) mod submit;
mod verify;
