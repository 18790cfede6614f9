//! A stand-in daemon.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use bronzespoke_language::answer;
use bronzespoke_model::{event, vm};
use bronzespoke_rpc::{OperatorServer, command, timeline};
use jsonrpsee::{
    core::{RpcResult, async_trait},
    server,
};

/// Statements that the stand-in received, with their command ids.
pub type Received = Arc<Mutex<Vec<(String, Option<command::Id>)>>>;

/// A stand-in daemon.
#[derive(Debug, Clone)]
pub struct Daemon {
    /// Name of the process.
    pub name: String,
    /// Answer to every statement.
    pub answer: answer::Answer,
    /// Its timeline.
    pub events: Vec<event::Event>,
    /// Its directory.
    pub directory: Vec<vm::Vm>,
    /// What it received.
    pub received: Received,
}

impl Daemon {
    /// Returns a daemon that gives one answer.
    pub fn new(name: &str, answer: answer::Answer) -> Self {
        Self {
            name: String::from(name),
            answer,
            events: Vec::new(),
            directory: Vec::new(),
            received: Received::default(),
        }
    }

    /// Starts serving; the daemon ends with the returned handle.
    pub async fn start(self) -> (SocketAddr, server::ServerHandle) {
        let server = server::Server::builder()
            .build("127.0.0.1:0")
            .await
            .expect("a free port");
        let address = server.local_addr().expect("a bound socket");
        (address, server.start(self.into_rpc()))
    }
}

#[async_trait]
impl OperatorServer for Daemon {
    async fn execute(&self, line: String, command_id: Option<command::Id>) -> RpcResult<answer::Answer> {
        lock(&self.received).push((line, command_id));
        Ok(self.answer.clone())
    }

    async fn timeline(&self, after: u64, limit: u32) -> RpcResult<timeline::Page> {
        let newer = self.events.iter().filter(|event| event.sequence > after);
        let events = newer.take(limit as usize).cloned().collect::<Vec<_>>();
        Ok(timeline::Page {
            process: self.name.clone(),
            first_sequence_kept: events.first().map_or(after + 1, |event| event.sequence),
            next: events.last().map_or(after, |event| event.sequence),
            events,
        })
    }

    async fn directory(&self) -> RpcResult<Vec<vm::Vm>> {
        Ok(self.directory.clone())
    }
}

/// Locks what a stand-in shares with its test.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no test panics while it holds the lock")
}
