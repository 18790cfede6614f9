//! Frames from and to other daemons: announcements, the leader that they name, calls and answers.

use std::time::Duration;

use bronzespoke_consensus::replica;
use bronzespoke_workload::call;

use crate::{
    fleet::{
        commands::Responder,
        controller::{Controller, answer},
        wire,
    },
    peer,
};

/// Interval at which due announcements are checked.
const HELLO_CHECK: Duration = Duration::from_millis(50);

impl Controller {
    pub(super) fn receive(&mut self, frame: peer::wire::Frame) {
        if frame.to.is_some_and(|to| to != self.me.vm) {
            return;
        }
        let now = self.now();
        let from = wire::Endpoint {
            vm: frame.from,
            peer: frame.from_peer,
        };
        match frame.body {
            peer::wire::Body::Consensus(_, message) => {
                self.discovery.record_contact(now, from, None);
                if let Some(member) = &mut self.member {
                    let input = replica::Input::Receive {
                        from: from.vm,
                        message,
                    };
                    member.step(now, input, &mut self.events);
                }
            }
            peer::wire::Body::Fleet(message) => self.receive_fleet(now, from, message),
            // Frame of another kind of cell; a wrong seed can cause this.
            _ => log::debug!("decision=drop_frame peer={} reason=kind", from.peer),
        }
    }

    pub(super) fn receive_fleet(&mut self, now: Duration, from: wire::Endpoint, message: wire::Message) {
        match message {
            wire::Message::Hello { durable, zone } => {
                self.discovery.record_contact(now, from, Some(durable));
                self.discovery.record_zone(from, zone);
                if self.settings.data.is_some() {
                    self.welcome(now, from);
                }
            }
            wire::Message::Welcome { leader, known } => {
                self.discovery.record_contact(now, from, Some(true));
                self.discovery.add_endpoints(&known);
                if let Some((term, endpoint)) = leader {
                    self.record_leader(now, term, endpoint);
                }
            }
            wire::Message::Request { number, call } => {
                self.discovery.record_contact(now, from, None);
                let responder = Responder::Remote {
                    endpoint: from,
                    number,
                };
                self.serve(*call, responder);
            }
            wire::Message::Reply { number, reply } => {
                self.discovery.record_contact(now, from, None);
                if reply == call::Reply::NotLeader {
                    self.discovery.clear_leader(from.vm);
                }
                self.trace_reply(from.vm, number, &reply);
                if let Some((responder, reply)) = self.calls.reply(now, number, reply) {
                    answer(responder, reply);
                }
            }
            wire::Message::Query { number, query } => {
                self.discovery.record_contact(now, from, None);
                self.sender.send_query(from, number, query);
            }
            wire::Message::Eligibility { number, answer } => {
                self.discovery.record_contact(now, from, None);
                if let Some(dispatch) = &mut self.dispatch {
                    dispatch.query_answered(now, number, &answer);
                }
            }
            wire::Message::Directives { token, directives } => {
                self.discovery.record_contact(now, from, None);
                self.relay_directives(from, token, directives);
            }
            wire::Message::Answers { token, answers } => {
                self.discovery.record_contact(now, from, None);
                self.receive_answers(token, answers);
            }
        }
    }

    pub(super) fn welcome(&self, now: Duration, to: wire::Endpoint) {
        let leader = self.own_leader(now);
        let mut known = self.discovery.durable();
        known.push(self.me);
        let message = wire::Message::Welcome { leader, known };
        self.send(to, peer::wire::Body::Fleet(message));
    }

    /// Returns the leader that this member's replica knows, and its term.
    pub(super) fn own_leader(&self, now: Duration) -> Option<(u64, wire::Endpoint)> {
        let replica = self.member.as_ref()?.replica();
        let leader = replica.leader()?;
        let term = replica.term();
        if leader == self.me.vm {
            let leads = self.dispatch.is_some() && self.holds_lease(now);
            return leads.then_some((term, self.me));
        }
        let peer = self.discovery.address(leader)?;
        Some((term, wire::Endpoint { vm: leader, peer }))
    }

    pub(super) fn record_leader(&mut self, now: Duration, term: u64, endpoint: wire::Endpoint) {
        let before = self.discovery.leader(now).map(|leader| leader.vm);
        self.discovery.record_leader(now, term, endpoint);
        if before != Some(endpoint.vm) {
            log::info!(
                "belief=leader vm={} peer={} term={term}",
                endpoint.vm,
                endpoint.peer
            );
        }
    }

    pub(super) fn send_hello(&mut self, now: Duration) {
        if now < self.hello_at {
            return;
        }
        self.hello_at = now + HELLO_CHECK;
        let announcements = self.discovery.due(now);
        for address in announcements.reset {
            self.network.reset(address);
        }
        let durable = self.settings.data.is_some();
        for address in announcements.hello {
            let zone = self.settings.zone.clone();
            let message = wire::Message::Hello { durable, zone };
            self.send_frame(address, None, peer::wire::Body::Fleet(message));
        }
    }
}
