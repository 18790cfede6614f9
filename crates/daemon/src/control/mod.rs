//! The control thread: one actor that owns all control state of the daemon.
//!
//! Traffic, links, disk and operators send it messages; it answers through channels and publishes immutable views.
//! Everything that decides runs here in turn, so no control state needs a lock.

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
    /// A frame from another daemon.
    Frame(Box<wire::Frame>, Permit),
    /// A call of the gateway.
    Call(gateway::Call, Permit),
    /// An operator's line, with the command id of a resend.
    Operator(String, Option<id::CommandId>, oneshot::Sender<answer::Answer>),
    /// The directory, for operators' programs.
    Directory(oneshot::Sender<Vec<vm::Vm>>),
    /// The result of a write of the replica that was opened under a number.
    Persisted(u64, disk::Done),
    /// An owner's answer to a claim.
    Claimed(claims::Pending, wire::Reply),
    /// A claim that was granted after its caller had been refused.
    Abandoned(id::AvailabilityZoneId, u64),
    /// The end of a claim that its owner did not record.
    Unrecorded(claims::End),
    /// Whether a zone has ended the claims of former processes of this VM.
    FormerEnded(id::AvailabilityZoneId, bool),
    /// A zone's answer to a submission.
    Submitted(submissions::Submission, wire::Reply),
    /// What the zones know of a submission whose first attempt was lost.
    Found(submissions::Submission, search::Found),
    /// This VM's answer to a call that it had sent to a former leader.
    Replied(u64, wire::Reply),
    /// A committed command whose answer waits until it is in force.
    AwaitEffect(effect::Pending),
    /// Work on a snapshot of the root state is done.
    RootSnapshot(snapshots::Done<root_state::State>),
    /// Work on a snapshot of a zone state is done, for the replica with this number.
    ZoneSnapshot(id::AvailabilityZoneId, u64, snapshots::Done<zone_state::State>),
    /// A timer.
    Tick,
    /// Hand over what this VM leads; the answer comes when nothing is led any more, or after a short time.
    TransferLeadership(oneshot::Sender<()>),
    /// Stop.
    Stop,
}

/// What the control thread publishes to traffic.
#[derive(Debug)]
pub struct Published {
    /// View of the root state.
    pub view: watch::Sender<Arc<gateway::View>>,
    /// Whether the VM takes work.
    pub ready: watch::Sender<bool>,
    /// Freshness of the view.
    pub freshness: gateway::Freshness,
}

/// This VM's place in the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listing {
    /// The directory has not listed it yet.
    Unlisted,
    /// The directory lists it.
    Listed,
    /// The directory dropped it; it takes no more work.
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
    /// Ends of claims that have to be sent again.
    ends: claims::Ends,
    /// Claims of former processes of this VM.
    former: claims::Former,
    /// Groups that are not opened now.
    closed: BTreeMap<id::GroupId, groups::Closed>,
    /// Number of the replica that was opened last.
    opened: u64,
    /// When groups whose writes failed are opened again.
    reopen_at: BTreeMap<id::GroupId, Duration>,
    /// Peer addresses learned from other daemons before the directory is known.
    known: BTreeSet<SocketAddr>,
    listing: Listing,
    fresh: bool,
    /// Whether the view was fresh since the start of the process.
    caught_up: bool,
    hello_at: Duration,
    enlist_at: Duration,
    maintenance_at: Duration,
    tick_at: Option<Duration>,
    /// Reports of the zone that this VM leads.
    reporter: Option<bronzespoke_control::demand::Reporter>,
    /// Demand of all zones, while this VM leads the root group.
    demand: Option<bronzespoke_control::demand::Table>,
    /// Groups that this VM leads, as last announced.
    led: Vec<id::GroupId>,
    /// Commands that are not in force everywhere yet.
    pending_effects: Vec<effect::Pending>,
    leaving: Option<(oneshot::Sender<()>, Duration)>,
}
