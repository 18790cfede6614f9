//! Life cycle of a daemon: binds its addresses, starts the control thread and the traffic runtime, and stops them in
//! order.

use std::{io, net::TcpListener, sync::Arc, thread, time::Duration};

use bronzespoke_clock as clock;
use bronzespoke_gateway::{self as gateway, control as edge, server};
use bronzespoke_model::{event, vm};
use ractor::Actor;
use tokio::{
    runtime,
    sync::{mpsc, oneshot, watch},
    time,
};
use tokio_util::sync::CancellationToken;

use crate::{
    control::{self, Inbox, Message, Published, context},
    identity, metric, peer, rpc, settings, timeline,
};

/// Interval at which the queue of calls is checked during shutdown.
const CALL_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of checks of the queue of calls during shutdown; the control thread drains a full queue in far less
/// than a second.
const MAX_CALL_POLLS: usize = 100;

/// Reason why a daemon did not start.
#[derive(Debug)]
pub enum Error {
    /// An address cannot be used.
    Address(&'static str, std::net::SocketAddr, io::Error),
    /// The data folder cannot be used; the message names the file.
    Data(String),
    /// A runtime or thread cannot be started.
    Runtime(io::Error),
    /// The control thread ended before it was ready.
    Control,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Address(flag, address, error) => {
                write!(f, "{flag}: {address} cannot be used: {error}")
            }
            Self::Data(error) => write!(f, "--data: {error}"),
            Self::Runtime(error) => write!(f, "threads cannot be started: {error}"),
            Self::Control => f.write_str("the control thread ended during startup"),
        }
    }
}

/// Listeners of a daemon. They are bound before the start, so that a test can let the system choose the ports.
#[derive(Debug)]
pub struct Listeners {
    peer: TcpListener,
    http: TcpListener,
    rpc: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings and stores the ports that the system chose in them.
    pub fn bind(settings: &mut settings::Settings) -> Result<Self, Error> {
        let peer = bind("--peer", &mut settings.peer)?;
        let http = bind("--http", &mut settings.http)?;
        let rpc = bind("--rpc", &mut settings.rpc)?;
        Ok(Self { peer, http, rpc })
    }
}

