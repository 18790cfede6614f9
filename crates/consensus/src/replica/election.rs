//! Leader election: pre-votes, votes, and the denial of votes while a leader may hold its lease.

use std::collections::BTreeSet;

use bronzespoke_model::id;
use rand::Rng;

use super::{Output, Replica, State};
use crate::message::{Body, Message};
use crate::{log, write};

/// Minimum and maximum time until a pre-vote is retried, in election timeouts; 75 to 300 ms by default.
const PRE_VOTE_RETRY: (f64, f64) = (0.125, 0.5);
/// Minimum and maximum time until an election is retried, in election timeouts. Votes need more time than pre-votes
/// because they are written to disk.
const VOTE_RETRY: (f64, f64) = (0.4, 1.0);

impl Replica {
    pub(super) fn reset_election_timer(&mut self) {
        let factor = self.rng.random_range(1.0..2.0);
        self.election_at = self.now + self.config.election_timeout.mul_f64(factor);
    }

    /// Sets the time of the next attempt of a candidate. It may be shorter than an election timeout, because voters
    /// deny votes while the lease may be valid. Most attempts fail because the other voters had contact from the leader
    /// slightly later.
    fn reset_retry_timer(&mut self, shortest: f64, longest: f64) {
        let factor = self.rng.random_range(shortest..longest);
        self.election_at = self.now + self.config.election_timeout.mul_f64(factor);
    }

    /// Returns whether this member may campaign: it must be a voter in the latest or in the committed membership.
    pub(super) fn may_campaign(&self) -> bool {
        let id = self.config.id;
        let voter =
            self.membership().voters.contains(&id) || self.committed_membership().voters.contains(&id);
        voter && !self.removed && !self.store_failed
    }

    pub(super) fn become_follower(&mut self, leader: Option<id::VmId>, out: &mut Vec<Output>) {
        if matches!(self.state, State::Leader(_)) {
            self.reject_uncommitted(out);
        }
        self.state = State::Follower;
        self.leader = leader;
        self.reset_election_timer();
    }

    pub(super) fn adopt_term(&mut self, term: u64, out: &mut Vec<Output>) {
        self.vote = write::Vote {
            term,
            candidate: None,
        };
        self.persist_vote(out);
        self.become_follower(None, out);
    }

    pub(super) fn start_pre_vote(&mut self, out: &mut Vec<Output>) {
        self.leader = None;
        self.reset_retry_timer(PRE_VOTE_RETRY.0, PRE_VOTE_RETRY.1);
        self.state = State::PreCandidate(BTreeSet::new());
        if self.count_vote(self.config.id) {
            self.start_election(false, out);
            return;
        }
        let message = Message {
            term: self.vote.term + 1,
            body: Body::PreVote {
                last: self.log.last(),
            },
        };
        for to in self.other_voters() {
            out.push(Output::Send {
                to,
                message: message.clone(),
            });
        }
    }

    pub(super) fn start_election(&mut self, transfer: bool, out: &mut Vec<Output>) {
        self.vote = write::Vote {
            term: self.vote.term + 1,
            candidate: Some(self.config.id),
        };
        self.persist_vote(out);
        self.leader = None;
        self.reset_retry_timer(VOTE_RETRY.0, VOTE_RETRY.1);
        self.state = State::Candidate(BTreeSet::new());
        if !self.config.rules.acknowledge_after_sync {
            self.count_self_vote(out);
        }
        let body = Body::Vote {
            last: self.log.last(),
            transfer,
        };
        for to in self.other_voters() {
            self.send_once_durable(self.sequence, to, body.clone(), out);
        }
    }

    /// Counts a vote and returns whether the votes form a majority.
    fn count_vote(&mut self, from: id::VmId) -> bool {
        let members = self.membership();
        let counts = members.voters.contains(&from) || !self.config.rules.count_voters_only;
        let quorum = members.quorum();
        let (State::PreCandidate(granted) | State::Candidate(granted)) = &mut self.state else {
            return false;
        };
        if counts {
            granted.insert(from);
        }
        granted.len() >= quorum
    }

