//! Questions to the eligibility service.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::job;

/// Workers that one question may name.
pub const MAX_WORKERS: usize = 100;

/// One step of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Step {
    /// Job.
    pub job: job::Key,
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u16,
}

/// Asks which of some workers may run a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Step.
    pub step: Step,
    /// Names of workers, at most [`MAX_WORKERS`].
    pub workers: Vec<String>,
}

/// Answer to a question.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The workers that may run the step.
    Eligible {
        /// Name and ticket of each.
        workers: Vec<(String, Bytes)>,
        /// How long the tickets may be used, if told.
        valid: Option<Duration>,
    },
    /// Too many questions wait at the service.
    Busy,
    /// No usable answer came.
    Failed,
}
