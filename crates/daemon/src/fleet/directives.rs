//! Sends directives to workers, by own calls or through relays, and handles their answers.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_dispatch::dispatch::Dispatch;
use bronzespoke_workload::directive;

use crate::{
    fleet::{controller::Controller, relay, sender, wire},
    peer,
};

impl Controller {
    /// Sends a directive that this leader issued.
    pub(super) fn send_directive(
        &mut self,
        decided: Duration,
        worker: cell::WorkerIndex,
        directive: directive::Directive,
    ) {
        let now = self.now();
        let Some(dispatch) = &self.dispatch else { return };
        let Some(receiver) = dispatch.workers().get(&worker) else {
            return;
        };
        let decision = relay::Decision {
            token: dispatch.token(),
            worker,
            at: decided,
        };
        let recipient = wire::Recipient {
            token: receiver.fencing_token(dispatch.token()),
            name: receiver.incarnation.name.clone(),
            address: receiver.announced.address,
        };
        match self.relays.relay(&receiver.announced.zone) {
            Some(relay) => self.relays.queue(now, relay, decision, recipient, directive),
            None => self.sender.send_directive(sender::Directive {
                origin: relay::Origin::Local(decision),
                recipient,
                directive,
            }),
        }
    }

    /// Sends the frames with the directives for relays.
    pub(super) fn flush_relays(&mut self) {
        let Some(token) = self.dispatch.as_ref().map(Dispatch::token) else {
            return;
        };
        for (endpoint, directives) in self.relays.take_frames() {
            let message = wire::Message::Directives { token, directives };
            self.send(endpoint, peer::wire::Body::Fleet(message));
        }
    }

    /// Selects the relays and expires directives whose answers will not arrive.
    pub(super) fn update_relays(&mut self, now: Duration) {
        let workers = self
            .dispatch
            .as_ref()
            .map_or(0, |dispatch| dispatch.workers().len());
        self.relays.set_relays(workers, self.discovery.relays(now));
        for (decision, directive) in self.relays.expire(now) {
            self.apply_answer(decision, &directive, None);
        }
    }

    /// Sends directives to workers as the relay of a leader.
    pub(super) fn relay_directives(
        &self,
        leader: wire::Endpoint,
        token: directive::Token,
        directives: Vec<wire::Directive>,
    ) {
        for directive in directives {
            self.sender.send_directive(sender::Directive {
                origin: relay::Origin::Leader {
                    endpoint: leader,
                    token,
                    number: directive.number,
                },
                recipient: directive.recipient,
                directive: directive.directive,
            });
        }
    }

    /// Handles answers from a relay; answers from an earlier term are ignored.
    pub(super) fn receive_answers(&mut self, token: directive::Token, answers: Vec<wire::Answered>) {
        if self.dispatch.as_ref().map(Dispatch::token) != Some(token) {
            return;
        }
        for (number, answer) in answers {
            if let Some((decision, directive)) = self.relays.answered(number) {
                self.apply_answer(decision, &directive, answer.as_ref());
            }
        }
    }

    /// Handles the answer of a worker to a directive that this daemon sent.
    pub(super) fn directive_answered(
        &mut self,
        origin: relay::Origin,
        directive: &directive::Directive,
        answer: Option<directive::Answer>,
    ) {
        match origin {
            relay::Origin::Local(decision) => self.apply_answer(decision, directive, answer.as_ref()),
            relay::Origin::Leader {
                endpoint,
                token,
                number,
            } => {
                let now = self.now();
                self.relay_answers.add(now, endpoint, token, number, answer);
            }
        }
    }

    /// Sends the answers that are due to the leaders that issued the directives.
    pub(super) fn send_answers(&mut self, now: Duration) {
        for (leader, message) in self.relay_answers.take_frames(now) {
            self.send(leader, peer::wire::Body::Fleet(message));
        }
    }

    /// Applies an answer; answers to directives of an earlier term are ignored.
    fn apply_answer(
        &mut self,
        decision: relay::Decision,
        directive: &directive::Directive,
        answer: Option<&directive::Answer>,
    ) {
        let now = self.times();
        let relay::Decision { token, worker, at } = decision;
        if let Some(dispatch) = self
            .dispatch
            .as_mut()
            .filter(|dispatch| dispatch.token() == token)
        {
            dispatch.answered(&self.state, now, worker, directive, at, answer);
        }
    }
}
