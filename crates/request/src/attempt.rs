//! Progress and outcome of one attempt, that is, of sending a request to one target.

use std::time::Duration;

/// Progress of an attempt. Variants are ordered; an attempt only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Progress {
    /// The target cannot have read any byte of the request, or it reported that it did not run the request.
    NotSent,
    /// The target may have read bytes of the request; no response has started.
    Sent,
    /// Part of a response was received, so the target ran the request.
    ResponseStarted,
    /// The complete response was received.
    ResponseComplete,
}

/// Whether a request without a response was run, as far as the gateway knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Execution {
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// A target ran the request.
    Run,
}

impl Progress {
    /// Returns whether a request whose attempt got this far was run.
    pub const fn execution(self) -> Execution {
        match self {
            Self::NotSent => Execution::NotRun,
            Self::Sent => Execution::Unknown,
            Self::ResponseStarted | Self::ResponseComplete => Execution::Run,
        }
    }
}

/// How an attempt ended, as the router sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response that is not a server error.
    Success {
        /// Time from the choice of the target to the end of the response.
        latency: Duration,
        /// Requests in flight that the target reported with its response, without this one.
        load: Option<u32>,
    },
    /// The target had no free slot and did not run the request.
    Busy {
        /// Requests in flight that the target reported with its rejection.
        load: Option<u32>,
    },
    /// The connection failed, the response was malformed or truncated, or it was a server error.
    Failed,
    /// The deadline passed, although it was long enough for the service.
    TimedOut,
    /// A hedge that was sent later to another target completed first.
    LostHedge,
    /// The caller or the gateway cancelled the attempt, which does not reflect on the target.
    Abandoned,
}
