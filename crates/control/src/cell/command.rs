//! Commands and their outcomes.

use std::net::SocketAddr;

use bronzespoke_model::id;
use bronzespoke_workload::{catalog, directive, job, worker};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::state;

/// A change of the state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration if its version is higher.
    Configure {
        /// Decoded form.
        catalog: Box<catalog::Catalog>,
        /// The operator's document.
        document: Bytes,
    },
    /// Accepts a job; the same id is accepted once.
    Submit {
        /// Id chosen by the caller.
        key: job::Key,
        /// Queue.
        queue: Box<catalog::Queue>,
        /// Team whose key came with it; `None` on an open queue.
        team: Option<String>,
        /// What to run.
        submission: Box<job::Submission>,
    },
    /// Cancels a job.
    Cancel {
        /// Job.
        key: job::Key,
    },
    /// Adds a life of a worker, or changes whether it drains.
    Register {
        /// Life.
        life: worker::Incarnation,
        /// What it is.
        worker: Box<worker::Worker>,
        /// Whether it leaves.
        draining: bool,
    },
    /// Removes a life of a worker. Its runs stay placed until their ends are recorded.
    Retire {
        /// Worker.
        worker: state::WorkerIndex,
    },
    /// Places tasks; their orders are sent after this is committed.
    Start(Vec<Start>),
    /// Records ends of runs.
    End(Vec<End>),
    /// Removes finished jobs that need not be shown any more.
    Forget(Vec<job::Key>),
    /// Names the peer address of a VM.
    Locate {
        /// VM.
        vm: id::VmId,
        /// Address.
        peer: SocketAddr,
    },
}

/// Placement of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Task.
    pub task: directive::Task,
    /// Number of the start.
    pub run: directive::Run,
    /// Worker.
    pub worker: state::WorkerIndex,
}

/// End of one run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Task.
    pub task: directive::Task,
    /// Number of the start.
    pub run: directive::Run,
    /// Worker.
    pub worker: state::WorkerIndex,
    /// How it ended.
    pub outcome: directive::Outcome,
    /// Progress to resume from.
    pub checkpoint: Option<Bytes>,
}

/// What a command did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The state holds what was asked for, also when it did before.
    Done,
    /// There is no such job.
    NoJob,
    /// Which starts of the command were recorded, in order.
    Started(Vec<bool>),
    /// Jobs that reached a final state.
    Finished(Vec<job::Key>),
}
