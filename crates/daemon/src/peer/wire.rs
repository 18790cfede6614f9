//! Frames between daemons and their encoding.

use std::net::SocketAddr;

use bronzespoke_consensus::{feed, membership, message};
use bronzespoke_control::{demand, request_id, root, zone};
use bronzespoke_model::{id, job, stamp, vm};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Maximum number of groups that one daemon leads at the same time and announces.
pub const MAX_LEADS: usize = 64;

/// A frame between daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Frame {
    /// VM of the sender.
    pub from: id::VmId,
    /// VM of the intended receiver; `None` for whichever daemon listens at the address. A VM without a data folder
    /// returns at its address under a new id and must not accept frames for its earlier incarnation.
    pub to: Option<id::VmId>,
    /// Peer address of the sender.
    pub from_peer: SocketAddr,
    /// Timeline stamp of the sender.
    pub stamp: stamp::Stamp,
    /// Content of the frame.
    pub body: Body,
}

/// Content of a frame.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Body {
    /// Periodic announcement of a daemon.
    Hello(Hello),
    /// A consensus message of a group.
    Consensus(id::GroupId, message::Message),
    /// Request of a follower to its relay for committed root entries.
    FeedRequest(feed::Request),
    /// Response of the relay.
    #[serde(rename = "FeedAnswer")]
    FeedResponse(feed::Response),
    /// Gossip of soft state.
    Gossip(bronzespoke_gossip::Message),
    /// Request to the leader of a group; its reply carries the same number.
    #[serde(rename = "Ask")]
    Request(u64, id::GroupId, Request),
    /// Reply to the request with this number.
    Reply(u64, Reply),
    /// Report of a zone leader to the root leader on the demand of teams.
    Demand(demand::Report),
    /// Receipt of the root leader for a demand report.
    DemandReceipt(demand::Receipt),
    /// Message between the daemons of a fleet.
    Fleet(crate::fleet::wire::Message),
}

/// Periodic announcement of a daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hello {
    /// VM that the daemon runs on.
    pub vm: vm::Vm,
    /// Incarnation of the process; a later one has no knowledge of the requests of an earlier one.
    pub incarnation: id::Incarnation,
    /// Groups that it leads, with the term.
    pub leads: Vec<(id::GroupId, u64)>,
    /// Groups in which it holds a replica.
    pub replicas: Vec<id::GroupId>,
    /// Whether it belongs to a cell, that is, has a root state.
    pub cell_known: bool,
    /// Last applied root index.
    pub applied: u64,
    /// Peer addresses that it knows, so that a new daemon finds all others.
    pub known: Vec<SocketAddr>,
}

/// A request to the leader of a group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// Commit a root command.
    Root(root::Envelope),
    /// Commit a zone command.
    Zone(zone::Envelope),
    /// Read a job.
    Job {
        /// Team of the caller; `None` for an operator.
        team: Option<id::TeamId>,
        /// Id of the job.
        job: id::JobId,
        /// Whether to include the results.
        results: bool,
    },
    /// Cancel a job.
    Cancel {
        /// Team of the caller; `None` for an operator.
        team: Option<id::TeamId>,
        /// Id of the job.
        job: id::JobId,
    },
    /// Look up the job that was submitted under a key.
    Submitted(request_id::Key),
    /// Execute an operator's query about the zone that the receiver leads.
    Query(String),
    /// Change the membership of the group.
    Change(membership::Change),
}

/// Reply to a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// Outcome of a root command, and the index of its entry.
    Root(root::Outcome, u64),
    /// Outcome of a zone command.
    Zone(zone::Outcome),
    /// A job; `None` when there is no such job.
    Job(Option<Job>),
    /// The job that was submitted under a key; `None` when there is none.
    Submitted(Option<id::JobId>),
    /// Answer to an operator's query, as JSON.
    Answer(Bytes),
    /// The job can never run in the zone.
    Impossible(job::Impossible),
    /// The request was executed and has no further result.
    Done,
    /// Nothing was done, with a human-readable reason.
    NotDone(String),
    /// Nothing was done; the receiver does not lead the group.
    NotLeader,
    /// Whether the request was executed is unknown.
    Unknown,
}

/// A job as its zone knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Job {
    /// Id of the job.
    pub job: id::JobId,
    /// Team that submitted the job.
    pub team: id::TeamId,
    /// Current state.
    pub state: job::State,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Number of tasks that succeeded.
    pub succeeded: u32,
    /// Results by task index, if they were requested.
    pub results: Vec<(id::TaskIndex, String)>,
}

/// Encodes a frame.
pub fn encode(frame: &Frame) -> Result<Bytes, postcard::Error> {
    postcard::to_stdvec(frame).map(Bytes::from)
}

/// Decodes a frame.
pub fn decode(bytes: &Bytes) -> Result<Frame, postcard::Error> {
    postcard::from_bytes(bytes)
}
