//! What the gateway reads from control, and what it asks of it.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bronzespoke_model::{config, event, id, job, service, target, team, vm, worker};
use bytes::Bytes;
use tokio::sync::{mpsc, oneshot, watch};

/// Calls that may wait for control; a full channel is answered with 503 and `not run`.
pub const CALL_QUEUE_CAPACITY: usize = 4096;

/// The part of the root state that requests need.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Configuration version of this view.
    pub version: id::ConfigVersion,
    /// Configuration.
    pub config: config::Config,
    /// Teams by the hash of each key that is granted and not withdrawn.
    pub keys: HashMap<team::KeyHash, id::TeamId>,
    /// Teams.
    pub teams: HashMap<id::TeamId, Arc<team::Team>>,
    /// Services by name.
    pub services: HashMap<String, service::Service>,
    /// Open queues by name.
    pub queues: HashMap<String, service::Queue>,
    /// Entry VMs in the directory, which share the connections and slots of targets.
    pub entries: Vec<vm::Vm>,
}

/// Targets as this VM knows them.
#[derive(Debug, Clone, Default)]
pub struct Targets {
    /// Every target that may be used now.
    pub usable: Vec<target::Status>,
}

/// A request id claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Team that sent the request.
    pub team: id::TeamId,
    /// The caller's id for the request (`Idempotency-Key`), 1 to 128 bytes.
    pub request: String,
}

/// Answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claimed {
    /// Recorded durably; the caller may be sent to a target once. Carries the number to complete or release with.
    Granted(u64),
    /// Another attempt holds the id.
    InProgress,
    /// The first answer.
    Answered(StoredResponse),
    /// The first attempt may or may not have run and its answer is not known.
    Unknown,
    /// The claim was not recorded; the request was not run.
    NotRun(String),
}

/// A stored answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body, at most 64 KiB.
    pub body: Bytes,
}

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Completion {
    /// The answer to store.
    Answered(StoredResponse),
    /// The request certainly did not run; the id is free again.
    NotRun,
    /// The request may have run; its answer is not known.
    Unknown,
}

/// A job as callers see it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct JobStatus {
    /// The job.
    pub job: id::JobId,
    /// Its team.
    pub team: id::TeamId,
    /// State.
    pub state: job::State,
    /// Tasks that wait, run and ended.
    pub waiting: u32,
    /// Tasks that run now.
    pub running: u32,
    /// Tasks that succeeded.
    pub succeeded: u32,
    /// Results of the tasks that succeeded, by index; filled only when the result was asked for.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub results: Vec<(id::TaskIndex, String)>,
}

/// Why control did not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// Another VM has to be asked; carries its HTTP address.
    Redirect(SocketAddr),
    /// Nothing was done; try again later.
    Unavailable(String),
    /// Whether it was done is not known.
    Unknown(String),
    /// The call itself is wrong.
    Invalid {
        /// Field at fault.
        field: String,
        /// What is allowed.
        message: String,
    },
    /// There is no such thing.
    NotFound,
    /// The job can never run.
    Impossible(job::Impossible),
}

/// Answer channel of a call.
pub type Reply<T> = oneshot::Sender<Result<T, Refusal>>;

/// A request to control.
#[derive(Debug)]
pub enum Call {
    /// Record a request id before its request is sent.
    Claim(Claim, oneshot::Sender<Claimed>),
    /// Record how a claimed request ended.
    ///
    /// The sender is dropped when the end is recorded, or cannot be.
    Complete(Claim, u64, Completion, oneshot::Sender<()>),
    /// Accept a job durably.
    Submit(id::TeamId, Option<String>, job::Spec, Reply<id::JobId>),
    /// Read a job; the flag asks for its results.
    Job(id::TeamId, id::JobId, bool, Reply<JobStatus>),
    /// Cancel a job.
    Cancel(id::TeamId, id::JobId, Reply<JobStatus>),
    /// A target announces itself or renews.
    Announce(target::Announcement, Reply<Duration>),
    /// A target departs.
    Depart(id::TargetId, id::Incarnation, Reply<()>),
    /// A worker registers.
    Register(worker::Registration, Reply<()>),
    /// A worker reports; the reply may wait up to a second for directives.
    Report(worker::Report, Reply<worker::Reply>),
    /// Requests in flight to a target, for its load report.
    Load(id::TargetId, u32),
    /// An event for the time line.
    Event(event::Kind),
}

/// The gateway's access to control.
#[derive(Debug, Clone)]
pub struct Handle {
    /// Calls to control.
    pub calls: mpsc::Sender<Call>,
    /// Latest view of the root state.
    pub view: watch::Receiver<Arc<View>>,
    /// Latest targets.
    pub targets: watch::Receiver<Arc<Targets>>,
    /// Freshness of the view.
    pub freshness: Freshness,
    /// Where this VM stands.
    pub place: vm::Place,
}

/// Instant up to which the view is known to be complete, shared by control and traffic.
#[derive(Debug, Clone)]
pub struct Freshness {
    origin: Instant,
    basis_micros: Arc<AtomicU64>,
}

impl Freshness {
    /// Longest age of a view that keyed work is honoured under.
    pub const MAX_KEY_VIEW_AGE: Duration = Duration::from_secs(3);

    /// Returns a record without any known basis; `origin` is the start of the process.
    pub fn new(origin: Instant) -> Self {
        Self {
            origin,
            basis_micros: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Returns the start of the process.
    pub const fn origin(&self) -> Instant {
        self.origin
    }

    /// Records that the view holds everything committed before `basis`, counted from the start of the process.
    pub fn advance(&self, basis: Duration) {
        self.basis_micros
            .fetch_max(basis.as_micros() as u64, Ordering::Relaxed);
    }

    /// Tells whether keyed work may be taken now.
    pub fn is_fresh(&self) -> bool {
        let basis = self.basis_micros.load(Ordering::Relaxed);
        let age = self.origin.elapsed().saturating_sub(Duration::from_micros(basis));
        basis > 0 && age <= Self::MAX_KEY_VIEW_AGE
    }
}
