//! Binary encoding of a worker's report and of the reply to it.
//!
//! The encoding is `postcard`, which has no field names and cannot decode internally tagged enums; therefore these
//! types mirror those of [`worker`] and [`task`]. [`MEDIA_TYPE`] fixes their layout: a changed layout needs a new
//! version in it.

use serde::{Deserialize, Serialize};

use crate::{id, resource, task, worker};

/// Media type of reports and replies in this encoding, for `Content-Type` and `Accept`.
pub const MEDIA_TYPE: &str = "application/vnd.bronzespoke.report.v1+postcard";

/// A [`worker::Report`] without the worker id, which the request path contains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the worker.
    pub incarnation: id::Incarnation,
    /// Sequence number of the report in this incarnation.
    pub sequence: u64,
    /// Acknowledged report that this one is a delta to; `None` in a full report.
    pub base: Option<u64>,
    /// Running tasks; in a delta, only those that changed.
    pub running: Vec<worker::Running>,
    /// Ended tasks whose end is not acknowledged.
    pub ended: Vec<worker::Ended>,
}

impl Report {
    /// Returns the [`worker::Report`] of the worker that sent the report.
    pub fn with_worker(self, worker: id::WorkerId) -> worker::Report {
        worker::Report {
            worker,
            incarnation: self.incarnation,
            sequence: self.sequence,
            base: self.base,
            running: self.running,
            ended: self.ended,
        }
    }
}

impl From<worker::Report> for Report {
    fn from(report: worker::Report) -> Self {
        Self {
            incarnation: report.incarnation,
            sequence: report.sequence,
            base: report.base,
            running: report.running,
            ended: report.ended,
        }
    }
}

/// Binary form of a [`worker::Reply`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Highest sequence number of a report whose ended tasks are durably recorded.
    pub acknowledged: u64,
    /// Lease duration from the time the report was sent, in milliseconds.
    pub lease_ms: u64,
    /// Directives to execute, in order.
    pub directives: Vec<Directive>,
}

impl From<worker::Reply> for Reply {
    fn from(reply: worker::Reply) -> Self {
        Self {
            acknowledged: reply.acknowledged,
            lease_ms: reply.lease_ms,
            directives: reply.directives.into_iter().map(Directive::from).collect(),
        }
    }
}

impl From<Reply> for worker::Reply {
    fn from(reply: Reply) -> Self {
        Self {
            acknowledged: reply.acknowledged,
            lease_ms: reply.lease_ms,
            directives: reply.directives.into_iter().map(task::Directive::from).collect(),
        }
    }
}

/// Binary form of a [`task::Directive`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Directive {
    /// Start the task: its token, the maximum that it may use, and the command to run.
    Start(task::Ref, id::Token, resource::Amount, String),
    /// Stop the task that holds the lease with this token.
    Stop(task::Ref, id::Token),
    /// Save a checkpoint of the task, then stop it.
    Checkpoint(task::Ref, id::Token),
    /// Limit the task to a share of its granted processors, in thousandths.
    Throttle(task::Ref, id::Token, u32),
}

impl From<task::Directive> for Directive {
    fn from(directive: task::Directive) -> Self {
        match directive {
            task::Directive::Start {
                task,
                token,
                granted,
                command,
            } => Self::Start(task, token, granted, command),
            task::Directive::Stop { task, token } => Self::Stop(task, token),
            task::Directive::Checkpoint { task, token } => Self::Checkpoint(task, token),
            task::Directive::Throttle {
                task,
                token,
                share_milli,
            } => Self::Throttle(task, token, share_milli),
        }
    }
}

impl From<Directive> for task::Directive {
    fn from(directive: Directive) -> Self {
        match directive {
            Directive::Start(task, token, granted, command) => Self::Start {
                task,
                token,
                granted,
                command,
            },
            Directive::Stop(task, token) => Self::Stop { task, token },
            Directive::Checkpoint(task, token) => Self::Checkpoint { task, token },
            Directive::Throttle(task, token, share_milli) => Self::Throttle {
                task,
                token,
                share_milli,
            },
        }
    }
}
