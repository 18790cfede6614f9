//! Passes over the scheduler's state, one module per job.

mod drain;
mod end;
mod estimate;
mod explain;
mod gang;
mod health;
mod hold;
mod lease;
mod limit;
mod place;
mod queue;
mod report;
mod restore;
mod submit;
mod verify;
