//! A daemon of a fleet whose workers receive directives.
//!
//! VMs with a disk replicate the state of the cell in one group; its leader schedules and talks to the workers. Entry
//! VMs keep no state: they take callers' requests and pass them to the leader. There are two threads: the control thread
//! owns all state, the traffic thread serves the connections.

pub mod calls;
pub mod client;
pub mod commands;
mod controller;
mod directives;
pub mod discovery;
mod evacuation;
mod frames;
mod http;
pub mod inbox;
pub mod intake;
mod leader;
pub mod member;
mod membership;
mod metric;
pub mod relay;
mod replication;
mod sender;
mod start;
mod submissions;
mod trace;
pub mod wire;

use std::time::Duration;

use bronzespoke_workload::{call, directive, eligibility, settings};
use tokio::sync::oneshot;

pub use start::{Error, read, run};

use crate::disk;

/// A message to the control thread.
#[derive(Debug)]
pub enum Message {
    /// A timer planned for this time has fired; ignored if an earlier tick was planned meanwhile.
    Tick(Duration),
    /// Messages wait in the inbox.
    Wake,
    /// A call from a caller, an operator or a worker.
    Call {
        /// Call to serve.
        call: call::Call,
        /// How long the caller waits for the reply.
        timeout: Duration,
        /// Receives the reply.
        responder: oneshot::Sender<call::Reply>,
    },
    /// A directive was answered by its worker, or timed out.
    DirectiveAnswered {
        /// Daemon that issued the directive.
        origin: relay::Origin,
        /// Directive that was sent.
        directive: directive::Directive,
        /// Answer of the worker; `None` if none arrived.
        answer: Option<directive::Answer>,
    },
    /// The eligibility service answered a query that this daemon sent as a proxy.
    QueryAnswered {
        /// Daemon that issued the query.
        requester: wire::Endpoint,
        /// Number of the query.
        number: u64,
        /// Answer of the service, or why there is none.
        answer: eligibility::Answer,
    },
    /// Writes of the replica with this number are durable, or failed.
    Persisted(u64, disk::Done),
    /// The settings file changed.
    Settings(Box<settings::Settings>),
    /// The daemon is about to stop: it transfers leadership and takes no more calls.
    TransferLeadership,
    /// Ends the control thread.
    Stop,
}
