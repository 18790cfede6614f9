//! Elections: pre-vote, votes and the silence that protects a leader's lease.

use std::collections::BTreeSet;

use bronzespoke_model::id;
use rand::Rng;

use super::{Output, Replica, State};
use crate::message::{Body, Message};
use crate::{log, write};

/// Shortest and longest time until a pre-vote is asked again, in election timeouts; 75 to 300 ms by default.
const PRE_VOTE_RETRY: (f64, f64) = (0.125, 0.5);
/// Shortest and longest time of an election; the votes of a slow disk need more time than pre-votes.
const VOTE_RETRY: (f64, f64) = (0.4, 1.0);

impl Replica {
    pub(super) fn reset_election_timer(&mut self) {
        let factor = self.rng.random_range(1.0..2.0);
        self.election_at = self.now + self.config.election_timeout.mul_f64(factor);
    }

    /// Sets when a candidate asks again. The voters' silence protects the lease, so this may be sooner than a first
    /// attempt: most attempts fail because the other voters heard the leader a little later.
    fn reset_retry_timer(&mut self, shortest: f64, longest: f64) {
        let factor = self.rng.random_range(shortest..longest);
        self.election_at = self.now + self.config.election_timeout.mul_f64(factor);
    }

    /// A voter of the newest or of the committed members may stand for election.
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

    /// Counts a vote and tells whether the votes make a majority.
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

    /// Counts the own vote once it is durable. A sole voter that led before that could lead the same term again
    /// after a crash and write different entries to its learners.
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

    /// Tells whether a leader may still rely on this member's silence.
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
        let free = self.vote.candidate.is_none_or(|candidate| candidate == from);
        let granted = term == self.vote.term && free && self.is_up_to_date(last) && self.leader.is_none();
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
            // A split vote: two candidates that wait for each other would both wait the whole election.
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