    /// Counts the candidate's own vote once it is durable. If a sole voter became leader earlier, it could lead the
    /// same term again after a crash and send different entries to its learners.
    pub(super) fn count_self_vote(&mut self, out: &mut Vec<Output>) {
        let candidate = matches!(self.state, State::Candidate(_));
        if candidate && self.count_vote(self.config.id) {
            self.become_leader(out);
        }
    }

    fn other_voters(&self) -> Vec<id::VmId> {
        let members = self.membership();
        let mut others = members.voters.clone();
        if !self.config.rules.count_voters_only {
            others.extend(&members.learners);
        }
        others.remove(&self.config.id);
        others.into_iter().collect()
    }

    /// Returns whether a leader's lease may still depend on this member not voting for another candidate.
    fn is_under_leader_lease(&self) -> bool {
        if !self.config.rules.reject_vote_under_lease {
            return false;
        }
        let contact = match &self.state {
            State::Leader(leader) => self.quorum_acked(self.now).max(Some(leader.elected_at)),
            _ => self.leader_contact,
        };
        contact.is_some_and(|contact| self.now < contact + self.config.election_timeout)
    }

    fn is_up_to_date(&self, last: log::Position) -> bool {
        last >= self.log.last() || !self.config.rules.require_up_to_date_log
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: id::VmId,
        term: u64,
        last: log::Position,
        out: &mut Vec<Output>,
    ) {
        let granted = term > self.vote.term
            && self.is_up_to_date(last)
            && !self.is_under_leader_lease()
            && !self.store_failed
            && !self.removed;
        let term = if granted { term } else { self.vote.term };
        let message = Message {
            term,
            body: Body::PreVoteReply { granted },
        };
        out.push(Output::Send { to: from, message });
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        from: id::VmId,
        term: u64,
        granted: bool,
        out: &mut Vec<Output>,
    ) {
        if !granted {
            if term > self.vote.term {
                self.adopt_term(term, out);
            }
            return;
        }
        let current = term == self.vote.term + 1 && matches!(self.state, State::PreCandidate(_));
        if current && self.count_vote(from) {
            self.start_election(false, out);
        }
    }

    pub(super) fn on_vote(
        &mut self,
        from: id::VmId,
        term: u64,
        last: log::Position,
        transfer: bool,
        out: &mut Vec<Output>,
    ) {
        let under_lease = self.is_under_leader_lease() && !transfer;
        if under_lease || self.store_failed || self.removed {
            self.send(from, Body::VoteReply { granted: false }, out);
            return;
        }
        if term > self.vote.term {
            self.adopt_term(term, out);
        }
        let available = self.vote.candidate.is_none_or(|candidate| candidate == from);
        let granted =
            term == self.vote.term && available && self.is_up_to_date(last) && self.leader.is_none();
        if !granted {
            self.send(from, Body::VoteReply { granted }, out);
            return;
        }
        if self.vote.candidate.is_none() {
            self.vote.candidate = Some(from);
            if self.config.rules.persist_vote {
                self.persist_vote(out);
            }
        }
        self.reset_election_timer();
        self.send_once_durable(self.sequence, from, Body::VoteReply { granted }, out);
    }

    pub(super) fn on_vote_reply(&mut self, from: id::VmId, granted: bool, out: &mut Vec<Output>) {
        let candidate = matches!(self.state, State::Candidate(_));
        if candidate && granted && self.count_vote(from) {
            self.become_leader(out);
        } else if candidate && !granted {
            // After a split vote, retry early; otherwise both candidates would wait for the full election time-out.
            let planned = self.election_at;
            self.reset_retry_timer(PRE_VOTE_RETRY.0, PRE_VOTE_RETRY.1);
            self.election_at = self.election_at.min(planned);
        }
    }

    pub(super) fn on_timeout_now(&mut self, from: id::VmId, out: &mut Vec<Output>) {
        if self.leader == Some(from) && self.may_campaign() && !matches!(self.state, State::Leader(_)) {
            self.start_election(true, out);
        }
    }
}
