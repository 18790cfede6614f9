//! One member of one group, as a deterministic state machine driven by time and inputs.
//!
//! The caller performs the outputs in order. Writes may be delayed and batched, as long as they keep their order and
//! `Persisted` is reported only after they are durable; the replica defers messages that depend on a write until then.
//! The caller must step the replica no later than `next_wake`.

mod config;
mod election;
mod follower;
mod freshness;
mod leader;
mod persist;
mod progress;
mod replicate;
mod status;
mod transfer;

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use bronzespoke_model::id;
use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs};
use serde::{Deserialize, Serialize};

pub use config::{Config, Restored};
pub use status::{Peer, Status};

use crate::message::{Body, Message};
use crate::{log, membership, snapshot, write};

/// Maximum number of entries that are output but not yet applied; further ones wait.
const APPLY_WINDOW: u64 = 4_096;
/// Maximum number of messages that wait for a write. The oldest is dropped first, which is safe because messages may
/// also be lost in the network.
const MAX_DEFERRED_MESSAGES: usize = 1_024;

/// Event for a replica to process.
#[derive(Debug, Clone)]
pub enum Input {
    /// No event; runs due timers.
    Tick,
    /// A message arrived.
    Receive {
        /// Sender of the message.
        from: id::VmId,
        /// Received message.
        message: Message,
    },
    /// Replicate a command.
    Propose {
        /// Identifier chosen by the caller; returned in `Committed` or `Rejected`.
        id: u64,
        /// Encoded command.
        data: Bytes,
    },
    /// All writes up to a sequence number are durable.
    Persisted {
        /// Sequence number of the last durable write.
        through: u64,
    },
    /// A write failed. The replica neither votes nor acknowledges entries until it is recreated from its store.
    PersistFailed,
    /// The state machine has applied all entries up to an index.
    Applied {
        /// Index of the last applied entry.
        index: u64,
    },
    /// Compact the log up to a snapshot of the applied state.
    Compact {
        /// Snapshot made by `Replica::snapshot`.
        snapshot: snapshot::Snapshot,
    },
    /// Change the membership of the group.
    ChangeMembership {
        /// Identifier chosen by the caller; returned in `Committed` or `Rejected`.
        id: u64,
        /// Change to make.
        change: membership::Change,
    },
    /// Transfer the leadership to another voter.
    TransferLeadership {
        /// Next leader; by default the voter that acknowledged the most recent message.
        to: Option<id::VmId>,
    },
}

/// Action for the caller to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Make a write durable, then report `Persisted` or `PersistFailed`.
    Persist(write::Write),
    /// Send a message; it may be lost.
    Send {
        /// Receiver of the message.
        to: id::VmId,
        /// Message to send.
        message: Message,
    },
    /// Apply a committed entry, then report `Applied`. Indices are consecutive.
    Apply(log::Entry),
    /// Replace the applied state by a snapshot, then report `Applied`.
    Install(snapshot::Snapshot),
    /// A proposed command or membership change is committed.
    Committed {
        /// Identifier of the proposal.
        id: u64,
        /// Index of the committed entry.
        index: u64,
    },
    /// A proposed command or membership change was not committed, or its outcome is unknown.
    Rejected {
        /// Identifier of the proposal.
        id: u64,
        /// Reason of the rejection.
        reason: Rejection,
    },
    /// The role of this member or the leader known to it changed.
    Role(Role),
}

/// Reason for which a proposal was not committed. All but `Unknown` mean that it never will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// This member is not the leader.
    NotLeader {
        /// Current leader, if known.
        leader: Option<id::VmId>,
    },
    /// The limit on uncommitted entries or bytes is reached.
    QueueFull,
    /// The command exceeds `Config::max_entry_bytes`.
    TooLarge,
    /// The leadership is being transferred.
    Transferring,
    /// A write to the store failed.
    StoreFailed,
    /// The leader has not yet committed an entry of its term, or another membership change is uncommitted.
    ChangePending,
    /// The learner to promote has not caught up with the log.
    NotCaughtUp,
    /// The change is not valid for the current membership.
    Change(membership::Error),
    /// The leadership was lost; the entry may still be committed.
    Unknown,
}