fn bind(flag: &'static str, address: &mut std::net::SocketAddr) -> Result<TcpListener, Error> {
    let failed = |error| Error::Address(flag, *address, error);
    let kind = socket2::Domain::for_address(*address);
    let socket = socket2::Socket::new(kind, socket2::Type::STREAM, None).map_err(failed)?;
    // Allows a restarted daemon to bind its address while old connections are still closing.
    socket.set_reuse_address(true).map_err(failed)?;
    socket.bind(&(*address).into()).map_err(failed)?;
    socket.listen(1024).map_err(failed)?;
    socket.set_nonblocking(true).map_err(failed)?;
    let listener = TcpListener::from(socket);
    let bound = listener.local_addr().map_err(failed)?;
    *address = bound;
    Ok(listener)
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    vm: vm::Vm,
    inbox: Inbox,
    ring: timeline::Ring,
    network: peer::Network,
    fault: peer::fault::Switch,
    server: server::Server,
    calls: mpsc::Sender<edge::Call>,
    ready: watch::Receiver<bool>,
    rpc: jsonrpsee::server::ServerHandle,
    cancel: CancellationToken,
    traffic: Option<runtime::Runtime>,
    control: Option<thread::JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon on bound listeners.
    pub fn start(settings: settings::Settings, listeners: Listeners) -> Result<Self, Error> {
        let id = identity::load(settings.data.as_deref()).map_err(|error| {
            let folder = settings.data.clone().unwrap_or_default();
            Error::Data(format!("{} cannot be used: {error}", folder.display()))
        })?;
        let vm = vm::Vm {
            id,
            name: settings.name.clone(),
            place: settings.place,
            peer: settings.peer,
            http: settings.http,
            rpc: settings.rpc,
            durable: settings.data.is_some(),
        };
        let traffic = runtime::Builder::new_multi_thread()
            .worker_threads(settings.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()
            .map_err(Error::Runtime)?;
        let started = Self::assemble(settings, listeners, vm, &traffic);
        started.map(|mut daemon| {
            daemon.traffic = Some(traffic);
            daemon
        })
    }

    fn assemble(
        settings: settings::Settings,
        listeners: Listeners,
        vm: vm::Vm,
        traffic: &runtime::Runtime,
    ) -> Result<Self, Error> {
        let _entered = traffic.enter();
        let origin = clock::Origin::now();
        let cancel = CancellationToken::new();
        let ring = timeline::Ring::new(&settings.name);
        let fault = peer::fault::Switch::default();
        let peers = tokio::net::TcpListener::from_std(listeners.peer).map_err(Error::Runtime)?;
        let (network, frames) =
            peer::Network::start(traffic.handle().clone(), peers, fault.clone(), cancel.clone());

        let (view, view_receiver) = watch::channel(Arc::new(edge::View::default()));
        let (targets, targets_receiver) = watch::channel(Arc::new(edge::Targets::default()));
        let (ready, ready_receiver) = watch::channel(false);
        let freshness = edge::Freshness::new(origin);
        let published = Published {
            view,
            ready,
            freshness: freshness.clone(),
        };
        let context = context::Context {
            origin,
            me: vm.clone(),
            incarnation: context::Context::wall_ms(),
            ring: ring.clone(),
            network: network.clone(),
            peers: std::collections::HashMap::new(),
        };
        let gateway_settings = gateway::settings::Settings {
            vm: vm.id,
            seed: settings.random_seed,
            drain_notice: settings.drain_notice,
            ..gateway::settings::Settings::default()
        };
        let name = settings.name.clone();
        let start = control::Start {
            settings,
            context,
            published,
            targets,
        };
        let (inbox, control) = spawn_control(start)?;
        let (calls, call_receiver) = mpsc::channel(edge::CALL_QUEUE_CAPACITY);
        let handle = edge::Handle {
            calls: calls.clone(),
            view: view_receiver,
            targets: targets_receiver,
            freshness,
            place: vm.place,
        };
        let http = tokio::net::TcpListener::from_std(listeners.http).map_err(Error::Runtime)?;
        let render = metric::render(network.clone());
        // The server cancels its token at the end of a drain; links and control have to outlive it to transfer
        // leadership.
        let server = server::Server::start(http, gateway_settings, handle, render, cancel.child_token())
            .map_err(Error::Runtime)?;
        let rpc =
            rpc::Operator::start(listeners.rpc, inbox.clone(), ring.clone(), name).map_err(Error::Runtime)?;
        traffic.spawn(forward_frames(frames, inbox.clone(), cancel.clone()));
        traffic.spawn(forward_calls(call_receiver, inbox.clone(), cancel.clone()));
        traffic.spawn(forward_ready(server.clone(), ready_receiver.clone()));
        ring.record(event::Kind::Started);
        log::info!("daemon: VM {} is listening for callers at {}.", vm.id, vm.http);
        Ok(Self {
            vm,
            inbox,
            ring,
            network,
            fault,
            server,
            calls,
            ready: ready_receiver,
            rpc,
            cancel,
            traffic: None,
            control: Some(control),
        })
    }

    /// Returns the VM as the directory lists it.
    pub const fn vm(&self) -> &vm::Vm {
        &self.vm
    }

    /// Returns the timeline of this process.
    pub const fn ring(&self) -> &timeline::Ring {
        &self.ring
    }

    /// Returns the traffic counters of the links to other daemons.
    pub fn traffic(&self) -> &peer::Traffic {
        self.network.traffic()
    }

    /// Returns the switch that cuts links, for the demo and for tests.
    pub const fn fault(&self) -> &peer::fault::Switch {
        &self.fault
    }

    /// Returns whether the VM accepts requests.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Stops gracefully: drains callers, transfers leadership of the groups that the VM leads, then ends.
    pub fn shut_down(mut self) {
        self.ring.record(event::Kind::Stopping);
        log::info!("daemon: Shutting down.");
        let Some(traffic) = self.traffic.take() else {
            return;
        };
        traffic.block_on(self.server.drain());
        traffic.block_on(self.flush_calls());
        let (sender, receiver) = oneshot::channel();
        self.inbox.send(Message::TransferLeadership(sender));
        // The control thread replies within its own time limit.
        drop(traffic.block_on(receiver));
        self.end(traffic);
    }

    /// Waits until the control thread has received the last calls of the gateway, such as the ends of claims.
    async fn flush_calls(&self) {
        for _ in 0..MAX_CALL_POLLS {
            time::sleep(CALL_POLL_INTERVAL).await;
            if self.calls.capacity() == self.calls.max_capacity() {
                return;
            }
        }
        log::warn!("daemon: The control thread did not receive the last calls in time.");
    }

    /// Stops immediately, as a VM that fails; requests in flight are cut.
    pub fn kill(mut self) {
        if let Some(traffic) = self.traffic.take() {
            self.end(traffic);
        }
    }

    fn end(&mut self, traffic: runtime::Runtime) {
        self.cancel.cancel();
        if self.rpc.stop().is_err() {
            log::debug!("daemon: The JSON-RPC server had already stopped.");
        }
        self.inbox.send(Message::Stop);
        if let Some(control) = self.control.take()
            && control.join().is_err()
        {
            log::error!("daemon: The control thread panicked.");
        }
        traffic.shutdown_timeout(Duration::from_secs(1));
    }
}

/// Starts the control thread and waits for its inbox.
fn spawn_control(start: control::Start) -> Result<(Inbox, thread::JoinHandle<()>), Error> {
    let (sender, receiver) = std::sync::mpsc::channel();
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    let thread = thread::Builder::new()
        .name(String::from("control"))
        .spawn(move || {
            runtime.block_on(async move {
                let spawned = control::Control::spawn(None, control::Control, start).await;
                let (actor, task) = match spawned {
                    Ok(spawned) => spawned,
                    Err(ractor::SpawnErr::StartupFailed(error)) => {
                        // `spawn_control` is waiting for the result, so the channel is open.
                        drop(sender.send(Err(Error::Data(error.to_string()))));
                        return;
                    }
                    Err(_) => return,
                };
                if sender.send(Ok(Inbox::new(actor))).is_ok() && task.await.is_err() {
                    log::error!("control: The actor panicked.");
                }
            });
        })
        .map_err(Error::Runtime)?;
    let inbox = receiver.recv().map_err(|_closed| Error::Control)??;
    Ok((inbox, thread))
}

async fn forward_frames(mut frames: mpsc::Receiver<peer::Received>, inbox: Inbox, cancel: CancellationToken) {
    loop {
        let received = tokio::select! {
            () = cancel.cancelled() => return,
            received = frames.recv() => received,
        };
        let (Some(received), Some(permit)) = (received, inbox.reserve().await) else {
            return;
        };
        inbox.send(Message::Frame(Box::new(received.frame), permit));
    }
}

async fn forward_calls(mut calls: mpsc::Receiver<edge::Call>, inbox: Inbox, cancel: CancellationToken) {
    loop {
        let call = tokio::select! {
            () = cancel.cancelled() => return,
            call = calls.recv() => call,
        };
        let (Some(call), Some(permit)) = (call, inbox.reserve().await) else {
            return;
        };
        inbox.send(Message::Call(call, permit));
    }
}

async fn forward_ready(server: server::Server, mut ready: watch::Receiver<bool>) {
    loop {
        server.set_ready(*ready.borrow_and_update());
        if ready.changed().await.is_err() {
            return;
        }
    }
}
