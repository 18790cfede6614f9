//! Replicated state of a zone group: jobs, task leases, workers, request ids and the zone's allotments of upper limits.

mod apply;
mod claims;
mod command;
mod compact;
mod holdings;
mod jobs;
mod memory;
mod state;
mod workers;

pub use apply::{JOB_RETENTION_MS, MAX_ATTEMPTS, MAX_ENDED_BYTES, MAX_OPEN_BYTES};
pub use claims::{
    Claimed, Claims, Completion, MAX_IDS as MAX_REQUEST_IDS, MAX_RESPONSE_BYTES, MAX_RESPONSES_BYTES,
    StoredResponse,
};
pub use command::{Command, End, Outcome, Refusal, Start};
pub use holdings::{Holding, Holdings};
pub use jobs::{Job, Lookup, Run, Status};
pub use state::{Rules, State};
pub use workers::Worker;

/// Log entry payload of a zone group: a zone command with its id and time.
pub type Envelope = crate::envelope::Envelope<Command>;
