//! Commands of the cell and their outcomes.

use std::net::SocketAddr;

use bronzespoke_model::id;
use bronzespoke_workload::{catalog, directive, job, worker};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{learned, state};

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration if the new version is higher.
    Configure {
        /// Catalog decoded from the document.
        catalog: Box<catalog::Catalog>,
        /// Document as sent by the operator.
        document: Bytes,
    },
    /// Accepts a job. A second submission under the same id has no effect.
    Submit {
        /// Id chosen by the caller.
        key: job::Key,
        /// Queue that the job was submitted to.
        queue: Box<catalog::Queue>,
        /// Team whose key authenticated the submission; `None` on an open queue.
        team: Option<String>,
        /// Steps and schedule of the job.
        submission: Box<job::Submission>,
    },
    /// Cancels a job that has not reached a final phase.
    Cancel {
        /// Id of the job.
        key: job::Key,
    },
    /// Adds an incarnation of a worker, or updates its attributes and whether it drains.
    Register {
        /// Name and start time of the process.
        #[serde(rename = "life")]
        incarnation: worker::Incarnation,
        /// Address, pool, place and capacity.
        worker: Box<worker::Worker>,
        /// Whether the worker accepts no new tasks because it is leaving.
        draining: bool,
    },
    /// Removes an incarnation of a worker. Its runs stay placed until their ends are recorded.
    Retire {
        /// Index of the incarnation.
        worker: state::WorkerIndex,
    },
    /// Places tasks. Their directives are sent only after this command is committed.
    Start(Vec<Start>),
    /// Records the ends of runs.
    End(Vec<End>),
    /// Removes jobs whose status need not be retained any longer. Jobs that are not in a final phase or have runs that
    /// have not ended are kept.
    Forget(Vec<job::Key>),
    /// Records the peer address of a VM.
    Locate {
        /// VM that the address belongs to.
        vm: id::VmId,
        /// Address for connections between daemons; belongs to at most one VM.
        peer: SocketAddr,
    },
    /// Orders or withdraws the evacuation of an availability zone: its workers get no new tasks.
    Evacuate {
        /// Name of the zone.
        zone: String,
        /// Whether the zone is to be evacuated from now on.
        active: bool,
        /// [`State::zone_orders`](state::State::zone_orders) at the daemon that received the order, when it last verified
        /// that the operator waits for the reply; `None` if that daemon has no replica. A later order about the zone makes
        /// this one a late copy.
        seen: Option<u64>,
    },
    /// Records what the leader has learned since the last such record; `None` removes an entry.
    Learn {
        /// Speeds by the name of the machine.
        speeds: Vec<(String, Option<learned::Speed>)>,
        /// Past use by the name of the team.
        past_use: Vec<(String, Option<learned::PastUse>)>,
    },
    /// Cancels a job that the leader does not know: cancels it if its submission was recorded first, and refuses its
    /// submissions for a while if not.
    Withdraw {
        /// Id of the job.
        key: job::Key,
        /// Team whose key authenticated the cancellation; `None` without a key.
        team: Option<String>,
        /// Milliseconds for which a submission may still arrive.
        keep_ms: u64,
    },
}

/// Placement of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Task to start.
    pub task: directive::Task,
    /// Run number; higher than that of every earlier run of the task.
    pub run: directive::Run,
    /// Worker that the task is placed on.
    pub worker: state::WorkerIndex,
}

/// End of one run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Task whose run ended.
    pub task: directive::Task,
    /// Run number.
    pub run: directive::Run,
    /// Worker whose run ended; not compared with the placement.
    pub worker: state::WorkerIndex,
    /// Outcome of the run.
    pub outcome: directive::Outcome,
    /// Checkpoint to resume from, if the run left one.
    pub checkpoint: Option<Bytes>,
}

/// Effect of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The command took effect, or had taken effect earlier.
    Done,
    /// The job does not exist.
    NoJob,
    /// The job was cancelled before its submission was recorded. The submission has no effect, now or later; contains the
    /// number of milliseconds after which the id may be submitted again.
    Withdrawn(u64),
    /// Too many cancellations are remembered. The command has no effect.
    Full,
    /// The order was received before a newer one about its zone was recorded, and has no effect.
    Outdated,
    /// Whether each start of the command was recorded, in the order of the command.
    Started(Vec<bool>),
    /// Jobs that are in a final phase after the command.
    Finished(Vec<job::Key>),
}