/// Role of a member in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Replicates the log of a leader.
    Follower {
        /// Current leader, if known.
        leader: Option<id::VmId>,
    },
    /// Campaigns in a pre-vote or an election.
    Candidate,
    /// Leads the group in the current term.
    Leader,
    /// Permanently removed from the group.
    Removed,
}

#[derive(Debug)]
enum State {
    Follower,
    PreCandidate(BTreeSet<id::VmId>),
    Candidate(BTreeSet<id::VmId>),
    Leader(Box<leader::Leader>),
}

/// A member of a consensus group.
///
/// Invariants: `applied <= emitted <= commit <= last index`, and none of the first three ever decreases.
#[derive(Debug)]
pub struct Replica {
    config: Config,
    rng: rngs::SmallRng,
    now: Duration,
    vote: write::Vote,
    state: State,
    leader: Option<id::VmId>,
    role: Role,
    /// Last contact from a leader of the current term; the start of the process counts as contact.
    leader_contact: Option<Duration>,
    election_at: Duration,
    log: log::Log,
    memberships: Vec<(u64, membership::Membership)>,
    snapshot: Option<snapshot::Snapshot>,
    commit: u64,
    emitted: u64,
    applied: u64,
    durable: u64,
    sequence: u64,
    persisted: u64,
    vote_sequence: u64,
    /// Newest commit index that is durable.
    stored_commit: u64,
    /// Newest commit index for which a write was requested.
    requested_commit: u64,
    /// Writes that are not durable yet: sequence number, and last log index that the write makes durable.
    pending: VecDeque<(u64, Option<u64>)>,
    /// Writes that store a commit index and are not durable yet: sequence number, and commit index.
    pending_commits: VecDeque<(u64, u64)>,
    /// Messages to send once the write with a sequence number is durable.
    deferred: VecDeque<(u64, id::VmId, Message)>,
    partial: Option<snapshot::Partial>,
    freshness: freshness::Tracker,
    store_failed: bool,
    removed: bool,
    /// Snapshot restored from the store, to be output by the first step.
    restored_snapshot: Option<snapshot::Snapshot>,
    /// Received snapshot to be output once the write with this sequence number is durable.
    pending_install: Option<(u64, snapshot::Snapshot)>,
}

impl Replica {
    /// Returns a member that starts from its durable state.
    pub fn new(config: Config, restored: Restored, now: Duration) -> Self {
        let mut rng = rngs::SmallRng::seed_from_u64(config.seed);
        let position = restored
            .snapshot
            .as_ref()
            .map_or_else(log::Position::default, |snapshot| snapshot.position);
        let first = match &restored.snapshot {
            Some(snapshot) => snapshot.membership.clone(),
            None => restored.membership,
        };
        let log = log::Log::restore(position, restored.entries);
        let mut memberships = vec![(position.index, first)];
        for entry in log.iter().filter(|entry| entry.position.index > position.index) {
            if let log::Payload::Membership(members) = &entry.payload {
                memberships.push((entry.position.index, members.clone()));
            }
        }
        // A member that never stored a term never acknowledged a leader, so no lease can depend on its vote.
        let contact = (restored.vote.term > 0).then_some(now);
        let token = rng.random();
        let mut replica = Self {
            rng,
            now,
            vote: restored.vote,
            state: State::Follower,
            leader: None,
            role: Role::Follower { leader: None },
            leader_contact: contact,
            election_at: now,
            memberships,
            commit: restored.commit.clamp(position.index, log.last().index),
            emitted: position.index,
            applied: 0,
            durable: log.last().index,
            sequence: 0,
            persisted: 0,
            vote_sequence: 0,
            stored_commit: 0,
            requested_commit: 0,
            pending: VecDeque::new(),
            pending_commits: VecDeque::new(),
            deferred: VecDeque::new(),
            partial: None,
            freshness: freshness::Tracker::new(token),
            store_failed: false,
            removed: false,
            restored_snapshot: restored.snapshot.clone(),
            pending_install: None,
            snapshot: restored.snapshot,
            log,
            config,
        };
        replica.stored_commit = replica.commit;
        replica.requested_commit = replica.commit;
        replica.reset_election_timer();
        if replica.vote.term == 0 && replica.is_only_voter() {
            replica.election_at = now;
        }
        replica
    }

