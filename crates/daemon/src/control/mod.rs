//! The control thread: one actor that owns all control state of the daemon.
//!
//! The gateway, peer links, disk threads and operators send it messages; it replies through channels and publishes
//! immutable views. Messages are handled one at a time, so control state needs no lock.

mod actor;
mod apply;
mod calls;
mod claims;
pub mod context;
mod demand;
mod directory;
mod effect;
mod groups;
mod inbox;
mod maintenance;
pub mod member;
mod operator;
pub mod requests;
pub mod responder;
mod restoration;
mod root;
mod scheduling;
pub mod search;
mod serve;
pub mod session;
mod snapshots;
mod submissions;
mod targets;
mod zone;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bronzespoke_control::{root as root_state, zone as zone_state};
use bronzespoke_gateway::control as gateway;
use bronzespoke_gossip::Gossip;
use bronzespoke_language::answer;
use bronzespoke_model::{id, vm};
use tokio::sync::{oneshot, watch};

pub use actor::{Control, Start};
pub use inbox::{Inbox, Permit};

use crate::{disk, peer::wire, settings};

/// A message to the control thread.
#[derive(Debug)]
pub enum Message {
    /// Frame from another daemon.
    Frame(Box<wire::Frame>, Permit),
    /// Call from the gateway.
    Call(gateway::Call, Permit),
    /// Operator statement, with the command id when the client supplied one.
    Operator(String, Option<id::CommandId>, oneshot::Sender<answer::Answer>),
    /// Query for the directory, for operator tools.
    Directory(oneshot::Sender<Vec<vm::Vm>>),
    /// Result of a write, with the number of the replica that issued it.
    Persisted(u64, disk::Done),
    /// Reply of an owner to a claim.
    Claimed(claims::Pending, wire::Reply),
    /// Claim that was granted after its caller had been refused: the owner zone and its number there.
    Abandoned(id::AvailabilityZoneId, u64),
    /// End of a claim that its owner did not record.
    Unrecorded(claims::End),
    /// Whether a zone has ended the claims of earlier incarnations of this VM's process.
    EarlierClaimsEnded(id::AvailabilityZoneId, bool),
    /// Reply of a zone to a submission.
    Submitted(submissions::Submission, wire::Reply),
    /// Outcome of the search for a submission whose first attempt was lost.
    Found(submissions::Submission, search::Found),
    /// Local reply to a pending request, after this VM became leader of the group that the request was sent to.
    Replied(u64, wire::Reply),
    /// Committed command that is acknowledged once it is in effect.
    AwaitEffect(effect::Pending),
    /// A snapshot of the root state was encoded or decoded.
    RootSnapshot(snapshots::Done<root_state::State>),
    /// A snapshot of a zone state was encoded or decoded, for the replica with this number.
    ZoneSnapshot(id::AvailabilityZoneId, u64, snapshots::Done<zone_state::State>),
    /// The next timer is due.
    Tick,
    /// Request to transfer the leadership of every group that this VM leads. The reply comes when it leads none, or
    /// after a time limit.
    TransferLeadership(oneshot::Sender<()>),
    /// Request to stop the actor.
    Stop,
}

/// Channels through which the control thread publishes state to the gateway.
#[derive(Debug)]
pub struct Published {
    /// View of the root state.
    pub view: watch::Sender<Arc<gateway::View>>,
    /// Whether the VM accepts requests.
    pub ready: watch::Sender<bool>,
    /// Instant up to which the view is complete.
    pub freshness: gateway::Freshness,
}

/// State of this VM's entry in the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listing {
    /// The directory has not listed it yet.
    Unlisted,
    /// The directory lists it.
    Listed,
    /// The directory removed it; it accepts no more requests.
    Dropped,
}

/// All control state of the daemon.
#[derive(Debug)]
pub struct Controller {
    context: context::Context,
    settings: settings::Settings,
    inbox: Inbox,
    published: Published,
    root: root::Root,
    zones: BTreeMap<id::AvailabilityZoneId, zone::Zone>,
    scheduling: Option<scheduling::Scheduling>,
    gossip: Gossip,
    targets: targets::Targets,
    targets_changed: bool,
    requests: requests::Requests,
    claims: claims::Claims,
    /// Ends of claims that have to be resent.
    ends: claims::Ends,
    /// Claims of earlier incarnations of this VM's process.
    earlier_claims: claims::EarlierClaims,
    /// Groups whose replicas are currently kept closed.
    closed: BTreeMap<id::GroupId, groups::Closed>,
    /// Number of the most recently opened replica.
    opened: u64,
    /// When to reopen groups whose writes failed.
    reopen_at: BTreeMap<id::GroupId, Duration>,
    /// Peer addresses learned from other daemons while the directory is not known yet.
    known: BTreeSet<SocketAddr>,
    listing: Listing,
    fresh: bool,
    /// Whether the view has been fresh at least once since the start of the process.
    caught_up: bool,
    hello_at: Duration,
    enlist_at: Duration,
    maintenance_at: Duration,
    tick_at: Option<Duration>,
    /// Demand reporter of the zone that this VM leads.
    reporter: Option<bronzespoke_control::demand::Reporter>,
    /// Demand of all zones, while this VM leads the root group.
    demand: Option<bronzespoke_control::demand::Table>,
    /// Groups that this VM leads, as of its last announcement.
    led: Vec<id::GroupId>,
    /// Committed commands that are not in effect everywhere yet.
    pending_effects: Vec<effect::Pending>,
    leaving: Option<(oneshot::Sender<()>, Duration)>,
}
