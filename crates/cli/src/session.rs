//! A session with the daemons of a cell.
//!
//! Any daemon takes any statement. When one does not answer, the session sends the statement to the next address. A
//! command keeps its id in every attempt, so that it is done once even when the first answer was lost.

use std::{net::SocketAddr, time::Duration};

use bronzespoke_language::answer;
use bronzespoke_model::vm;
use bronzespoke_rpc::{OperatorClient, command, timeline};
use jsonrpsee::{core::client, http_client};

use crate::failure;

/// Times that the list of addresses is tried; a leader election may take several seconds.
const ROUNDS: usize = 3;
/// Pause between two rounds.
const PAUSE: Duration = Duration::from_millis(500);
/// Largest answer, in bytes; an answer of 20,000 rows fits.
const MAX_ANSWER_BYTES: u32 = 32 << 20;

/// A session.
#[derive(Debug)]
pub struct Session {
    addresses: Vec<SocketAddr>,
    timeout: Duration,
    current: usize,
}

/// How an attempt at one address ended without an answer.
enum Lost {
    /// No connection, so the daemon did not see the statement.
    NotSent(String),
    /// The daemon may have seen the statement.
    MaybeSent(String),
}

impl Session {
    /// Returns a session that starts with the first address. `timeout` bounds each attempt.
    pub fn new(addresses: Vec<SocketAddr>, timeout: Duration) -> Self {
        Self {
            addresses,
            timeout,
            current: 0,
        }
    }

    /// Executes one statement. `command_id` is the same in every attempt.
    ///
    /// When no daemon gives a final answer, the answer is an error with [`answer::Code::Unavailable`], or with
    /// [`answer::Code::Unconfirmed`] when a daemon may have done the command.
    pub async fn execute(&mut self, line: &str, command_id: Option<command::Id>) -> answer::Answer {
        let mut reason = String::from("no address is known");
        let mut maybe_done = false;
        for attempt in 0..ROUNDS * self.addresses.len() {
            if attempt > 0 && attempt % self.addresses.len() == 0 {
                tokio::time::sleep(PAUSE).await;
            }
            let address = self.addresses[self.current];
            let cause = match self.attempt(address, line, command_id).await {
                Ok(answer::Answer::Error(error)) if error.code.is_retryable() => {
                    maybe_done |= error.code == answer::Code::Unconfirmed;
                    error.message
                }
                Ok(answer) => return answer,
                Err(Lost::NotSent(cause)) => cause,
                Err(Lost::MaybeSent(cause)) => {
                    maybe_done = true;
                    cause
                }
            };
            log::info!("{address}: no final answer: {cause}");
            reason = format!("{address}: {cause}");
            self.current = (self.current + 1) % self.addresses.len();
        }
        match command_id {
            Some(id) if maybe_done => answer::Answer::error(
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
                Err(error) => reason = format!("{address}: {}", sentence(&error)),
            }
        }
        Err(failure::Failure::refused(format!("no daemon answers ({reason})")))
    }

    /// Reads one page of the timeline of the daemon at an address.
    pub async fn timeline(&self, address: SocketAddr, after: u64) -> Result<timeline::Page, String> {
        let client = self.client(address)?;
        let page = client.timeline(after, timeline::MAX_EVENTS).await;
        page.map_err(|error| sentence(&error))
    }

    /// Returns the addresses that were given.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    async fn attempt(
        &self,
        address: SocketAddr,
        line: &str,
        command_id: Option<command::Id>,
    ) -> Result<answer::Answer, Lost> {
        self.connect(address).await.map_err(Lost::NotSent)?;
        let client = self.client(address).map_err(Lost::NotSent)?;
        let answer = client.execute(String::from(line), command_id).await;
        answer.map_err(|error| Lost::MaybeSent(sentence(&error)))
    }

    /// Opens and closes a connection, because only a failure to connect proves that a command was not sent.
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
            .map_err(|error| sentence(&error))
    }
}

fn sentence(error: &client::Error) -> String {
    match error {
        client::Error::RequestTimeout => String::from("no answer in time"),
        other => bronzespoke_language::render::printable(&other.to_string()),
    }
}
