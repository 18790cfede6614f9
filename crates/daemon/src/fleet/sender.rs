//! Sends directives and eligibility queries from the traffic thread and returns the answers to the control thread.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bronzespoke_workload::{adapter, directive, eligibility};
use tokio::runtime;

use crate::fleet::{Message, client, inbox, metric, relay, wire};

/// Time after which a directive counts as unacknowledged: two one-way trips between regions and a busy worker.
const DIRECTIVE_TIMEOUT: Duration = Duration::from_millis(900);
/// The leader abandons a query earlier; this only bounds how long the connection is kept.
const QUERY_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a directive waits for its answer.
pub fn timeout(directive: &directive::Directive) -> Duration {
    match directive {
        directive::Directive::Renew { wait, .. } => DIRECTIVE_TIMEOUT + *wait,
        _ => DIRECTIVE_TIMEOUT,
    }
}

/// A directive in flight.
#[derive(Debug, Clone)]
#[expect(clippy::struct_field_names, reason = "the field is what the struct carries")]
pub struct Directive {
    /// Daemon that issued the directive.
    pub origin: relay::Origin,
    /// Worker that gets the directive.
    pub recipient: wire::Recipient,
    /// Directive to send.
    pub directive: directive::Directive,
}

/// Handle by which the control thread starts calls on the traffic thread.
#[derive(Debug, Clone)]
pub struct Sender {
    runtime: runtime::Handle,
    client: client::Client,
    adapter: Arc<dyn adapter::Adapter>,
    /// Address of the eligibility service.
    eligibility: Option<SocketAddr>,
    control: inbox::Inbox,
}

impl Sender {
    /// Returns a handle; `control` receives the answers.
    pub fn new(
        runtime: runtime::Handle,
        adapter: Arc<dyn adapter::Adapter>,
        eligibility: Option<SocketAddr>,
        control: inbox::Inbox,
    ) -> Self {
        Self {
            runtime,
            client: client::Client::default(),
            adapter,
            eligibility,
            control,
        }
    }

    /// Sends a directive to its worker.
    pub fn send_directive(&self, directive: Directive) {
        let sender = self.clone();
        self.runtime
            .spawn(async move { sender.call_worker(directive).await });
    }

    async fn call_worker(self, directive: Directive) {
        let Directive {
            origin,
            recipient,
            directive,
        } = directive;
        let request = self
            .adapter
            .directive(&recipient.name, recipient.token, &directive);
        let timeout = timeout(&directive);
        let begun = Instant::now();
        let answer = match self.client.call(recipient.address, request, timeout).await {
            Ok((status, body)) => Some(self.adapter.answer(&directive, status, &body)),
            Err(error) => {
                log::debug!("decision=order worker={} outcome={error:?}", recipient.name);
                (error == client::Error::NotSent).then_some(directive::Answer::NotSent)
            }
        };
        metric::directive(&directive, answer.as_ref(), begun.elapsed());
        self.report(Message::DirectiveAnswered {
            origin,
            directive,
            answer,
        });
    }

    /// Queries the eligibility service on behalf of a daemon.
    pub fn send_query(&self, requester: wire::Endpoint, number: u64, query: eligibility::Query) {
        let sender = self.clone();
        self.runtime
            .spawn(async move { sender.call_eligibility(requester, number, query).await });
    }

    async fn call_eligibility(self, requester: wire::Endpoint, number: u64, query: eligibility::Query) {
        let answer = match self.eligibility {
            None => eligibility::Answer::Failed,
            Some(address) => {
                let request = self.adapter.query(&query);
                match self.client.call(address, request, QUERY_TIMEOUT).await {
                    Ok((status, body)) => self.adapter.eligibility(status, &body),
                    Err(_error) => eligibility::Answer::Failed,
                }
            }
        };
        self.report(Message::QueryAnswered {
            requester,
            number,
            answer,
        });
    }

    fn report(&self, message: Message) {
        if self
            .control
            .send(inbox::Traffic::Message(Box::new(message)))
            .is_err()
        {
            log::debug!("decision=drop_answer reason=control_stopped");
        }
    }
}
