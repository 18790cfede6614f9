//! Registrations and reports of workers.

use serde::{Deserialize, Serialize};

use crate::{id, resource, task};

/// Maximum number of tasks in one report.
pub const MAX_TASKS_IN_REPORT: usize = 1024;

/// Registration of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Registration {
    /// Id of the worker.
    pub worker: id::WorkerId,
    /// Incarnation of the worker; a higher incarnation replaces a lower one.
    pub incarnation: id::Incarnation,
    /// Rack of the worker in its availability zone.
    pub rack: id::RackId,
    /// Resources of the worker.
    pub capacity: resource::Capacity,
}

/// A task that runs on the worker at the time of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Task that runs.
    pub task: task::Ref,
    /// Fencing token of its lease.
    pub token: id::Token,
    /// Measured resource usage.
    pub usage: resource::Amount,
}

/// A task that ended since the last acknowledged report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Task that ended.
    pub task: task::Ref,
    /// Fencing token of its lease.
    pub token: id::Token,
    /// Outcome of the run.
    pub outcome: task::Outcome,
}

/// Periodic report of a worker, which also renews the leases of all its tasks.
///
/// A report with a `base` is a delta to that earlier report: `running` contains only the runs that started or whose
/// usage changed, and a run ends only by an entry in `ended`. A run that disappears without such an entry requires a
/// full report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Id of the worker.
    pub worker: id::WorkerId,
    /// Incarnation of the worker.
    pub incarnation: id::Incarnation,
    /// Sequence number of the report in this incarnation; reports with lower numbers than the latest are ignored.
    pub sequence: u64,
    /// Acknowledged report that this one is a delta to; `None` in a full report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<u64>,
    /// Running tasks, at most [`MAX_TASKS_IN_REPORT`]; in a delta, only those that changed.
    pub running: Vec<Running>,
    /// Ended tasks; each is repeated until a reply acknowledges it.
    pub ended: Vec<Ended>,
}

/// Reply to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Highest sequence number of a report whose ended tasks are durably recorded.
    pub acknowledged: u64,
    /// Lease duration from the time the report was sent, in milliseconds; tasks must stop when the lease expires.
    pub lease_ms: u64,
    /// Directives to execute, in order.
    pub directives: Vec<task::Directive>,
}
