//! State of a zone group: jobs, task leases, workers, request ids and the zone's parts of upper limits.

mod apply;
mod claims;
mod command;
mod compact;
mod holdings;
mod jobs;
mod state;
mod workers;

pub use claims::{Answer, Claimed, Claims, Completion};
pub use command::{Command, End, Outcome, Refusal, Start};
pub use holdings::{Holding, Holdings};
pub use jobs::{Job, Lookup, Run, Status};
pub use state::{Rules, State};
pub use workers::Worker;

/// A zone command with its envelope.
pub type Envelope = crate::envelope::Envelope<Command>;
