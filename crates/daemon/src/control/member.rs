//! One replica with its disk: executes the outputs of the replica.

use std::{
    collections::{HashMap, VecDeque},
    path::Path,
    time::Duration,
};

use bronzespoke_consensus::{log as entries, membership, replica, snapshot, write};
use bronzespoke_control::{batch, envelope};
use bronzespoke_model::{event, id};
use bytes::Bytes;
use serde::Serialize;

use crate::{
    control::{context, responder},
    disk,
    peer::wire,
};

/// Number of entries after which a snapshot is made and the log is compacted.
const ENTRIES_PER_SNAPSHOT: u64 = 8_192;
/// Bytes of commands after which a snapshot is made and the log is compacted.
const BYTES_PER_SNAPSHOT: usize = 8 << 20;

/// Commands that wait to be proposed.
pub type Batch<C> = batch::Batch<C, responder::Responder>;

/// Action for the owner of the state machine; actions are executed in order.
#[derive(Debug)]
pub enum Event {
    /// Apply an entry; entries without a command only move the index.
    Apply {
        /// The entry.
        entry: entries::Entry,
        /// Receiver of the outcome of each command; empty on members that did not propose the entry.
        responders: Vec<responder::Responder>,
    },
    /// Replace the state by a snapshot.
    Install(snapshot::Snapshot),
}

/// A replica of one group in this process.
#[derive(Debug)]
pub struct Member {
    number: u64,
    group: id::GroupId,
    replica: replica::Replica,
    disk: Option<disk::Disk>,
    outputs: Vec<replica::Output>,
    next_proposal: u64,
    proposed: HashMap<u64, Vec<responder::Responder>>,
    committed: HashMap<u64, Vec<responder::Responder>>,
    role: replica::Role,
    /// Index that has to be applied before this member acts as leader.
    lead_from: u64,
    /// Whether a command without a receiver was refused while this member was leader.
    refused: bool,
    applied: u64,
    snapshot_index: u64,
    snapshot_bytes: usize,
    /// Maximum size of an entry.
    entry_bytes: usize,
    /// Whether a write failed; the replica participates again only after it is reopened.
    failed: bool,
}

impl Member {
    /// Opens the durable state in `folder`, or starts without one.
    ///
    /// `bootstrap` is the initial membership if nothing is stored and this process bootstraps the group. `number` is
    /// unique among the replicas that the process opens.
    pub fn open(
        number: u64,
        config: replica::Config,
        folder: Option<&Path>,
        bootstrap: Option<membership::Membership>,
        notify: disk::Notify,
        now: Duration,
    ) -> Result<Self, bronzespoke_storage::Error> {
        let group = config.group;
        let entry_bytes = config.max_entry_bytes;
        let (disk, restored) = match folder {
            Some(folder) => {
                let (disk, restored) = disk::Disk::open(folder, group, bootstrap, notify)?;
                (Some(disk), restored)
            }
            None => (None, replica::Restored::default()),
        };
        let replica = replica::Replica::new(config, restored, now);
        Ok(Self {
            number,
            group,
            replica,
            disk,
            outputs: Vec::new(),
            next_proposal: 0,
            proposed: HashMap::new(),
            committed: HashMap::new(),
            role: replica::Role::Follower { leader: None },
            lead_from: 0,
            refused: false,
            applied: 0,
            snapshot_index: 0,
            snapshot_bytes: 0,
            entry_bytes,
            failed: false,
        })
    }

    /// Proposes encoded commands, with one responder for each.
    fn propose(
        &mut self,
        context: &context::Context,
        data: Bytes,
        responders: Vec<responder::Responder>,
        events: &mut Vec<Event>,
    ) {
        self.next_proposal += 1;
        let id = self.next_proposal;
        self.proposed.insert(id, responders);
        self.step(context, replica::Input::Propose { id, data }, events);
    }

    /// Proposes the commands of a batch in order, split into entries of the allowed size.
    pub fn propose_batch<C: Serialize>(
        &mut self,
        context: &context::Context,
        batch: &mut Batch<C>,
        events: &mut Vec<Event>,
    ) {
        if batch.due().is_none() {
            return;
        }
        let (commands, responders) = batch.take(context.now());
        let mut responders = responders.into_iter();
        for (data, commands) in envelope::encode_within(&commands, self.entry_bytes) {
            let waiting = responders.by_ref().take(commands).collect();
            self.propose(context, data, waiting, events);
        }
    }

