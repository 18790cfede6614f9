//! Messages between the daemons of a fleet.
//!
//! Entry VMs keep no state: they pass calls to the leader of the cell's group. Messages may be lost; calls are sent again
//! until they are answered or their time is over, which is safe because every call may be repeated.

use std::net::SocketAddr;

use bronzespoke_model::id;
use bronzespoke_workload::{call, directive, eligibility};
use serde::{Deserialize, Serialize};

/// A message.
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
        question: eligibility::Query,
    },
    /// Answer of the eligibility service.
    Eligibility {
        /// Number of the question.
        number: u64,
        /// Answer.
        answer: eligibility::Answer,
    },
    /// The leader has the receiver carry orders to workers.
    Orders {
        /// Term of the leader.
        token: directive::Token,
        /// Orders.
        orders: Vec<Order>,
    },
    /// What workers answered.
    Answers {
        /// Term of the leader that gave the orders.
        token: directive::Token,
        /// Answers.
        answers: Vec<Answered>,
    },
}

/// Number of an order and the worker's answer, if there was one.
pub type Answered = (u64, Option<directive::Answer>);

/// An order that another daemon carries to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Number that the answer carries.
    pub number: u64,
    /// Worker.
    pub recipient: Recipient,
    /// Order.
    pub order: directive::Directive,
}

/// How a life of a worker is called.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recipient {
    /// Fencing token of the life.
    pub fence: directive::Token,
    /// Name.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
}

/// A daemon and where it listens for frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Life of the daemon.
    pub vm: id::VmId,
    /// Address for frames.
    pub peer: SocketAddr,
}
