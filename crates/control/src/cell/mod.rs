//! State machine of a fleet whose workers take orders: configuration, workers, jobs and where each task runs.
//!
//! One group of VMs with disks replicates it. A start is recorded before its order is sent and an end before it is
//! acknowledged, so that a new leader knows every place where a task may still run.

mod apply;
mod command;
mod state;
mod verify;

pub use command::{Command, End, Outcome, Start};
pub use state::{Job, Occurrence, Registered, State, Step, Task, WorkerIndex};
