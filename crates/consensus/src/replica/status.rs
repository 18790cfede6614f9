//! Observable state of a replica.

use std::time::Duration;

use bronzespoke_model::id;

use super::progress::Mode;
use super::{Replica, Role, State};
use crate::{log, membership};

/// State of a replica, for operators, metrics and readiness checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Id of this member.
    pub id: id::VmId,
    /// Group of this member.
    pub group: id::GroupId,
    /// Latest term that this member has seen.
    pub term: u64,
    /// Last reported role.
    pub role: Role,
    /// Leader of the current term, if known.
    pub leader: Option<id::VmId>,
    /// Position before the oldest retained entry.
    pub base: log::Position,
    /// Position of the last entry.
    pub last: log::Position,
    /// Highest index known to be committed.
    pub commit: u64,
    /// Highest applied index.
    pub applied: u64,
    /// Latest membership, committed or not.
    pub membership: membership::Membership,
    /// Latest committed membership.
    pub committed: membership::Membership,
    /// Whether the latest membership is not committed yet.
    pub change_pending: bool,
    /// Whether a write to the store failed.
    pub store_failed: bool,
    /// Progress of the other members; empty unless this member is the leader.
    pub peers: Vec<Peer>,
}

/// Replication progress of a member, as known to the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Id of the member.
    pub id: id::VmId,
    /// Whether the member is a voter.
    pub voter: bool,
    /// Index up to which its log is durable and matches the leader's.
    pub matched: u64,
    /// When the newest message that it acknowledged was sent.
    pub acked: Option<Duration>,
    /// Whether the member has caught up, so that a learner may be promoted.
    pub caught_up: bool,
    /// Received and total bytes of a snapshot transfer in progress.
    pub snapshot: Option<(u64, u64)>,
}

impl Replica {
    /// Returns the latest term that this member has seen.
    pub const fn term(&self) -> u64 {
        self.vote.term
    }

    /// Returns the last reported role.
    pub const fn role(&self) -> Role {
        self.role
    }

    /// Returns the leader of the current term, if known.
    pub const fn leader(&self) -> Option<id::VmId> {
        self.leader
    }

    /// Returns the observable state of the replica.
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
