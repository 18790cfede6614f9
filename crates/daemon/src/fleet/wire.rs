//! Messages between the daemons of a fleet.
//!
//! Entry VMs keep no state: they pass calls to the leader of the cell's group. Messages may be lost; calls are resent
//! until they are answered or their deadline has passed, which is safe because every call is idempotent.

use std::net::SocketAddr;

use bronzespoke_model::id;
use bronzespoke_workload::{call, directive, eligibility};
use serde::{Deserialize, Serialize};

/// A message between two daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// Announces a daemon; answered with `Welcome` by daemons with a disk.
    Hello {
        /// Whether the sender has a disk and serves control.
        durable: bool,
        /// Availability zone of the sender.
        zone: String,
    },
    /// What a daemon with a disk knows about the cell.
    Welcome {
        /// Leader and the term in which it leads.
        leader: Option<(u64, Endpoint)>,
        /// Daemons with a disk that are known.
        known: Vec<Endpoint>,
    },
    /// A call for the leader.
    #[serde(rename = "Ask")]
    Request {
        /// Number that the reply carries.
        number: u64,
        /// Call to serve.
        call: Box<call::Call>,
    },
    /// Reply to a call.
    Reply {
        /// Number of the call.
        number: u64,
        /// Outcome of the call; `NotLeader` if the receiver did not take it.
        reply: call::Reply,
    },
    /// The leader has the receiver query the eligibility service.
    #[serde(rename = "Question")]
    Query {
        /// Number that the answer carries.
        number: u64,
        /// Query to pass on.
        #[serde(rename = "question")]
        query: eligibility::Query,
    },
    /// Answer of the eligibility service.
    Eligibility {
        /// Number of the query.
        number: u64,
        /// Answer of the service, or why there is none.
        answer: eligibility::Answer,
    },
    /// The leader has the receiver relay directives to workers.
    #[serde(rename = "Orders")]
    Directives {
        /// Term of the leader.
        token: directive::Token,
        /// Directives to send.
        #[serde(rename = "orders")]
        directives: Vec<Directive>,
    },
    /// Answers of workers to relayed directives.
    Answers {
        /// Term of the leader that issued the directives.
        token: directive::Token,
        /// Answers in the order in which they arrived.
        answers: Vec<Answered>,
    },
}

/// Number of a directive and the worker's answer, if there was one.
pub type Answered = (u64, Option<directive::Answer>);

/// A directive that another daemon relays to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directive {
    /// Number that the answer carries.
    pub number: u64,
    /// Worker that gets the directive.
    pub recipient: Recipient,
    /// Directive to send.
    #[serde(rename = "order")]
    pub directive: directive::Directive,
}

/// How an incarnation of a worker is addressed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recipient {
    /// Fencing token of the incarnation.
    #[serde(rename = "fence")]
    pub token: directive::Token,
    /// Name under which the worker registered.
    pub name: String,
    /// Address for directives.
    pub address: SocketAddr,
}

/// A daemon and the address at which it listens for frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Endpoint {
    /// Incarnation of the daemon.
    pub vm: id::VmId,
    /// Address for frames.
    pub peer: SocketAddr,
}