    /// Processes an input and appends the resulting actions to `out`. If `now` goes back, the latest time is used.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if let Some(snapshot) = self.restored_snapshot.take() {
            out.push(Output::Install(snapshot));
        }
        // Timers run first, so that a leader that was paused steps down before it processes the input.
        self.run_timers(out);
        match input {
            Input::Tick => {}
            Input::Receive { from, message } => self.receive(from, message, out),
            Input::Propose { id, data } => self.propose(id, data, out),
            Input::Persisted { through } => self.on_persisted(through, out),
            Input::PersistFailed => self.on_persist_failed(out),
            Input::Applied { index } => self.on_applied(index),
            Input::Compact { snapshot } => self.compact(snapshot, out),
            Input::ChangeMembership { id, change } => self.propose_change(id, change, out),
            Input::TransferLeadership { to } => self.start_transfer(to, out),
        }
        self.flush(out);
        self.store_commit(out);
        self.emit_apply(out);
        self.emit_role(out);
    }

    /// Returns the time by which the replica must be stepped again.
    pub fn next_wake(&self) -> Duration {
        match &self.state {
            State::Leader(leader) => leader.next_wake(&self.config),
            _ if self.may_campaign() => self.election_at,
            _ => self.now + self.config.election_timeout,
        }
    }

    /// Returns the term at an index if the entry is retained; for tests.
    #[doc(hidden)]
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.log.term_at(index)
    }

    /// Returns a snapshot of the state after `index`, encoded as `data`, for `Input::Compact`. Returns `None` if the
    /// entry is not applied or not retained.
    pub fn snapshot(&self, index: u64, data: Bytes) -> Option<snapshot::Snapshot> {
        if index > self.applied {
            return None;
        }
        let term = self.log.term_at(index)?;
        let membership = self.membership_at(index).clone();
        Some(snapshot::Snapshot {
            position: log::Position { term, index },
            membership,
            data,
        })
    }

    fn run_timers(&mut self, out: &mut Vec<Output>) {
        if matches!(self.state, State::Leader(_)) {
            self.run_leader_timers(out);
        } else if self.now >= self.election_at && self.may_campaign() {
            self.start_pre_vote(out);
        }
    }

    fn receive(&mut self, from: id::VmId, message: Message, out: &mut Vec<Output>) {
        let term = message.term;
        if self.committed_membership().removed.contains(&from) {
            if matches!(message.body, Body::PreVote { .. } | Body::Vote { .. }) {
                self.send(from, Body::Removed, out);
            }
            return;
        }
        match message.body {
            Body::PreVote { last } => self.on_pre_vote(from, term, last, out),
            Body::PreVoteReply { granted } => self.on_pre_vote_reply(from, term, granted, out),
            Body::Vote { last, transfer } => self.on_vote(from, term, last, transfer, out),
            // A removal is final, even if this member has reached a later term on its own.
            Body::Removed => self.on_removed(out),
            body if term >= self.vote.term => {
                if term > self.vote.term {
                    self.adopt_term(term, out);
                }
                self.receive_current(from, body, out);
            }
            // Informs the sender of the term. A reply that echoes a send time would renew the lease of a leader of the
            // current term, whom this member may not follow.
            Body::Append(_) | Body::Snapshot { .. } => {
                self.send(from, Body::VoteReply { granted: false }, out);
            }
            _ => {}
        }
    }

    fn receive_current(&mut self, from: id::VmId, body: Body, out: &mut Vec<Output>) {
        match body {
            Body::VoteReply { granted } => self.on_vote_reply(from, granted, out),
            Body::Append(append) => self.on_append(from, append, out),
            Body::AppendReply(reply) => self.on_append_reply(from, &reply, out),
            Body::Snapshot { chunk, sent } => self.on_snapshot(from, &chunk, sent, out),
            Body::SnapshotReply {
                label,
                received,
                sent,
            } => {
                self.on_snapshot_reply(from, label, received, sent, out);
            }
            Body::TimeoutNow => self.on_timeout_now(from, out),
            Body::Removed | Body::PreVote { .. } | Body::PreVoteReply { .. } | Body::Vote { .. } => {}
        }
    }

    fn send(&self, to: id::VmId, body: Body, out: &mut Vec<Output>) {
        out.push(Output::Send {
            to,
            message: Message {
                term: self.vote.term,
                body,
            },
        });
    }

    /// Sends a message once the writes up to a sequence number are durable.
    fn send_once_durable(&mut self, sequence: u64, to: id::VmId, body: Body, out: &mut Vec<Output>) {
        if sequence <= self.persisted {
            self.send(to, body, out);
            return;
        }
        if self.deferred.len() >= MAX_DEFERRED_MESSAGES {
            self.deferred.pop_front();
        }
        self.deferred.push_back((
            sequence,
            to,
            Message {
                term: self.vote.term,
                body,
            },
        ));
    }

    fn on_applied(&mut self, index: u64) {
        self.applied = self.applied.max(index.min(self.emitted));
        self.freshness.applied(self.applied);
    }

    fn set_commit(&mut self, index: u64, out: &mut Vec<Output>) {
        if index <= self.commit {
            return;
        }
        let before = self.commit;
        self.commit = index;
        self.report_committed(out);
        let changed = self
            .memberships
            .iter()
            .any(|(at, _)| *at > before && *at <= index);
        if changed {
            self.on_membership_committed(out);
        }
    }

    fn on_membership_committed(&mut self, out: &mut Vec<Output>) {
        if self.committed_membership().removed.contains(&self.config.id) {
            self.on_removed(out);
            return;
        }
        if !matches!(self.state, State::Leader(_)) {
            return;
        }
        if let Some(removed) = self.committed_membership().removed.back().copied() {
            self.send(removed, Body::Removed, out);
        }
    }

    fn on_removed(&mut self, out: &mut Vec<Output>) {
        self.removed = true;
        self.become_follower(None, out);
    }

    fn waits_for_stored_commit(&self) -> bool {
        self.config.store_commit && self.config.rules.store_commit
    }

    fn emit_apply(&mut self, out: &mut Vec<Output>) {
        let limit = if self.waits_for_stored_commit() {
            self.stored_commit
        } else {
            self.commit
        };
        while self.emitted < limit && self.emitted < self.applied + APPLY_WINDOW {
            let Some(entry) = self.log.get(self.emitted + 1) else {
                return;
            };
            out.push(Output::Apply(entry.clone()));
            self.emitted += 1;
        }
    }

    fn emit_role(&mut self, out: &mut Vec<Output>) {
        let role = match &self.state {
            _ if self.removed => Role::Removed,
            State::Follower => Role::Follower { leader: self.leader },
            State::PreCandidate(_) | State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        };
        if role != self.role {
            self.role = role;
            out.push(Output::Role(role));
        }
    }

    fn membership(&self) -> &membership::Membership {
        &self
            .memberships
            .last()
            .expect("the membership at the base is always retained")
            .1
    }

    fn membership_at(&self, index: u64) -> &membership::Membership {
        let held = self.memberships.iter().rfind(|(at, _)| *at <= index);
        &held.unwrap_or(&self.memberships[0]).1
    }

    fn committed_membership(&self) -> &membership::Membership {
        self.membership_at(self.commit)
    }

    fn is_only_voter(&self) -> bool {
        let voters = &self.membership().voters;
        voters.len() == 1 && voters.contains(&self.config.id)
    }
}
