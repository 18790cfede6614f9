//! Handles frames from other daemons, and requests to the groups that this VM leads.

use bronzespoke_consensus::message::Body;
use bronzespoke_control::zone;
use bronzespoke_model::{id, job};

use crate::{
    control::{Controller, context, responder, submissions},
    peer::wire,
};

impl Controller {
    /// Handles a frame.
    pub(super) fn frame(&mut self, frame: wire::Frame) {
        self.context.ring.receive_stamp(frame.stamp);
        if frame.to.is_some_and(|to| to != self.context.me.id) {
            return;
        }
        let from = frame.from;
        match frame.body {
            wire::Body::Hello(hello) => self.hello(from, hello),
            wire::Body::Consensus(group, message) => self.consensus(from, group, message),
            wire::Body::FeedRequest(request) => self.root.serve_follower(&self.context, from, &request),
            wire::Body::FeedResponse(response) => self.root.receive_feed(&self.context, from, response),
            wire::Body::Gossip(message) => self.receive_gossip(from, message),
            wire::Body::Request(number, group, request) => {
                let responder = responder::Responder::Remote { to: from, number };
                self.serve(group, request, responder);
            }
            wire::Body::Reply(number, reply) => self.requests.receive(&self.context, number, reply),
            wire::Body::Demand(report) => self.receive_demand(from, &report),
            wire::Body::DemandReceipt(receipt) => self.demand_received(from, &receipt),
            // The sender belongs to another kind of cell; a wrong seed address can cause this.
            wire::Body::Fleet(_) => log::debug!("peer: Dropped a frame from another kind of cell."),
        }
    }

    fn receive_gossip(&mut self, from: id::VmId, message: bronzespoke_gossip::Message) {
        let mut messages = Vec::new();
        self.gossip
            .receive(self.context.now(), from, message, &mut messages);
        for (to, message) in messages {
            self.context.send(to, wire::Body::Gossip(message));
        }
        self.targets_changed = true;
    }

    fn consensus(
        &mut self,
        from: id::VmId,
        group: id::GroupId,
        message: bronzespoke_consensus::message::Message,
    ) {
        // A leader that adds this VM as a learner sends entries or a snapshot. Other messages do not open a replica.
        let opens = matches!(message.body, Body::Append(_) | Body::Snapshot { .. });
        let input = bronzespoke_consensus::replica::Input::Receive { from, message };
        match group {
            id::GroupId::Root => {
                if opens
                    && self.root.member().is_none()
                    && self.context.me.durable
                    && let Some(member) = self.open(group, None)
                {
                    self.root.promote(self.context.now(), member);
                }
                self.root.step(&self.context, input);
            }
            id::GroupId::Zone(zone) => {
                if opens
                    && !self.zones.contains_key(&zone)
                    && let Some(member) = self.open(group, None)
                {
                    self.add_zone(zone, member);
                }
                if let Some(zone) = self.zones.get_mut(&zone) {
                    zone.step(&self.context, input);
                }
            }
        }
    }

    /// Returns the leader of a group, as far as this VM knows.
    pub(super) fn leader(&self, group: id::GroupId) -> Option<id::VmId> {
        let me = self.context.me.id;
        let member = match group {
            id::GroupId::Root => self.root.member(),
            id::GroupId::Zone(zone) => self.zones.get(&zone).map(super::zone::Zone::member),
        };
        let own = member.and_then(|member| Some((member.replica().term(), member.leader(me)?)));
        self.context.leader(group, own)
    }

    pub(super) fn leads(&self, group: id::GroupId) -> bool {
        let now = self.context.now();
        match group {
            id::GroupId::Root => self.root.leads(now),
            id::GroupId::Zone(zone) => self.zones.get(&zone).is_some_and(|zone| zone.leads(now)),
        }
    }

