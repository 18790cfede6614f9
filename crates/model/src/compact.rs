//! Binary forms of a worker's report and of its answer.
//!
//! They travel as `postcard`, which has no names of fields and cannot read internally tagged enums. Their shape is
//! fixed by [`MEDIA_TYPE`]; another shape needs another version in it.

use serde::{Deserialize, Serialize};

use crate::{id, resource, task, worker};

/// Media type of both forms, for `Content-Type` and `Accept`.
pub const MEDIA_TYPE: &str = "application/vnd.bronzespoke.report.v1+postcard";

/// A [`worker::Report`] without the worker, which the path names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Life number.
    pub incarnation: id::Incarnation,
    /// Number of the report in this life.
    pub sequence: u64,
    /// Answered report that this one is a change of.
    pub base: Option<u64>,
    /// Tasks that run, or with a base those that changed.
    pub running: Vec<worker::Running>,
    /// Tasks that ended.
    pub ended: Vec<worker::Ended>,
}

impl Report {
    /// Returns the report of a worker.
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

/// A [`worker::Reply`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Highest report number whose ended tasks are durably recorded.
    pub acknowledged: u64,
    /// Lease length from the time the report was sent, in milliseconds.
    pub lease_ms: u64,
    /// What to do, in order.
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

/// A [`task::Directive`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Directive {
    /// Start the task: its token, most that it may use, and what to run.
    Start(task::Ref, id::Token, resource::Amount, String),
    /// Stop the task.
    Stop(task::Ref, id::Token),
    /// Save the task's progress, then stop it.
    Checkpoint(task::Ref, id::Token),
    /// Hold the task to thousandths of its granted processors.
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
