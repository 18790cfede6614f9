//! Leader state: proposals, membership changes, the commit index and the lease.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bronzespoke_model::id;
use bytes::Bytes;

use super::progress::{Mode, Progress};
use super::{Config, Output, Rejection, Replica, State, transfer};
use crate::{log, membership};

/// State of a leader during its term.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) progress: BTreeMap<id::VmId, Progress>,
    pub(crate) elected_at: Duration,
    /// Index of the first entry of the term.
    pub(crate) first_index: u64,
    /// Uncommitted entries: index, id of the proposal, size in bytes.
    uncommitted: VecDeque<(u64, Option<u64>, usize)>,
    uncommitted_bytes: usize,
    /// Last index that was released for replication.
    pub(crate) flushed: u64,
    /// When the entries after `flushed` are released.
    pub(crate) flush_at: Option<Duration>,
    /// Bytes of the entries after `flushed`.
    pub(crate) unflushed_bytes: usize,
    pub(crate) transfer: Option<transfer::Transfer>,
    /// Set for the rest of the term once another member was asked to campaign, because its election ignores the lease.
    pub(crate) lease_void: bool,
}

impl Leader {
    /// Returns the time of the next timer.
    pub(crate) fn next_wake(&self, config: &Config) -> Duration {
        let heartbeat = self
            .progress
            .values()
            .map(|progress| progress.sent_at + config.heartbeat_interval)
            .min();
        let transfer = self.transfer.as_ref().map(|transfer| transfer.deadline);
        let times = [heartbeat, self.flush_at, transfer];
        let idle = self.elected_at + Duration::from_hours(24 * 365);
        times.into_iter().flatten().min().unwrap_or(idle)
    }
}

impl Replica {
    pub(super) fn become_leader(&mut self, out: &mut Vec<Output>) {
        let last = self.log.last().index;
        let mut progress = BTreeMap::new();
        let members = self.membership();
        for member in members.voters.iter().chain(&members.learners) {
            if *member != self.config.id {
                progress.insert(*member, Progress::new(last + 1, Mode::Pipeline, self.now));
            }
        }
        self.state = State::Leader(Box::new(Leader {
            progress,
            elected_at: self.now,
            first_index: last + 1,
            uncommitted: VecDeque::new(),
            uncommitted_bytes: 0,
            flushed: last,
            flush_at: Some(self.now),
            unflushed_bytes: 0,
            transfer: None,
            lease_void: false,
        }));
        self.leader = Some(self.config.id);
        self.partial = None;
        self.append_as_leader(log::Payload::Noop, None, out);
    }

