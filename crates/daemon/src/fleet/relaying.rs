//! Orders on their way: by this daemon's own calls, or through the daemon that carries them.

use std::time::Duration;

use bronzespoke_control::cell;
use bronzespoke_dispatch::{dispatch::Dispatch, worker};
use bronzespoke_workload::directive;

use crate::{
    fleet::{controller::Controller, orders, relay, wire},
    peer,
};

impl Controller {
    /// Sends an order of this leader.
    pub(super) fn send_order(
        &mut self,
        decided: Duration,
        worker: cell::WorkerIndex,
        order: directive::Directive,
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
            fence: worker::fencing_token(dispatch.token(), worker),
            name: receiver.incarnation.name.clone(),
            address: receiver.announced.address,
        };
        match self.relays.carrier(&receiver.announced.zone) {
            Some(carrier) => self.relays.queue(now, carrier, decision, recipient, order),
            None => self.orders.order(orders::Order {
                origin: relay::Origin::Own(decision),
                recipient,
                order,
            }),
        }
    }

    /// Sends the orders that wait for their frames.
    pub(super) fn flush_relays(&mut self) {
        let Some(token) = self.dispatch.as_ref().map(Dispatch::token) else {
            return;
        };
        for (place, orders) in self.relays.take_frames() {
            let message = wire::Message::Orders { token, orders };
            self.send(place, peer::wire::Body::Fleet(message));
        }
    }

    /// Chooses the carriers anew and gives up orders whose answers will not come.
    pub(super) fn look_after_relays(&mut self, now: Duration) {
        let workers = self
            .dispatch
            .as_ref()
            .map_or(0, |dispatch| dispatch.workers().len());
        self.relays.set_carriers(workers, self.contact.carriers(now));
        for (decision, order) in self.relays.give_up(now) {
            self.answered(decision, &order, None);
        }
    }

    /// Carries orders of another leader.
    pub(super) fn carry_orders(
        &self,
        leader: wire::Place,
        token: directive::Token,
        orders: Vec<wire::Order>,
    ) {
        for order in orders {
            self.orders.order(orders::Order {
                origin: relay::Origin::Leader {
                    place: leader,
                    token,
                    number: order.number,
                },
                recipient: order.recipient,
                order: order.order,
            });
        }
    }

    /// Takes answers that another daemon got; those to orders of a former term change nothing.
    pub(super) fn take_answers(&mut self, token: directive::Token, answers: Vec<wire::Answered>) {
        if self.dispatch.as_ref().map(Dispatch::token) != Some(token) {
            return;
        }
        for (number, answer) in answers {
            if let Some((decision, order)) = self.relays.answered(number) {
                self.answered(decision, &order, answer.as_ref());
            }
        }
    }

    /// Takes a worker's answer to an order that this daemon sent.
    pub(super) fn ordered(
        &mut self,
        origin: relay::Origin,
        order: &directive::Directive,
        answer: Option<directive::Answer>,
    ) {
        match origin {
            relay::Origin::Own(decision) => self.answered(decision, order, answer.as_ref()),
            relay::Origin::Leader { place, token, number } => {
                let now = self.now();
                self.carried.add(now, place, token, number, answer);
            }
        }
    }

    /// Returns the answers that are due to the leaders that gave the orders.
    pub(super) fn return_answers(&mut self, now: Duration) {
        for (leader, message) in self.carried.take_frames(now) {
            self.send(leader, peer::wire::Body::Fleet(message));
        }
    }

    /// An answer to an order of a former term changes nothing.
    fn answered(
        &mut self,
        decision: relay::Decision,
        order: &directive::Directive,
        answer: Option<&directive::Answer>,
    ) {
        let now = self.times();
        let relay::Decision { token, worker, at } = decision;
        if let Some(dispatch) = self
            .dispatch
            .as_mut()
            .filter(|dispatch| dispatch.token() == token)
        {
            dispatch.answered(&self.state, now, worker, order, at, answer);
        }
    }
}
