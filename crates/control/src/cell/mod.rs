//! Replicated state machine of the cell: configuration, workers, jobs and the placement of each task.
//!
//! One consensus group of VMs with disks replicates it. A start is committed before its directive is sent, and an end
//! before it is acknowledged, so a new leader knows every worker on which a task may still run.

mod apply;
mod command;
mod former;
mod learned;
mod state;
mod verify;
mod withdrawn;

pub use command::{Command, End, Outcome, Start};
pub use learned::{PastUse, Speed};
pub use state::{Job, Occurrence, Registered, State, Step, Task, WorkerIndex};
