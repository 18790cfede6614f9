//! Control thread of one VM under test, without a gateway. Other VMs are simulated by frames that the test sends.
#![allow(dead_code, reason = "each test program uses a part of this module")]

use std::{
    collections::HashMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use bronzespoke_consensus::{log, message};
use bronzespoke_control::{request_id, root, zone};
use bronzespoke_daemon::{
    control::{self, Inbox, Message, Published, context},
    disk, identity,
    peer::{self, wire},
    settings::Settings,
    timeline,
};
use bronzespoke_gateway::control::{Call, Freshness, Refusal, Reply, Targets, View};
use bronzespoke_language::answer::Answer;
use bronzespoke_model::{event, id, job, resource, task, vm, worker};
use bronzespoke_storage::Store;
use ractor::Actor;
use tokio::{
    net::TcpListener,
    runtime,
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;

/// Zone of the VM.
pub const ZONE: id::AvailabilityZoneId = 1;
/// Number of attempts for calls that need an elected leader; each one waits for up to 3 s.
const TRIES: u32 = 40;
/// Pause between two attempts.
pub const PAUSE: Duration = Duration::from_millis(50);

/// A VM of a cell, with its data folder.
pub struct Vm {
    /// VM as the directory lists it.
    pub me: vm::Vm,
    /// Timeline of the process.
    pub ring: timeline::Ring,
    inbox: Inbox,
    folder: PathBuf,
    task: JoinHandle<()>,
    cancel: CancellationToken,
    view: watch::Receiver<Arc<View>>,
}

/// Binds a free port of the loopback interface.
pub async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    (listener, address)
}

/// Returns a VM as the directory lists it.
pub fn listed(id: id::VmId, name: &str, place: vm::Place, peer: SocketAddr) -> vm::Vm {
    vm::Vm {
        id,
        name: String::from(name),
        place,
        peer,
        http: peer,
        rpc: peer,
        durable: true,
    }
}

impl Vm {
    /// Starts the process on a data folder; it bootstraps the cell when the folder is empty.
    pub async fn start(folder: &Path) -> Self {
        let (listener, address) = listen().await;
        let id = identity::load(Some(folder)).expect("a folder for the id");
        let place = vm::Place {
            region: 1,
            zone: ZONE,
        };
        let me = listed(id, "a-1", place, address);
        let cancel = CancellationToken::new();
        let (network, mut frames) = peer::Network::start(
            runtime::Handle::current(),
            listener,
            peer::fault::Switch::default(),
            cancel.clone(),
        );
        let ring = timeline::Ring::new(&me.name);
        let origin = bronzespoke_clock::Origin::now();
        let (view, view_receiver) = watch::channel(Arc::new(View::default()));
        let start = control::Start {
            settings: settings(&me, folder),
            context: context::Context {
                origin,
                me: me.clone(),
                incarnation: context::Context::wall_ms(),
                ring: ring.clone(),
                network,
                peers: HashMap::new(),
            },
            published: Published {
                view,
                ready: watch::channel(false).0,
                freshness: Freshness::new(origin),
            },
            targets: watch::channel(Arc::new(Targets::default())).0,
        };
        let (actor, task) = control::Control::spawn(None, control::Control, start)
            .await
            .expect("the data folder is sound");
        let inbox = Inbox::new(actor);
        let pump = inbox.clone();
        tokio::spawn(async move {
            while let (Some(received), Some(permit)) = (frames.recv().await, pump.reserve().await) {
                pump.send(Message::Frame(Box::new(received.frame), permit));
            }
        });
        Self {
            me,
            ring,
            inbox,
            folder: folder.to_path_buf(),
            task,
            cancel,
            view: view_receiver,
        }
    }

    /// Stops immediately, without a transfer of leadership.
    pub async fn stop(self) {
        self.cancel.cancel();
        self.inbox.send(Message::Stop);
        self.task.await.expect("the control thread does not panic");
        for group in disk::groups(&self.folder) {
            wait_for_release(&self.folder, group).await;
        }
    }

    /// Makes a call of the gateway.
    pub async fn call(&self, call: Call) {
        let permit = self.inbox.reserve().await.expect("control runs");
        self.inbox.send(Message::Call(call, permit));
    }

    /// Makes a call and waits for its reply.
    pub async fn ask<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> Call) -> T {
        let (sender, receiver) = oneshot::channel();
        self.call(call(sender)).await;
        receiver.await.expect("every call is answered")
    }

    /// Repeats a call until it is accepted, because a leader has to be elected first.
    pub async fn eventually<T>(&self, call: impl Fn(Reply<T>) -> Call) -> T {
        let mut last = None;
        for _ in 0..TRIES {
            match self.ask(&call).await {
                Ok(value) => return value,
                Err(refusal) => last = Some(refusal),
            }
            tokio::time::sleep(PAUSE).await;
        }
        panic!("the call was refused: {last:?}");
    }

    /// Repeats an operator's command until it succeeds.
    pub async fn operate(&self, line: &str) {
        let mut last = None;
        for _ in 0..TRIES {
            let (sender, receiver) = oneshot::channel();
            self.inbox
                .send(Message::Operator(String::from(line), None, sender));
            match receiver.await.expect("every command is answered") {
                Answer::Error(error) => last = Some(error),
                _ => return,
            }
            tokio::time::sleep(PAUSE).await;
        }
        panic!("{line}: {last:?}");
    }

    /// Delivers a frame from another VM.
    pub async fn receive(&self, from: &vm::Vm, body: wire::Body) {
        let permit = self.inbox.reserve().await.expect("control runs");
        let frame = wire::Frame {
            from: from.id,
            to: Some(self.me.id),
            from_peer: from.peer,
            stamp: self.ring.send_stamp(),
            body,
        };
        self.inbox.send(Message::Frame(Box::new(frame), permit));
    }

    /// Creates the team `kodokan`, and waits until its limit is divided into allotments.
    pub async fn create_team(&self) -> id::TeamId {
        self.operate("create team kodokan weight=1 cpu=64 memory=64GiB accelerators=0 requests=200")
            .await;
        for _ in 0..TRIES {
            let team = self.view.borrow().teams.keys().next().copied();
            if let Some(team) = team {
                return team;
            }
            tokio::time::sleep(PAUSE).await;
        }
        panic!("the team is not known");
    }

    /// Registers a worker of 8 processors.
    pub async fn register(&self, worker: id::WorkerId) {
        let registration = worker::Registration {
            worker,
            incarnation: 1,
            rack: 1,
            capacity: resource::Capacity {
                amount: resource::Amount::new(8000, 8192, 0),
                accelerator: 0,
            },
        };
        self.eventually(|reply| Call::Register(registration, reply)).await;
    }

    /// Sends the report of a worker, and waits for the reply.
    pub async fn report(
        &self,
        worker: id::WorkerId,
        sequence: u64,
        work: Work,
    ) -> Result<worker::Reply, Refusal> {
        let report = worker::Report {
            base: None,
            worker,
            incarnation: 1,
            sequence,
            running: work.running,
            ended: work.ended,
        };
        self.ask(|reply| Call::Report(report, reply)).await
    }

    /// Waits until everything sent before has been handled.
    pub async fn wait_until_handled(&self) {
        let (sender, receiver) = oneshot::channel();
        self.inbox.send(Message::Directory(sender));
        receiver.await.expect("control runs");
    }

    /// Returns the events of the timeline, in order.
    pub fn events(&self) -> Vec<event::Kind> {
        let page = self.ring.read(0, timeline::MAX_READ);
        page.events.into_iter().map(|event| event.kind).collect()
    }
}

