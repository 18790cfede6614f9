//! Frames between daemons and their encoding.

use std::net::SocketAddr;

use bronzespoke_consensus::{feed, membership, message};
use bronzespoke_control::{demand, request_id, root, zone};
use bronzespoke_model::{id, job, stamp, vm};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Groups that one daemon may lead at the same time and announce.
pub const MAX_LEADS: usize = 64;

/// A frame.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Frame {
    /// Sender.
    pub from: id::VmId,
    /// Life of the daemon that it is meant for; `None` for whoever listens at the address. A VM without a data folder
    /// returns at its address under a new id, and must not take what was sent to its former life.
    pub to: Option<id::VmId>,
    /// Peer address of the sender.
    pub from_peer: SocketAddr,
    /// Time-line stamp of the sender.
    pub stamp: stamp::Stamp,
    /// What it carries.
    pub body: Body,
}

/// What a frame carries.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Body {
    /// Periodic announcement of a daemon.
    Hello(Hello),
    /// A consensus message of a group.
    Consensus(id::GroupId, message::Message),
    /// A follower asks its relay for committed root entries.
    FeedRequest(feed::Request),
    /// The relay's answer.
    #[serde(rename = "FeedAnswer")]
    FeedResponse(feed::Response),
    /// Soft state.
    Gossip(bronzespoke_gossip::Message),
    /// A call to the leader of a group, answered with the same number.
    #[serde(rename = "Ask")]
    Request(u64, id::GroupId, Request),
    /// Answer to a call.
    Reply(u64, Reply),
    /// A zone leader reports the demand of teams to the root leader.
    Demand(demand::Report),
    /// The root leader's answer.
    DemandReceipt(demand::Receipt),
    /// A message between the daemons of a fleet whose workers take orders.
    Fleet(crate::fleet::wire::Message),
}

/// Periodic announcement of a daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hello {
    /// The daemon's VM.
    pub vm: vm::Vm,
    /// Life of the process; a later life has forgotten the requests of an earlier one.
    pub incarnation: id::Incarnation,
    /// Groups that it leads, with the term.
    pub leads: Vec<(id::GroupId, u64)>,
    /// Groups in which it holds a replica.
    pub replicas: Vec<id::GroupId>,
    /// Whether it knows a root state, that is, whether a cell exists.
    pub cell_known: bool,
    /// Last applied root index.
    pub applied: u64,
    /// Peer addresses that it knows, so that a newcomer finds every daemon.
    pub known: Vec<SocketAddr>,
}

/// A call between daemons, made to the leader of a group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// Commit a root command.
    Root(root::Envelope),
    /// Commit a zone command.
    Zone(zone::Envelope),
    /// Read a job.
    Job {
        /// The team that asks; `None` for an operator.
        team: Option<id::TeamId>,
        /// The job.
        job: id::JobId,
        /// Whether results are wanted.
        results: bool,
    },
    /// Cancel a job.
    Cancel {
        /// The team that asks; `None` for an operator.
        team: Option<id::TeamId>,
        /// The job.
        job: id::JobId,
    },
    /// Look up the job that was submitted under a key.
    Submitted(request_id::Key),
    /// Answer an operator's query about the zone that the receiver leads.
    Query(String),
    /// Change the members of the group.
    Change(membership::Change),
}

/// Answer to a call.
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
    /// An operator's answer, as JSON.
    Answer(Bytes),
    /// The job can never run in the zone.
    Impossible(job::Impossible),
    /// Done.
    Done,
    /// Nothing was done; the reason is for people.
    NotDone(String),
    /// Nothing was done; the receiver does not lead the group.
    NotLeader,
    /// Whether it was done is not known.
    Unknown,
}

/// A job as its zone knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Job {
    /// The job.
    pub job: id::JobId,
    /// Its team.
    pub team: id::TeamId,
    /// State.
    pub state: job::State,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that succeeded.
    pub succeeded: u32,
    /// Results by task index, when they were asked for.
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
