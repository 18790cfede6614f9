//! What is known about one attempt to have a target run a request.

use std::time::Duration;

/// How far an attempt got, in order; it never goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Progress {
    /// No byte of the request can have been read by a target, or the target said that it did not run it.
    NotSent,
    /// Bytes may have been read; no answer has begun.
    Sent,
    /// An answer has begun, so the target ran the request; the answer is not whole.
    ResponseStarted,
    /// The whole answer was received.
    ResponseComplete,
}

/// What a caller may be told about a request that has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Execution {
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Run,
}

impl Progress {
    /// Returns what this state tells about a run.
    pub const fn execution(self) -> Execution {
        match self {
            Self::NotSent => Execution::NotRun,
            Self::Sent => Execution::Unknown,
            Self::ResponseStarted | Self::ResponseComplete => Execution::Run,
        }
    }
}

/// How an attempt ended, as seen by routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer that is not a server error.
    Success {
        /// Time from the pick to the whole answer.
        latency: Duration,
        /// Requests in flight as the target reported with its answer, this one excluded.
        load: Option<u32>,
    },
    /// The target has no room and did not run it.
    Busy {
        /// Requests in flight as the target reported with its refusal.
        load: Option<u32>,
    },
    /// The connection failed, the answer was broken, or the target answered with a server error.
    Failed,
    /// Nothing came before the deadline, which was long enough for the service.
    TimedOut,
    /// A copy that was sent later to another target was answered first.
    LostHedge,
    /// The caller or the gateway gave up; says nothing about the target.
    Abandoned,
}