/// Content of a worker's report.
#[derive(Default)]
pub struct Work {
    /// Tasks that run.
    pub running: Vec<worker::Running>,
    /// Tasks that ended.
    pub ended: Vec<worker::Ended>,
}

impl Work {
    /// Returns a report of one failed run.
    pub fn failed(task: task::Ref, token: id::Token) -> Self {
        let outcome = task::Outcome::Failed;
        Self {
            running: Vec::new(),
            ended: vec![worker::Ended { task, token, outcome }],
        }
    }
}

/// Returns a batch job whose tasks each fill a worker.
pub fn batch(tasks: u32) -> job::Spec {
    job::Spec {
        kind: job::Kind::Batch,
        priority: job::Priority::default(),
        tasks,
        size: resource::Amount::new(8000, 8192, 0),
        accelerator: 0,
        run_time: Duration::from_mins(1),
        checkpoint: false,
        command: String::from("true"),
    }
}

fn settings(me: &vm::Vm, folder: &Path) -> Settings {
    Settings {
        name: me.name.clone(),
        place: me.place,
        peer: me.peer,
        http: me.http,
        rpc: me.rpc,
        seeds: Vec::new(),
        data: Some(folder.to_path_buf()),
        found: true,
        random_seed: 1,
        traffic_threads: 1,
        drain_notice: Duration::ZERO,
        log_level: ::log::LevelFilter::Off,
    }
}

