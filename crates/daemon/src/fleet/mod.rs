//! A daemon of a fleet whose workers take orders.
//!
//! VMs with a disk replicate the state of the cell in one group; its leader decides and talks to the workers. Entry VMs
//! keep no state: they take callers' requests and pass them to the leader. Two threads: control owns all state, traffic
//! carries the connections.

pub mod calls;
pub mod client;
pub mod contact;
mod controller;
mod frames;
mod http;
mod leading;
mod member;
mod membership;
mod metric;
mod orders;
pub mod relay;
mod relaying;
mod replication;
mod start;
pub mod wire;

use std::time::{Duration, Instant};

use bronzespoke_workload::{call, directive, eligibility, settings};
use tokio::sync::oneshot;

pub use start::{Error, read, run};

use crate::{disk, peer};

/// What reaches the control thread.
#[derive(Debug)]
pub enum Message {
    /// The time of a planned tick has come; one that was planned earlier meanwhile makes it void.
    Tick(Duration),
    /// Frames wait that go before all other messages.
    Urgent,
    /// A frame from another daemon.
    Frame {
        /// Frame.
        frame: peer::wire::Frame,
        /// When it came.
        received: Instant,
    },
    /// A call from outside.
    Call {
        /// Call.
        call: call::Call,
        /// How long the caller waits.
        patience: Duration,
        /// When it came.
        received: Instant,
        /// Takes the reply.
        responder: oneshot::Sender<call::Reply>,
    },
    /// A worker answered an order, or did not.
    Ordered {
        /// Who gave the order.
        origin: relay::Origin,
        /// Order.
        order: directive::Directive,
        /// Answer.
        answer: Option<directive::Answer>,
    },
    /// The eligibility service answered a question that this daemon was asked to pass on.
    Advised {
        /// Who wanted to know.
        asker: wire::Place,
        /// Number of the question.
        number: u64,
        /// Answer.
        answer: eligibility::Answer,
    },
    /// Writes are durable, or failed.
    Disk(disk::Done),
    /// The settings file changed.
    Settings(Box<settings::Settings>),
    /// The daemon is to stop: leadership is handed over.
    Leave,
    /// Ends the control thread.
    Stop,
}
