//! Sends orders and questions from the traffic thread and brings the answers back to control.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bronzespoke_workload::{adapter, directive, eligibility};
use ractor::ActorRef;
use tokio::{runtime, sync::OnceCell};

use crate::fleet::{Message, client, metric, relay, wire};

/// An order that is not answered in this time is taken as unanswered: two ways between regions and a busy worker.
const ORDER_TIMEOUT: Duration = Duration::from_millis(900);
/// A question is given up by the leader; this only bounds how long the connection is kept.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(4);

/// How long an order waits for its answer.
pub fn timeout(order: &directive::Directive) -> Duration {
    match order {
        directive::Directive::Renew { wait, .. } => ORDER_TIMEOUT + *wait,
        _ => ORDER_TIMEOUT,
    }
}

/// An order on its way.
#[derive(Debug, Clone)]
#[expect(clippy::struct_field_names, reason = "the field is what the struct carries")]
pub struct Order {
    /// Who gave it.
    pub origin: relay::Origin,
    /// Worker.
    pub recipient: wire::Recipient,
    /// Order.
    pub order: directive::Directive,
}

/// Handle of the control thread on the calls of the traffic thread.
#[derive(Debug, Clone)]
pub struct Sender {
    runtime: runtime::Handle,
    client: client::Client,
    adapter: Arc<dyn adapter::Adapter>,
    advice: Option<SocketAddr>,
    control: Arc<OnceCell<ActorRef<Message>>>,
}

impl Sender {
    /// Returns a handle; `control` is set when the control thread runs.
    pub fn new(
        runtime: runtime::Handle,
        adapter: Arc<dyn adapter::Adapter>,
        advice: Option<SocketAddr>,
        control: Arc<OnceCell<ActorRef<Message>>>,
    ) -> Self {
        Self {
            runtime,
            client: client::Client::default(),
            adapter,
            advice,
            control,
        }
    }

    /// Sends an order.
    pub fn order(&self, order: Order) {
        let sender = self.clone();
        self.runtime.spawn(async move { sender.carry(order).await });
    }

    async fn carry(self, order: Order) {
        let recipient = &order.recipient;
        let request = self
            .adapter
            .directive(&recipient.name, recipient.fence, &order.order);
        let timeout = timeout(&order.order);
        let begun = Instant::now();
        let answer = match self.client.call(recipient.address, request, timeout).await {
            Ok((status, body)) => Some(self.adapter.answer(&order.order, status, &body)),
            Err(error) => {
                log::debug!("decision=order worker={} outcome={error:?}", recipient.name);
                (error == client::Error::NotSent).then_some(directive::Answer::NotSent)
            }
        };
        metric::order(&order.order, answer.as_ref(), begun.elapsed());
        self.report(Message::Ordered {
            origin: order.origin,
            order: order.order,
            answer,
        });
    }

    /// Asks the eligibility service for another daemon.
    pub fn ask(&self, asker: wire::Place, number: u64, question: eligibility::Query) {
        let sender = self.clone();
        self.runtime
            .spawn(async move { sender.question(asker, number, question).await });
    }

    async fn question(self, asker: wire::Place, number: u64, question: eligibility::Query) {
        let answer = match self.advice {
            None => eligibility::Answer::Failed,
            Some(address) => {
                let request = self.adapter.query(&question);
                match self.client.call(address, request, QUESTION_TIMEOUT).await {
                    Ok((status, body)) => self.adapter.eligibility(status, &body),
                    Err(_error) => eligibility::Answer::Failed,
                }
            }
        };
        self.report(Message::Advised {
            asker,
            number,
            answer,
        });
    }

    fn report(&self, message: Message) {
        let delivered = self
            .control
            .get()
            .is_some_and(|control| control.send_message(message).is_ok());
        if !delivered {
            log::debug!("decision=drop_answer reason=control_stopped");
        }
    }
}