    /// Proposes a change of the membership.
    pub fn change(
        &mut self,
        context: &context::Context,
        change: membership::Change,
        responder: responder::Responder,
        events: &mut Vec<Event>,
    ) {
        self.next_proposal += 1;
        let id = self.next_proposal;
        self.proposed.insert(id, vec![responder]);
        self.step(context, replica::Input::ChangeMembership { id, change }, events);
    }

    /// Handles the result of a write.
    pub fn persisted(&mut self, context: &context::Context, done: &disk::Done, events: &mut Vec<Event>) {
        let input = match &done.result {
            Ok(through) => replica::Input::Persisted { through: *through },
            Err(error) => {
                log::error!("disk: Failed to persist {:?}: {error}", self.group);
                self.failed = true;
                replica::Input::PersistFailed
            }
        };
        self.step(context, input, events);
    }

    /// Passes one input to the replica and executes its outputs, and the inputs that result from them.
    pub fn step(&mut self, context: &context::Context, input: replica::Input, events: &mut Vec<Event>) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let mut outputs = std::mem::take(&mut self.outputs);
            self.replica.step(context.now(), input, &mut outputs);
            self.process_outputs(context, &mut outputs, &mut inputs, events);
            self.outputs = outputs;
        }
    }

    fn process_outputs(
        &mut self,
        context: &context::Context,
        outputs: &mut Vec<replica::Output>,
        inputs: &mut VecDeque<replica::Input>,
        events: &mut Vec<Event>,
    ) {
        let mut writes = Vec::new();
        for output in outputs.drain(..) {
            match output {
                replica::Output::Persist(write) => writes.push(write),
                replica::Output::Send { to, message } => {
                    context.send(to, wire::Body::Consensus(self.group, message));
                }
                replica::Output::Apply(entry) => self.apply(context, entry, inputs, events),
                replica::Output::Install(snapshot) => {
                    self.applied = snapshot.position.index;
                    self.snapshot_index = self.applied;
                    self.reject_skipped(context);
                    inputs.push_back(replica::Input::Applied { index: self.applied });
                    events.push(Event::Install(snapshot));
                }
                replica::Output::Committed { id, index } => {
                    if let Some(responders) = self.proposed.remove(&id) {
                        self.committed.insert(index, responders);
                    }
                }
                replica::Output::Rejected { id, reason } => {
                    let busy = matches!(
                        reason,
                        replica::Rejection::QueueFull | replica::Rejection::Transferring
                    );
                    for responder in self.proposed.remove(&id).unwrap_or_default() {
                        self.refused |= busy && matches!(responder, responder::Responder::Discard);
                        responder.reject(context, reason);
                    }
                }
                replica::Output::Role(role) => self.set_role(context, role),
            }
        }
        self.write(writes, inputs);
    }

    /// Rejects commands that an installed snapshot covers: their outcomes are unknown on this member.
    fn reject_skipped(&mut self, context: &context::Context) {
        let applied = self.applied;
        let skipped = self.committed.extract_if(|index, _| *index <= applied);
        for responder in skipped.flat_map(|(_, responders)| responders) {
            responder.reject(context, replica::Rejection::Unknown);
        }
    }

    fn apply(
        &mut self,
        context: &context::Context,
        entry: entries::Entry,
        inputs: &mut VecDeque<replica::Input>,
        events: &mut Vec<Event>,
    ) {
        let index = entry.position.index;
        self.applied = index;
        inputs.push_back(replica::Input::Applied { index });
        let mut responders = self.committed.remove(&index).unwrap_or_default();
        match &entry.payload {
            entries::Payload::Command(data) => self.snapshot_bytes += data.len(),
            entries::Payload::Membership(members) => {
                let voters = members.voters.iter().copied().collect();
                context.record(event::Kind::MembershipChanged {
                    group: self.group,
                    voters,
                });
                for responder in responders.drain(..) {
                    responder.reply(context, wire::Reply::Done);
                }
            }
            entries::Payload::Noop => {}
        }
        events.push(Event::Apply { entry, responders });
    }

    fn write(&mut self, writes: Vec<write::Write>, inputs: &mut VecDeque<replica::Input>) {
        let Some(last) = writes.last().map(|write| write.sequence) else {
            return;
        };
        let input = match &self.disk {
            None => replica::Input::Persisted { through: last },
            Some(disk) if disk.write(writes) => return,
            Some(_) => {
                log::error!(
                    "disk: Failed to persist {:?}: the disk does not keep up",
                    self.group
                );
                self.failed = true;
                replica::Input::PersistFailed
            }
        };
        inputs.push_back(input);
    }

    fn set_role(&mut self, context: &context::Context, role: replica::Role) {
        let leads = matches!(role, replica::Role::Leader);
        let led = matches!(self.role, replica::Role::Leader);
        if leads && !led {
            let status = self.replica.status();
            self.lead_from = status.last.index;
            context.record(event::Kind::LeaderElected {
                group: self.group,
                term: status.term,
            });
            log::info!(
                "group: Became leader of {:?} in term {}.",
                self.group,
                status.term
            );
        }
        if led && !leads {
            context.record(event::Kind::LeaderLost { group: self.group });
            log::info!("group: Lost leadership of {:?}.", self.group);
        }
        self.role = role;
    }

    /// Returns whether the log has grown enough for a snapshot of the applied state.
    pub const fn is_snapshot_due(&self) -> bool {
        let entries = self.applied - self.snapshot_index;
        entries >= ENTRIES_PER_SNAPSHOT || self.snapshot_bytes >= BYTES_PER_SNAPSHOT
    }

    /// Records that a snapshot of the applied state is being made; returns its index.
    pub const fn begin_snapshot(&mut self) -> u64 {
        self.snapshot_index = self.applied;
        self.snapshot_bytes = 0;
        self.applied
    }

    /// Compacts the log up to the snapshot of an index. Does nothing if a later snapshot has been received meanwhile.
    pub fn compact(
        &mut self,
        context: &context::Context,
        index: u64,
        data: Bytes,
        events: &mut Vec<Event>,
    ) -> Option<snapshot::Snapshot> {
        let snapshot = self.replica.snapshot(index, data)?;
        self.step(
            context,
            replica::Input::Compact {
                snapshot: snapshot.clone(),
            },
            events,
        );
        Some(snapshot)
    }

    /// Returns whether this member is leader, has applied all entries of earlier leaders and holds the lease.
    pub fn leads(&self, now: Duration) -> bool {
        let elected = matches!(self.role, replica::Role::Leader);
        elected && self.applied >= self.lead_from && self.replica.holds_lease(now)
    }

    /// Returns whether a command without a receiver was refused since the last call.
    pub const fn take_refused(&mut self) -> bool {
        std::mem::replace(&mut self.refused, false)
    }

    /// Acts as leader only after everything proposed so far is applied.
    pub fn defer_leading(&mut self) {
        self.lead_from = self.lead_from.max(self.replica.status().last.index);
    }

    /// Returns whether the group has permanently removed this member.
    pub const fn is_removed(&self) -> bool {
        matches!(self.role, replica::Role::Removed)
    }

    /// Returns the number under which the replica was opened.
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Returns whether a write failed, so that the replica has to be reopened.
    pub const fn has_failed(&self) -> bool {
        self.failed
    }

    /// Closes the replica and rejects its pending commands with an unknown outcome.
    pub fn close(self, context: &context::Context) {
        let waiting = self.proposed.into_values().chain(self.committed.into_values());
        for responder in waiting.flatten() {
            responder.reject(context, replica::Rejection::Unknown);
        }
    }

    /// Returns the leader that this member knows.
    pub const fn leader(&self, me: id::VmId) -> Option<id::VmId> {
        match self.role {
            replica::Role::Leader => Some(me),
            replica::Role::Follower { leader } => leader,
            replica::Role::Candidate | replica::Role::Removed => None,
        }
    }

    /// Returns the replica, for reads.
    pub const fn replica(&self) -> &replica::Replica {
        &self.replica
    }
}
