//! JSON-RPC server for operators.

mod connection;
mod listener;
pub mod places;

use std::{sync::Arc, time::Duration};

use bronzespoke_language::answer;
use bronzespoke_model::vm;
use bronzespoke_rpc::{OperatorServer, command, timeline as page};
use jsonrpsee::{
    core::{RpcResult, async_trait},
    server,
};
use tokio::sync::oneshot;

use crate::{
    control::{Inbox, Message},
    timeline,
};

/// Limits on connections. A client that executes statements one after another stays far below the time without one.
const LIMITS: places::Limits = places::Limits {
    connections: 64,
    idle: Duration::from_mins(1),
    request: Duration::from_secs(15),
    response: Duration::from_secs(10),
};
/// Maximum size of a request, in bytes.
const MAX_REQUEST_BYTES: u32 = 64 * 1024;
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: u32 = 10 << 20;
/// Size that is reserved for the response to a single call before it is executed, in bytes. All places together stay below
/// `RESPONSES_BYTES`.
const CALL_RESPONSE_BYTES: u32 = 256 << 10;
/// Maximum size of all responses that are being computed or read, in bytes. It holds two of the largest ones.
const RESPONSES_BYTES: u32 = 2 * MAX_RESPONSE_BYTES;

/// Returns the limits of the JSON-RPC library.
fn config() -> server::ServerConfig {
    server::ServerConfig::builder()
        .max_request_body_size(MAX_REQUEST_BYTES)
        .max_response_body_size(MAX_RESPONSE_BYTES)
        .http_only()
        .build()
}

/// Implementation of the operators' JSON-RPC methods.
#[derive(Debug)]
pub struct Operator {
    inbox: Inbox,
    ring: timeline::Ring,
    process: String,
}

impl Operator {
    /// Starts serving on a bound listener.
    pub fn start(
        listener: std::net::TcpListener,
        inbox: Inbox,
        ring: timeline::Ring,
        process: String,
    ) -> std::io::Result<server::ServerHandle> {
        let methods = Self { inbox, ring, process }.into_rpc();
        let (stopped, handle) = server::stop_channel();
        let places = places::Places::new(LIMITS);
        let shared = listener::Listener::new(methods.into(), stopped, places, RESPONSES_BYTES);
        let listener = tokio::net::TcpListener::from_std(listener)?;
        tokio::spawn(Arc::clone(&shared).sweep());
        tokio::spawn(shared.run(listener));
        Ok(handle)
    }
}

#[async_trait]
impl OperatorServer for Operator {
    async fn execute(&self, line: String, command_id: Option<command::Id>) -> RpcResult<answer::Answer> {
        let (sender, receiver) = oneshot::channel();
        self.inbox
            .send(Message::Operator(line, command_id.map(|id| id.0), sender));
        let stopped = || answer::Answer::error(answer::Code::Unavailable, "the daemon is stopping");
        Ok(receiver.await.unwrap_or_else(|_closed| stopped()))
    }

    async fn timeline(&self, after: u64, limit: u32) -> RpcResult<page::Page> {
        let limit = limit.min(page::MAX_EVENTS) as usize;
        let read = self.ring.read(after, limit);
        Ok(page::Page {
            process: self.process.clone(),
            first_sequence_kept: read.first,
            next: read.next,
            events: read.events,
        })
    }

    async fn directory(&self) -> RpcResult<Vec<vm::Vm>> {
        let (sender, receiver) = oneshot::channel();
        self.inbox.send(Message::Directory(sender));
        Ok(receiver.await.unwrap_or_default())
    }
}
