//! Messages between the daemons of a fleet.
//!
//! Entry VMs keep no state: they pass calls to the leader of the cell's group. Messages may be lost; calls are sent again
//! until they are answered or their time is over, which is safe because every call may be repeated.

use std::net::SocketAddr;

use bronzespoke_model::id;
use bronzespoke_workload::{advice, call};
use serde::{Deserialize, Serialize};

/// A message.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// Announces a daemon; answered with `Welcome` by daemons with a disk.
    Hello {
        /// Whether the sender has a disk and serves control.
        durable: bool,
    },
    /// What a daemon with a disk knows about the cell.
    Welcome {
        /// Leader and the term in which it leads.
        leader: Option<(u64, Place)>,
        /// Daemons with a disk that are known.
        known: Vec<Place>,
    },
    /// A call for the leader.
    Ask {
        /// Number that the reply carries.
        number: u64,
        /// Call.
        call: Box<call::Call>,
    },
    /// Reply to a call.
    Reply {
        /// Number of the call.
        number: u64,
        /// Reply.
        reply: call::Reply,
    },
    /// The leader has the receiver ask the eligibility service.
    Question {
        /// Number that the answer carries.
        number: u64,
        /// Question.
        question: advice::Question,
    },
    /// Answer of the eligibility service.
    Eligibility {
        /// Number of the question.
        number: u64,
        /// Answer.
        answer: advice::Answer,
    },
}

/// A daemon and where it listens for frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Life of the daemon.
    pub vm: id::VmId,
    /// Address for frames.
    pub peer: SocketAddr,
}
