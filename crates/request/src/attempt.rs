//! What is known about one attempt to have a target run a request.

use std::time::Duration;

/// How far an attempt got, in order; it never goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum State {
    /// No byte of the request can have been read by a target, or the target said that it did not run it.
    NotSent,
    /// Bytes may have been read; no answer has begun.
    MaybeRun,
    /// An answer has begun, so the target ran the request; the answer is not whole.
    Run,
    /// The whole answer was received.
    Answered,
}

/// What a caller may be told about a request that has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Knowledge {
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Run,
}

impl State {
    /// Returns what this state tells about a run.
    pub const fn knowledge(self) -> Knowledge {
        match self {
            Self::NotSent => Knowledge::NotRun,
            Self::MaybeRun => Knowledge::Unknown,
            Self::Run | Self::Answered => Knowledge::Run,
        }
    }
}

/// How an attempt ended, as seen by routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// A whole answer that is not a server error.
    Answered {
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
    Overtaken,
    /// The caller or the gateway gave up; says nothing about the target.
    Abandoned,
}
