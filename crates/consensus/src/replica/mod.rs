//! One member of one group: a pure function of time and inputs.
//!
//! The caller carries out the outputs in order. Writes may be carried out later and together, as long as they keep
//! their order and `Persisted` is given after they are durable; messages that depend on a write are held back here.
//! The caller steps the replica at `next_wake` at the latest.

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

/// Entries that may be handed out and not yet applied; later ones wait.
const APPLY_WINDOW: u64 = 4_096;
/// Messages that may wait for a write; older ones are dropped, as the network might.
const MAX_DEFERRED_MESSAGES: usize = 1_024;

/// What happened.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A message arrived.
    Receive {
        /// Sender.
        from: id::VmId,
        /// Message.
        message: Message,
    },
    /// A command is to be replicated.
    Propose {
        /// Chosen by the caller; returned in `Committed` or `Rejected`.
        id: u64,
        /// Command.
        data: Bytes,
    },
    /// All writes up to a sequence are durable.
    Persisted {
        /// Sequence of the last durable write.
        through: u64,
    },
    /// A write failed. The replica neither votes nor acknowledges until it is made again from its store.
    PersistFailed,
    /// The state machine has applied the entries up to an index.
    Applied {
        /// That index.
        index: u64,
    },
    /// A snapshot of the applied state; see `Replica::snapshot`.
    Compact {
        /// Snapshot.
        snapshot: snapshot::Snapshot,
    },
    /// The members are to be changed.
    ChangeMembership {
        /// Chosen by the caller; returned in `Committed` or `Rejected`.
        id: u64,
        /// Change.
        change: membership::Change,
    },
    /// The leadership is to be handed over.
    TransferLeadership {
        /// Next leader, or the voter that holds most of the log.
        to: Option<id::VmId>,
    },
}

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Make durable, then give `Persisted` or `PersistFailed`.
    Persist(write::Write),
    /// Send a message; it may be lost.
    Send {
        /// Receiver.
        to: id::VmId,
        /// Message.
        message: Message,
    },
    /// Apply a committed entry, then give `Applied`. Indices are consecutive.
    Apply(log::Entry),
    /// Replace the state by a snapshot, then give `Applied`.
    Install(snapshot::Snapshot),
    /// A proposal or change is committed at an index.
    Committed {
        /// Id of the proposal or change.
        id: u64,
        /// Index of its entry.
        index: u64,
    },
    /// A proposal or change did not commit, or may not have.
    Rejected {
        /// Id of the proposal or change.
        id: u64,
        /// Reason.
        reason: Rejection,
    },
    /// The role or the known leader changed.
    Role(Role),
}

/// Why a proposal or change was not committed. All but `Unknown` mean that it never will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// Another member leads, if known.
    NotLeader {
        /// That member.
        leader: Option<id::VmId>,
    },
    /// Too much is uncommitted.
    QueueFull,
    /// The command is too large.
    TooLarge,
    /// The leadership is being handed over.
    Transferring,
    /// The store failed.
    StoreFailed,
    /// The leader has not committed an entry of its term yet, or another change is uncommitted.
    ChangePending,
    /// The learner does not hold the committed log yet.
    NotCaughtUp,
    /// The change does not fit the members.
    Change(membership::Error),
    /// The leadership was lost; the entry may or may not commit.
    Unknown,
}

/// Role of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Follows a leader, if one is known.
    Follower {
        /// That leader.
        leader: Option<id::VmId>,
    },
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
    /// Was removed from the group for good.
    Removed,
}

#[derive(Debug)]
enum State {
    Follower,
    PreCandidate(BTreeSet<id::VmId>),
    Candidate(BTreeSet<id::VmId>),
    Leader(Box<leader::Leader>),
}

/// One member of one group.
///
/// Invariants: `applied <= emitted <= commit <= last index`, and none of the first three ever goes back.
#[derive(Debug)]
pub struct Replica {
    config: Config,
    rng: rngs::SmallRng,
    now: Duration,
    vote: write::Vote,
    state: State,
    leader: Option<id::VmId>,
    role: Role,
    /// Last sign of a leader of the current term; the start of the process counts as one.
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
    /// Commit index that is stored, and that whose storage was asked for.
    stored_commit: u64,
    requested_commit: u64,
    /// Writes that are not durable, with the last index that each makes durable.
    pending: VecDeque<(u64, Option<u64>)>,
    /// Commit index that each of those writes stores.
    pending_commits: VecDeque<(u64, u64)>,
    deferred: VecDeque<(u64, id::VmId, Message)>,
    partial: Option<snapshot::Partial>,
    freshness: freshness::Tracker,
    store_failed: bool,
    removed: bool,
    restored_snapshot: Option<snapshot::Snapshot>,
    /// Received snapshot that is handed out once its write is durable.
    pending_install: Option<(u64, snapshot::Snapshot)>,
}

impl Replica {
    /// Returns a member that restarts from its durable state.
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
        // A member that never stored a term never acknowledged a leader, so it owes no leader its silence.
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

    /// Handles one input and appends what has to be done. Time that goes back counts as no time.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if let Some(snapshot) = self.restored_snapshot.take() {
            out.push(Output::Install(snapshot));
        }
        // Timers come first: a leader that was paused steps down before it handles anything.
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

    /// Time at which the replica must be stepped again.
    pub fn next_wake(&self) -> Duration {
        match &self.state {
            State::Leader(leader) => leader.next_wake(&self.config),
            _ if self.may_campaign() => self.election_at,
            _ => self.now + self.config.election_timeout,
        }
    }

    /// Term of the entry at an index, if it is held; for checks.
    #[doc(hidden)]
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.log.term_at(index)
    }

    /// Returns a snapshot record of the applied state for `Input::Compact`.
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
            // The removal is final, whatever term the former member has reached on its own.
            Body::Removed => self.on_removed(out),
            body if term >= self.vote.term => {
                if term > self.vote.term {
                    self.adopt_term(term, out);
                }
                self.receive_current(from, body, out);
            }
            Body::Append(append) => self.reject_stale_append(from, &append, out),
            Body::Snapshot { .. } => self.send(from, Body::VoteReply { granted: false }, out),
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

    /// Sends once the writes up to a sequence are durable.
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
            .expect("the membership at the base is always held")
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
