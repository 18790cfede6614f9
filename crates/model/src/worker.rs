//! Workers, as they register and report.

use serde::{Deserialize, Serialize};

use crate::{id, resource, task};

/// Most tasks that one report may name.
pub const MAX_TASKS_IN_REPORT: usize = 1024;

/// A worker at registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Registration {
    /// The worker.
    pub worker: id::WorkerId,
    /// Life number; a later life replaces an earlier one.
    pub incarnation: id::Incarnation,
    /// Rack in the availability zone.
    pub rack: id::RackId,
    /// What the worker has.
    pub capacity: resource::Capacity,
}

/// A task that a worker runs at the time of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The task.
    pub task: task::Ref,
    /// Token of its lease.
    pub token: id::Token,
    /// Measured use.
    pub usage: resource::Amount,
}

/// A task that ended since the last acknowledged report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The task.
    pub task: task::Ref,
    /// Token of its lease.
    pub token: id::Token,
    /// How it ended.
    pub outcome: task::Outcome,
}

/// A worker's periodic report, which also renews the leases of all its tasks.
///
/// A report with a `base` names only what changed since that report: `running` holds the runs that began or whose use
/// changed, and runs end only by an entry in `ended`. A run that is lost without an end needs a full report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The worker.
    pub worker: id::WorkerId,
    /// Life number.
    pub incarnation: id::Incarnation,
    /// Number of the report in this life; earlier numbers are ignored.
    pub sequence: u64,
    /// Answered report that this one is a change of; none in a full report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<u64>,
    /// Tasks that run now, at most [`MAX_TASKS_IN_REPORT`]; with a base only those that changed.
    pub running: Vec<Running>,
    /// Tasks that ended; repeated until a reply acknowledges them.
    pub ended: Vec<Ended>,
}

/// Answer to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Highest report number whose ended tasks are durably recorded.
    pub acknowledged: u64,
    /// Lease length from the time the report was sent, in milliseconds; tasks must stop when it runs out.
    pub lease_ms: u64,
    /// What to do, in order.
    pub directives: Vec<task::Directive>,
}