/// Another VM, simulated by the test, which leads the group of another zone.
pub struct Leader {
    /// VM as described by its announcements.
    pub me: vm::Vm,
    frames: mpsc::Receiver<peer::Received>,
    earlier_claims_ended: bool,
}

impl Leader {
    /// Zone whose group the VM leads.
    pub const ZONE: id::AvailabilityZoneId = 2;
    /// Timeout for the arrival of a frame; far longer than every resend interval.
    const FRAME_TIMEOUT: Duration = Duration::from_secs(10);

    /// Starts listening, and adds the zone to the cell of another VM.
    pub async fn start(of: &Vm) -> Self {
        let (listener, address) = listen().await;
        let place = vm::Place {
            region: 1,
            zone: Self::ZONE,
        };
        let me = listed(99, "b-1", place, address);
        let (_, frames) = peer::Network::start(
            runtime::Handle::current(),
            listener,
            peer::fault::Switch::default(),
            CancellationToken::new(),
        );
        let mut leader = Self {
            me,
            frames,
            earlier_claims_ended: false,
        };
        leader.announce(of).await;
        for number in 0..u64::from(TRIES) {
            let envelope = root::Envelope::new(0, root::Command::AddZone { place });
            let request = wire::Request::Root(envelope);
            of.receive(
                &leader.me,
                wire::Body::Request(number, id::GroupId::Root, request),
            )
            .await;
            if matches!(leader.reply().await, wire::Reply::Root(root::Outcome::Done, _)) {
                return leader;
            }
            tokio::time::sleep(PAUSE).await;
        }
        panic!("the zone was not added");
    }

    /// Sends an announcement; without one for 3 s the VM counts as unreachable.
    pub async fn announce(&self, to: &Vm) {
        let hello = wire::Hello {
            vm: self.me.clone(),
            incarnation: 1,
            leads: vec![(id::GroupId::Zone(Self::ZONE), 1)],
            replicas: Vec::new(),
            cell_known: true,
            applied: 0,
            known: Vec::new(),
        };
        to.receive(&self.me, wire::Body::Hello(hello)).await;
    }

    /// Sends a heartbeat of the zone's group.
    pub async fn heartbeat(&self, to: &Vm, term: u64) {
        let append = message::Append {
            previous: log::Position::default(),
            entries: Vec::new(),
            commit: 0,
            sent: 0,
            token: 0,
            age: None,
        };
        let body = message::Body::Append(append);
        let message = message::Message { term, body };
        let group = id::GroupId::Zone(Self::ZONE);
        to.receive(&self.me, wire::Body::Consensus(group, message)).await;
    }

