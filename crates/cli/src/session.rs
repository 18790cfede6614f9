//! A session with the daemons of a cell.
//!
//! Every daemon accepts every statement. If one does not answer, the session retries the statement at the next address.
//! A command keeps its id in all attempts, so that it is executed only once even if the first answer was lost.

use std::{net::SocketAddr, time::Duration};

use bronzespoke_language::answer;
use bronzespoke_model::vm;
use bronzespoke_rpc::{OperatorClient, command, timeline};
use jsonrpsee::{core::client, http_client};

use crate::failure;

/// Maximum number of passes over the addresses; a leader election can take several seconds.
const MAX_ROUNDS: usize = 3;
/// Pause between two passes over the addresses.
const ROUND_PAUSE: Duration = Duration::from_millis(500);
/// Maximum size of an answer, in bytes; 20,000 rows fit.
const MAX_ANSWER_BYTES: u32 = 32 << 20;

/// Client of the daemons of one cell.
#[derive(Debug)]
pub struct Session {
    addresses: Vec<SocketAddr>,
    timeout: Duration,
    current: usize,
}

/// Reason why an attempt at one address ended without an answer.
enum Error {
    /// No connection was established, so the daemon did not receive the statement.
    NotSent(String),
    /// The daemon may have received the statement.
    MaybeSent(String),
}

impl Session {
    /// Returns a session that tries the first address first. `timeout` limits each attempt.
    pub fn new(addresses: Vec<SocketAddr>, timeout: Duration) -> Self {
        Self {
            addresses,
            timeout,
            current: 0,
        }
    }

    /// Executes one statement, with the same `command_id` in every attempt.
    ///
    /// If no daemon gives a final answer, returns an error with [`answer::Code::Unavailable`], or with
    /// [`answer::Code::Unconfirmed`] if a daemon may have executed the command.
    pub async fn execute(&mut self, line: &str, command_id: Option<command::Id>) -> answer::Answer {
        let mut reason = String::from("no address is known");
        let mut maybe_executed = false;
        for attempt in 0..MAX_ROUNDS * self.addresses.len() {
            if attempt > 0 && attempt % self.addresses.len() == 0 {
                tokio::time::sleep(ROUND_PAUSE).await;
            }
            let address = self.addresses[self.current];
            let cause = match self.attempt(address, line, command_id).await {
                Ok(answer::Answer::Error(error)) if error.code.is_retryable() => {
                    maybe_executed |= error.code == answer::Code::Unconfirmed;
                    error.message
                }
                Ok(answer) => return answer,
                Err(Error::NotSent(cause)) => cause,
                Err(Error::MaybeSent(cause)) => {
                    maybe_executed = true;
                    cause
                }
            };
            log::info!("{address}: no final answer: {cause}");
            reason = format!("{address}: {cause}");
            self.current = (self.current + 1) % self.addresses.len();
        }
        match command_id {
            Some(id) if maybe_executed => answer::Answer::error(
                answer::Code::Unconfirmed,
                format!("the command may have been done ({reason}); resend it with --command-id {id}"),
            ),
            Some(_) => answer::Answer::error(
                answer::Code::Unavailable,
                format!("the command was not done, because no daemon can do it ({reason})"),
            ),
            None => {
                let message = format!("no daemon can answer ({reason})");
                answer::Answer::error(answer::Code::Unavailable, message)
            }
        }
    }

    /// Returns the directory from the first daemon that answers.
    pub async fn directory(&self) -> Result<Vec<vm::Vm>, failure::Failure> {
        let mut reason = String::from("no address is known");
        for address in &self.addresses {
            match self
                .client(*address)
                .map_err(failure::Failure::Refused)?
                .directory()
                .await
            {
                Ok(directory) => return Ok(directory),
                Err(error) => reason = format!("{address}: {}", describe(&error)),
            }
        }
        Err(failure::Failure::refused(format!("no daemon answers ({reason})")))
    }

    /// Reads one page of a daemon's timeline: the events with sequence numbers above `after`.
    pub async fn timeline(&self, address: SocketAddr, after: u64) -> Result<timeline::Page, String> {
        let client = self.client(address)?;
        let page = client.timeline(after, timeline::MAX_EVENTS).await;
        page.map_err(|error| describe(&error))
    }

    /// Returns the configured addresses.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    async fn attempt(
        &self,
        address: SocketAddr,
        line: &str,
        command_id: Option<command::Id>,
    ) -> Result<answer::Answer, Error> {
        self.connect(address).await.map_err(Error::NotSent)?;
        let client = self.client(address).map_err(Error::NotSent)?;
        let answer = client.execute(String::from(line), command_id).await;
        answer.map_err(|error| Error::MaybeSent(describe(&error)))
    }

    /// Opens and closes a connection: only a failed connection attempt proves that a command was not sent.
    async fn connect(&self, address: SocketAddr) -> Result<(), String> {
        let connecting = tokio::net::TcpStream::connect(address);
        match tokio::time::timeout(self.timeout, connecting).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err(String::from("no connection in time")),
        }
    }

    fn client(&self, address: SocketAddr) -> Result<http_client::HttpClient, String> {
        http_client::HttpClientBuilder::default()
            .request_timeout(self.timeout)
            .max_response_size(MAX_ANSWER_BYTES)
            .build(format!("http://{address}"))
            .map_err(|error| describe(&error))
    }
}

fn describe(error: &client::Error) -> String {
    match error {
        client::Error::RequestTimeout => String::from("no answer in time"),
        other => bronzespoke_language::render::printable(&other.to_string()),
    }
}