    fn append_as_leader(&mut self, payload: log::Payload, id: Option<u64>, out: &mut Vec<Output>) {
        let size = payload.size();
        let position = log::Position {
            term: self.vote.term,
            index: self.log.last().index + 1,
        };
        let due = self.now + self.config.batch_delay;
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted.push_back((position.index, id, size));
            leader.uncommitted_bytes += size;
            leader.unflushed_bytes += size;
            leader.flush_at = leader.flush_at.or(Some(due));
        }
        self.append(vec![log::Entry { position, payload }], out);
    }

    /// Returns the reason for which a proposal of this size cannot be accepted now.
    fn proposal_rejection(&self, size: usize) -> Option<Rejection> {
        let State::Leader(leader) = &self.state else {
            return Some(Rejection::NotLeader { leader: self.leader });
        };
        if self.store_failed {
            return Some(Rejection::StoreFailed);
        }
        if leader.transfer.is_some() || leader.lease_void {
            return Some(Rejection::Transferring);
        }
        if size > self.config.max_entry_bytes {
            return Some(Rejection::TooLarge);
        }
        // If the store stalls without an error, writes stay pending even while the other voters commit.
        let full = leader.uncommitted.len() >= self.config.max_uncommitted_entries
            || leader.uncommitted_bytes + size > self.config.max_uncommitted_bytes
            || self.pending.len() >= self.config.max_uncommitted_entries;
        full.then_some(Rejection::QueueFull)
    }

    pub(super) fn propose(&mut self, id: u64, data: Bytes, out: &mut Vec<Output>) {
        match self.proposal_rejection(data.len()) {
            Some(reason) => out.push(Output::Rejected { id, reason }),
            None => self.append_as_leader(log::Payload::Command(data), Some(id), out),
        }
    }

    pub(super) fn propose_change(&mut self, id: u64, change: membership::Change, out: &mut Vec<Output>) {
        let rejection = self
            .proposal_rejection(0)
            .or_else(|| self.change_rejection(change));
        let next = match rejection {
            Some(reason) => Err(reason),
            None => self.membership().with_change(change).map_err(Rejection::Change),
        };
        match next {
            Ok(members) => self.append_change(id, change, members, out),
            Err(reason) => out.push(Output::Rejected { id, reason }),
        }
    }

    fn change_rejection(&self, change: membership::Change) -> Option<Rejection> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let pending = self
            .memberships
            .last()
            .is_some_and(|(index, _)| *index > self.commit);
        if self.config.rules.one_change_at_a_time && (pending || self.commit < leader.first_index) {
            return Some(Rejection::ChangePending);
        }
        let membership::Change::Promote(vm) = change else {
            return None;
        };
        let limit = self.config.election_timeout;
        let ready = leader
            .progress
            .get(&vm)
            .is_none_or(|progress| progress.is_caught_up(self.now, limit));
        (!ready && self.config.rules.promote_caught_up).then_some(Rejection::NotCaughtUp)
    }

    fn append_change(
        &mut self,
        id: u64,
        change: membership::Change,
        members: membership::Membership,
        out: &mut Vec<Output>,
    ) {
        let next = self.log.last().index + 1;
        let now = self.now;
        self.append_as_leader(log::Payload::Membership(members), Some(id), out);
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        match change {
            membership::Change::AddLearner(vm) => {
                leader
                    .progress
                    .insert(vm, Progress::new(next, Mode::Probe, Duration::ZERO.max(now)));
            }
            membership::Change::Remove(vm) => {
                leader.progress.remove(&vm);
            }
            membership::Change::Promote(_) => {}
        }
        self.advance_commit(out);
    }

    /// Advances the commit index to the last entry that is durable on a majority of the voters.
    pub(super) fn advance_commit(&mut self, out: &mut Vec<Output>) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let members = self.membership();
        let mut matched = Vec::with_capacity(members.voters.len());
        let learners = members
            .learners
            .iter()
            .filter(|_| !self.config.rules.count_voters_only);
        for voter in members.voters.iter().chain(learners) {
            let index = match leader.progress.get(voter) {
                Some(progress) => progress.matched,
                None if *voter == self.config.id => self.durable,
                None => 0,
            };
            matched.push(index);
        }
        matched.sort_unstable_by(|left, right| right.cmp(left));
        let index = matched[members.quorum() - 1];
        let own_term = self.log.term_at(index) == Some(self.vote.term);
        if index > self.commit && (own_term || !self.config.rules.commit_current_term_only) {
            self.set_commit(index, out);
            self.record_leader_freshness();
        }
    }

    /// Reports proposals up to the commit index as committed.
    pub(super) fn report_committed(&mut self, out: &mut Vec<Output>) {
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        while let Some((index, id, size)) = leader.uncommitted.pop_front_if(|entry| entry.0 <= commit) {
            leader.uncommitted_bytes -= size;
            if let Some(id) = id {
                out.push(Output::Committed { id, index });
            }
        }
    }

    /// Rejects uncommitted proposals with an unknown outcome: the next leader may still commit them.
    pub(super) fn reject_uncommitted(&mut self, out: &mut Vec<Output>) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        for (_, id, _) in leader.uncommitted.drain(..) {
            if let Some(id) = id {
                out.push(Output::Rejected {
                    id,
                    reason: Rejection::Unknown,
                });
            }
        }
    }

    pub(super) fn run_leader_timers(&mut self, out: &mut Vec<Output>) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let contact = self.quorum_acked(self.now).max(Some(leader.elected_at));
        if contact.is_none_or(|contact| self.now > contact + self.config.election_timeout) {
            // Check quorum: without contact to a majority this leader cannot commit, and another may have been elected.
            self.become_follower(None, out);
            return;
        }
        self.run_transfer_timer(out);
        self.send_heartbeats(out);
    }

    /// Returns the latest time such that a majority of the voters has acknowledged a message sent then or later.
    pub(super) fn quorum_acked(&self, now: Duration) -> Option<Duration> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let members = self.membership();
        let mut acked = Vec::with_capacity(members.voters.len());
        for voter in &members.voters {
            let instant = match leader.progress.get(voter) {
                Some(progress) => progress.acked,
                None => (*voter == self.config.id).then_some(now),
            };
            acked.push(instant);
        }
        acked.sort_unstable_by(|left, right| right.cmp(left));
        acked[members.quorum() - 1]
    }

    /// Returns the quorum acknowledgement time, once an entry of this term is committed and this leader therefore knows
    /// all entries committed in earlier terms.
    fn leader_freshness(&self, now: Duration) -> Option<Duration> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        if self.commit < leader.first_index {
            return None;
        }
        self.quorum_acked(now)
    }

    pub(super) fn record_leader_freshness(&mut self) {
        if let Some(freshness) = self.leader_freshness(self.now) {
            self.freshness.record(self.applied, self.commit, freshness);
        }
    }

    /// Returns the age of the leader's state in microseconds, rounded up.
    pub(super) fn leader_age(&self) -> Option<u64> {
        let age = self.now.saturating_sub(self.leader_freshness(self.now)?);
        Some(age.as_micros() as u64 + 1)
    }

    /// Returns the time on the local clock up to which the applied state is complete.
    pub fn freshness(&self, now: Duration) -> Option<Duration> {
        let confirmed = self.freshness.confirmed();
        if self.applied < self.commit {
            return confirmed;
        }
        confirmed.max(self.leader_freshness(now))
    }

    /// Returns the time since the leader last had contact to a majority; `None` if it may not serve reads at all.
    pub fn lease_age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.leader_freshness(now)?))
    }

    /// Returns whether this member is the leader and holds a valid lease: no other member can lead now, and this one
    /// knows all committed entries.
    pub fn holds_lease(&self, now: Duration) -> bool {
        let State::Leader(leader) = &self.state else {
            return false;
        };
        if leader.lease_void || self.store_failed {
            return false;
        }
        let Some(freshness) = self.leader_freshness(now) else {
            return false;
        };
        now < freshness + self.config.lease() || !self.config.rules.expire_lease
    }
}