    /// Waits until a heartbeat of a term is accepted, which the receiver does only when the term is stored.
    pub async fn accepted(&mut self, term: u64) {
        self.next(|body| is_acceptance(&body, term).then_some(())).await;
    }

    /// Returns whether a heartbeat of a term was accepted.
    pub fn has_accepted(&mut self, term: u64) -> bool {
        let received = std::iter::from_fn(|| self.frames.try_recv().ok());
        received
            .fuse()
            .any(|received| is_acceptance(&received.frame.body, term))
    }

    async fn reply(&mut self) -> wire::Reply {
        let pick = |body| match body {
            wire::Body::Reply(_, reply) => Some(reply),
            _ => None,
        };
        self.next(pick).await
    }

    /// Waits for the next command for the zone. The command that ends the claims of earlier incarnations is answered
    /// here, and has to come before every claim.
    pub async fn command(&mut self, of: &Vm) -> (u64, zone::Command) {
        let pick = |body| match body {
            wire::Body::Request(number, _, wire::Request::Zone(envelope)) => Some((number, envelope.command)),
            _ => None,
        };
        loop {
            let (number, command) = self.next(pick).await;
            match &command {
                zone::Command::HolderGone { holder, .. } if *holder == of.me.id => {
                    self.earlier_claims_ended = true;
                    self.done(of, number, zone::Outcome::Done).await;
                }
                zone::Command::Claim { .. } if !self.earlier_claims_ended => {
                    panic!("a claim arrived before the claims of earlier incarnations were ended");
                }
                _ => return (number, command),
            }
        }
    }

    /// Waits for the next frame that `pick` selects.
    async fn next<T>(&mut self, pick: impl Fn(wire::Body) -> Option<T>) -> T {
        let selected = async {
            loop {
                let received = self.frames.recv().await.expect("the listener runs");
                if let Some(found) = pick(received.frame.body) {
                    return found;
                }
            }
        };
        let found = tokio::time::timeout(Self::FRAME_TIMEOUT, selected).await;
        found.expect("the frame arrives")
    }

    /// Replies to a command.
    pub async fn send_reply(&self, to: &Vm, number: u64, reply: wire::Reply) {
        self.announce(to).await;
        to.receive(&self.me, wire::Body::Reply(number, reply)).await;
    }

    /// Replies to a command with its outcome.
    pub async fn done(&self, to: &Vm, number: u64, outcome: zone::Outcome) {
        self.send_reply(to, number, wire::Reply::Zone(outcome)).await;
    }
}

fn is_acceptance(body: &wire::Body, term: u64) -> bool {
    let wire::Body::Consensus(_, message) = body else {
        return false;
    };
    let accepted = matches!(
        message.body,
        message::Body::AppendReply(message::AppendReply {
            outcome: message::Outcome::Accepted { .. },
            ..
        })
    );
    accepted && message.term == term
}

/// Returns an id that, with the prefix, is owned by the simulated zone.
pub fn owned(team: id::TeamId, prefix: &str) -> String {
    let zones = [ZONE, Leader::ZONE].map(|zone| {
        let record = root::Zone {
            region: 1,
            added_ms: 0,
            founding: true,
            lost_ms: None,
        };
        (zone, record)
    });
    let zones = root::Zones::from(zones);
    let mut ids = (0..).map(|number: u32| number.to_string());
    let owner = |id: &String| {
        let key = request_id::Key::new(team, &format!("{prefix}{id}"));
        request_id::owners(key, &zones, 0).map(|owners| owners.first)
    };
    ids.find(|id| owner(id) == Some(Leader::ZONE))
        .expect("half of all ids")
}

/// Waits until the disk thread of a group has released its files.
async fn wait_for_release(folder: &Path, group: id::GroupId) {
    for _ in 0..TRIES {
        if !matches!(
            Store::open(folder, group),
            Err(bronzespoke_storage::Error::Locked { .. })
        ) {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("the files of {group:?} are still in use");
}
