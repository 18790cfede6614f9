//! Stand-in daemon that answers every statement in the same way.

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

/// Stand-in daemon with fixed answers.
#[derive(Debug, Clone)]
pub struct Daemon {
    /// Process name that its timeline reports.
    pub name: String,
    /// Answer to every statement.
    pub answer: answer::Answer,
    /// Events of its timeline.
    pub events: Vec<event::Event>,
    /// VMs that its directory lists.
    pub directory: Vec<vm::Vm>,
    /// Statements that it has received.
    pub received: Received,
}

impl Daemon {
    /// Returns a daemon that gives `answer` to every statement, with an empty timeline and directory.
    pub fn new(name: &str, answer: answer::Answer) -> Self {
        Self {
            name: String::from(name),
            answer,
            events: Vec::new(),
            directory: Vec::new(),
            received: Received::default(),
        }
    }

    /// Starts serving. The daemon stops when the returned handle is dropped.
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

/// Locks a value that a stand-in shares with its test.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no test panics while it holds the lock")
}
