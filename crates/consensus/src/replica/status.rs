//! What a replica tells about itself.

use std::time::Duration;

use bronzespoke_model::id;

use super::progress::Mode;
use super::{Replica, Role, State};
use crate::{log, membership};

/// State of a replica, for operators, metrics and readiness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// This member.
    pub id: id::VmId,
    /// Its group.
    pub group: id::GroupId,
    /// Newest term.
    pub term: u64,
    /// Role.
    pub role: Role,
    /// Leader of the term, if known.
    pub leader: Option<id::VmId>,
    /// Position before the oldest entry that is held.
    pub base: log::Position,
    /// Last entry.
    pub last: log::Position,
    /// Commit index.
    pub commit: u64,
    /// Applied index.
    pub applied: u64,
    /// Newest members, committed or not.
    pub membership: membership::Membership,
    /// Newest committed members.
    pub committed: membership::Membership,
    /// Whether the newest members are not committed yet.
    pub change_pending: bool,
    /// Whether a write failed.
    pub store_failed: bool,
    /// What a leader knows about the others; empty on other members.
    pub peers: Vec<Peer>,
}

/// What a leader knows about one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Member.
    pub id: id::VmId,
    /// Whether it votes.
    pub voter: bool,
    /// Index up to which its log agrees durably.
    pub matched: u64,
    /// When the newest message that it answered was sent.
    pub acked: Option<Duration>,
    /// Whether a learner may be promoted.
    pub caught_up: bool,
    /// Bytes of a running snapshot transfer that arrived, and all bytes of it.
    pub snapshot: Option<(u64, u64)>,
}

impl Replica {
    /// Newest term.
    pub const fn term(&self) -> u64 {
        self.vote.term
    }

    /// Newest role that was reported.
    pub const fn role(&self) -> Role {
        self.role
    }

    /// Leader of the term, if known.
    pub const fn leader(&self) -> Option<id::VmId> {
        self.leader
    }

    /// Returns the state.
    pub fn status(&self) -> Status {
        Status {
            id: self.config.id,
            group: self.config.group,
            term: self.vote.term,
            role: self.role,
            leader: self.leader,
            base: self.log.base(),
            last: self.log.last(),
            commit: self.commit,
            applied: self.applied,
            membership: self.membership().clone(),
            committed: self.committed_membership().clone(),
            change_pending: self
                .memberships
                .last()
                .is_some_and(|(index, _)| *index > self.commit),
            store_failed: self.store_failed,
            peers: self.peers(),
        }
    }

    fn peers(&self) -> Vec<Peer> {
        let State::Leader(leader) = &self.state else {
            return Vec::new();
        };
        let members = self.membership();
        let mut peers = Vec::new();
        for (id, progress) in &leader.progress {
            let snapshot = match &progress.mode {
                Mode::Snapshot(transfer) => Some((transfer.offset, transfer.label.total)),
                Mode::Probe | Mode::Pipeline => None,
            };
            peers.push(Peer {
                id: *id,
                voter: members.voters.contains(id),
                matched: progress.matched,
                acked: progress.acked,
                caught_up: progress.is_caught_up(self.now, self.config.election_timeout),
                snapshot,
            });
        }
        peers
    }
}
