//! Queries to the eligibility service.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::job;

/// Maximum number of workers that one query may name.
pub const MAX_WORKERS: usize = 100;

/// One step of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Step {
    /// Job that the step belongs to.
    pub job: job::Key,
    /// Index of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step in the job, from 0.
    pub step: u16,
}

/// Query for which of some workers may run a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Step to run.
    pub step: Step,
    /// Names of the candidate workers, at most [`MAX_WORKERS`].
    pub workers: Vec<String>,
}

/// Answer to a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Workers that may run the step.
    Eligible {
        /// Name and ticket of each eligible worker.
        workers: Vec<(String, Bytes)>,
        /// How long the tickets are valid, if the service states it.
        valid: Option<Duration>,
    },
    /// Too many queries are waiting at the service.
    Busy,
    /// No valid answer arrived.
    Failed,
}
