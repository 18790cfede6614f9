//! Interface between the gateway and control: views that the gateway reads, and calls that it makes.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bronzespoke_clock as clock;
use bronzespoke_model::{config, event, id, job, service, target, team, vm, worker};
use bytes::Bytes;
use tokio::sync::{mpsc, oneshot, watch};

/// Capacity of the channel of calls. If it is full, a request gets status 503 and `not run`.
pub const CALL_QUEUE_CAPACITY: usize = 4096;

/// Subset of the root state that is needed to serve requests.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Configuration version of this view.
    pub version: id::ConfigVersion,
    /// Cell-wide configuration.
    pub config: config::Config,
    /// Teams by the hash of each key that is granted and not withdrawn.
    pub keys: HashMap<team::KeyHash, id::TeamId>,
    /// Teams by id.
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
    /// Every target that may get requests now.
    pub usable: Vec<target::Status>,
}

/// A claim of a request id.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Team that sent the request.
    pub team: id::TeamId,
    /// The caller's id for the request (`Idempotency-Key`), 1 to 128 bytes.
    pub request: String,
}

/// Reply to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claimed {
    /// The claim is recorded durably, and the request may be sent. Carries the number to complete or release it with.
    Granted(u64),
    /// Another request with this id is in progress.
    InProgress,
    /// The request was completed. Carries its response.
    Answered(StoredResponse),
    /// An earlier request with this id may have run, and its response is not known.
    Unknown,
    /// The claim was not recorded; the request was not run.
    NotRun(String),
}

/// The response of a claimed request, stored to be returned for a resend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of `Content-Type`; empty if the response has none.
    pub content_type: String,
    /// Body, at most 64 KiB.
    pub body: Bytes,
}

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Completion {
    /// The request was completed with this response.
    Answered(StoredResponse),
    /// The request did not run; the id can be claimed again.
    NotRun,
    /// The request may have run; its response is not known.
    Unknown,
}

/// A job as callers see it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct JobStatus {
    /// Id of the job.
    pub job: id::JobId,
    /// Team that submitted the job.
    pub team: id::TeamId,
    /// State of the job as a whole.
    pub state: job::State,
    /// Number of tasks that wait to start.
    pub waiting: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Number of tasks that succeeded.
    pub succeeded: u32,
    /// Results of the tasks that succeeded, by task index; empty unless requested.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub results: Vec<(id::TaskIndex, String)>,
}

/// Why control did not carry out a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// Another VM is responsible; carries its HTTP address.
    Redirect(SocketAddr),
    /// The call had no effect and may be retried later.
    Unavailable(String),
    /// It is not known whether the call had an effect.
    Unknown(String),
    /// The call has an invalid argument.
    Invalid {
        /// Name of the invalid field.
        field: String,
        /// Which values are allowed.
        message: String,
    },
    /// The resource does not exist.
    NotFound,
    /// The job can never run; carries the reason.
    Impossible(job::Impossible),
}

/// Channel for the reply to a call.
pub type Reply<T> = oneshot::Sender<Result<T, Refusal>>;

/// A call to control.
#[derive(Debug)]
pub enum Call {
    /// Claims a request id before the request is sent.
    Claim(Claim, oneshot::Sender<Claimed>),
    /// Records the completion of the claim with this number.
    ///
    /// Control drops the sender when the completion is recorded or cannot be.
    Complete(Claim, u64, Completion, oneshot::Sender<()>),
    /// Submits a job, with an optional request id; the reply follows when the job is stored durably.
    Submit(id::TeamId, Option<String>, job::Spec, Reply<id::JobId>),
    /// Reads the status of a job; the flag requests its results too.
    Job(id::TeamId, id::JobId, bool, Reply<JobStatus>),
    /// Cancels a job and returns its status.
    Cancel(id::TeamId, id::JobId, Reply<JobStatus>),
    /// Announces a target or renews its announcement; the reply is the time after which to renew it.
    Announce(target::Announcement, Reply<Duration>),
    /// Records that an incarnation of a target is departing.
    Depart(id::TargetId, id::Incarnation, Reply<()>),
    /// Registers a worker.
    Register(worker::Registration, Reply<()>),
    /// Passes on the report of a worker; the reply may wait up to a second for directives.
    Report(worker::Report, Reply<worker::Reply>),
    /// Publishes the number of this VM's requests in flight to a target.
    Load(id::TargetId, u32),
    /// Adds an event to the timeline.
    Event(event::Kind),
}

/// The gateway's handle to control.
#[derive(Debug, Clone)]
pub struct Handle {
    /// Channel of calls to control.
    pub calls: mpsc::Sender<Call>,
    /// Latest view of the root state.
    pub view: watch::Receiver<Arc<View>>,
    /// Latest set of targets.
    pub targets: watch::Receiver<Arc<Targets>>,
    /// Freshness of `view`.
    pub freshness: Freshness,
    /// Region and availability zone of this VM.
    pub place: vm::Place,
}

/// Time up to which the view is known to be complete. Control advances it; the gateway checks it.
#[derive(Debug, Clone)]
pub struct Freshness {
    origin: clock::Origin,
    complete_until_micros: Arc<AtomicU64>,
}

impl Freshness {
    /// Maximum age of a view against which keys are checked.
    pub const MAX_KEY_VIEW_AGE: Duration = Duration::from_secs(3);

    /// Creates a freshness that was never advanced; `origin` is the start of the process.
    pub fn new(origin: clock::Origin) -> Self {
        Self {
            origin,
            complete_until_micros: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Returns the start of the process, from which times are counted.
    pub const fn origin(&self) -> clock::Origin {
        self.origin
    }

    /// Records that the view contains everything committed before `complete_until`, counted from the start of the process.
    pub fn advance(&self, complete_until: Duration) {
        self.complete_until_micros
            .fetch_max(complete_until.as_micros() as u64, Ordering::Relaxed);
    }

    /// Returns whether the view is fresh enough to check keys against it.
    pub fn is_fresh(&self) -> bool {
        let complete_until = self.complete_until_micros.load(Ordering::Relaxed);
        let age = self
            .origin
            .elapsed()
            .saturating_sub(Duration::from_micros(complete_until));
        complete_until > 0 && age <= Self::MAX_KEY_VIEW_AGE
    }
}