    /// Sends a request to the leader of a group, or serves it here if this VM is the leader.
    pub(super) fn dispatch(
        &mut self,
        group: id::GroupId,
        request: wire::Request,
        deadline: std::time::Duration,
        then: responder::Callback,
    ) {
        if self.leads(group) {
            self.serve(group, request, responder::Responder::Local(then));
            return;
        }
        let leader = self.leader(group);
        self.requests
            .open(&self.context, group, request, deadline, leader, then);
    }

    /// Serves a request as the leader of a group.
    pub(super) fn serve(
        &mut self,
        group: id::GroupId,
        request: wire::Request,
        responder: responder::Responder,
    ) {
        if !self.leads(group) {
            responder.reply(&self.context, wire::Reply::NotLeader);
            return;
        }
        match (group, request) {
            (id::GroupId::Root, wire::Request::Root(envelope)) => {
                self.root.propose(self.context.now(), envelope, responder);
            }
            (_, wire::Request::Change(change)) => self.change_members(group, change, responder),
            (id::GroupId::Zone(zone), request) => self.serve_zone(zone, request, responder),
            (id::GroupId::Root, _) => {
                let reason = String::from("the call does not belong to the root group");
                responder.reply(&self.context, wire::Reply::NotDone(reason));
            }
        }
    }

    fn serve_zone(
        &mut self,
        zone: id::AvailabilityZoneId,
        request: wire::Request,
        responder: responder::Responder,
    ) {
        let Some(group) = self.zones.get_mut(&zone) else {
            responder.reply(&self.context, wire::Reply::NotLeader);
            return;
        };
        match request {
            wire::Request::Zone(envelope) => match refusal(group.state(), &envelope) {
                Some(reason) => responder.reply(&self.context, wire::Reply::Impossible(reason)),
                None => group.propose_envelope(self.context.now(), envelope, responder),
            },
            wire::Request::Job { team, job, results } => {
                let found = find(group.state(), team, job, results);
                responder.reply(&self.context, wire::Reply::Job(found));
            }
            wire::Request::Cancel { team, job } => {
                let Some(found) = find(group.state(), team, job, false) else {
                    responder.reply(&self.context, wire::Reply::Job(None));
                    return;
                };
                if found.state.is_terminal() {
                    responder.reply(&self.context, wire::Reply::Job(Some(found)));
                    return;
                }
                let responder = responder::Responder::Cancellation(Box::new(responder), found);
                let command = zone::Command::Cancel { job };
                let envelope = zone::Envelope::new(context::Context::wall_ms(), command);
                group.propose_envelope(self.context.now(), envelope, responder);
            }
            wire::Request::Submitted(key) => {
                let found = group.state().submitted(key);
                responder.reply(&self.context, wire::Reply::Submitted(found));
            }
            wire::Request::Query(line) => {
                let answer = self.query_zone(zone, &line);
                responder.reply(&self.context, wire::Reply::Answer(answer));
            }
            wire::Request::Root(_) | wire::Request::Change(_) => {
                let reason = String::from("the call does not belong to a zone group");
                responder.reply(&self.context, wire::Reply::NotDone(reason));
            }
        }
    }
}

/// Returns why a submission is refused. A resend gets the outcome of the first attempt, regardless of the workers that
/// exist now.
fn refusal(state: &zone::State, envelope: &zone::Envelope) -> Option<job::Impossible> {
    let zone::Command::Submit { spec, .. } = &envelope.command else {
        return None;
    };
    let resent = envelope.id.is_some_and(|id| state.outcome(id).is_some());
    submissions::impossible(state, spec).filter(|_| !resent)
}

/// Looks up a job for a team, or for an operator when `team` is `None`.
fn find(state: &zone::State, team: Option<id::TeamId>, job: id::JobId, results: bool) -> Option<wire::Job> {
    let zone::Lookup::Found(status) = state.lookup(job, results) else {
        return None;
    };
    if team.is_some_and(|team| team != status.team) {
        return None;
    }
    Some(wire::Job {
        job: status.job,
        team: status.team,
        state: status.state,
        waiting: status.waiting,
        running: status.running,
        succeeded: status.succeeded,
        results: status.results,
    })
}
