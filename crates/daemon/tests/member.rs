//! A replica with its disk, where the test controls when completed writes are reported.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, mpsc},
    time::Duration,
};

use bronzespoke_consensus::{
    log, membership, message,
    replica::{Config, Input},
    snapshot,
};
use bronzespoke_control::{batch, root};
use bronzespoke_daemon::{
    control::{
        context::Context,
        member::{Batch, Event, Member},
        responder::Responder,
    },
    disk::Done,
    peer::{self, wire},
    timeline,
};
use bronzespoke_model::{id::GroupId, vm};
use tokio::{net::TcpListener, runtime};
use tokio_util::sync::CancellationToken;

const ME: u64 = 1;
const OTHER: u64 = 2;
const PLACE: vm::Place = vm::Place { region: 1, zone: 1 };

/// A member of the root group whose write results are delivered by the test.
struct Driven {
    context: Context,
    member: Member,
    done: mpsc::Receiver<Done>,
    events: Vec<Event>,
}

impl Driven {
    async fn open(folder: &std::path::Path) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let handle = runtime::Handle::current();
        let fault = peer::fault::Switch::default();
        let (network, _) = peer::Network::start(handle, listener, fault, CancellationToken::new());
        let me = vm::Vm {
            id: ME,
            name: String::from("a-1"),
            place: PLACE,
            peer: address,
            http: address,
            rpc: address,
            durable: true,
        };
        let context = Context {
            origin: bronzespoke_clock::Origin::now(),
            me,
            incarnation: 1,
            ring: timeline::Ring::new("a-1"),
            network,
            peers: HashMap::new(),
        };
        let (sender, done) = mpsc::channel();
        let found = membership::Membership::from_voters([ME]);
        let config = Config::new(ME, GroupId::Root, 1);
        let notify = Box::new(move |done| sender.send(done).expect("the test waits"));
        let member = Member::open(1, config, Some(folder), Some(found), notify, context.now());
        Self {
            context,
            member: member.expect("an empty folder"),
            done,
            events: Vec::new(),
        }
    }

    fn step(&mut self, input: Input) {
        self.member.step(&self.context, input, &mut self.events);
    }

    /// Reports the next completed write.
    fn report(&mut self) {
        let done = self.done.recv().expect("a write is under way");
        self.member.persisted(&self.context, &done, &mut self.events);
    }
}

/// Guards against a caller that waits forever because a snapshot of the next leader skipped its committed command.
#[tokio::test]
async fn a_command_that_a_snapshot_skips_is_answered() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut driven = Driven::open(folder.path()).await;
    while !driven.member.leads(driven.context.now()) {
        driven.step(Input::Tick);
        while let Ok(done) = driven.done.recv_timeout(Duration::from_millis(20)) {
            driven
                .member
                .persisted(&driven.context, &done, &mut driven.events);
        }
    }
    let answer = Arc::new(Mutex::new(None));
    let answered = Arc::clone(&answer);
    let responder = Responder::Local(Box::new(move |reply| {
        *answered.lock().expect("no holder panics") = Some(reply);
    }));
    let envelope = root::Envelope::new(0, root::Command::AddZone { place: PLACE });
    let mut batch = Batch::default();
    batch.push(driven.context.now(), envelope, responder, batch::Urgency::Prompt);
    driven
        .member
        .propose_batch(&driven.context, &mut batch, &mut driven.events);
    // The proposal is delayed so that others can share its message.
    tokio::time::sleep(Duration::from_millis(50)).await;
    driven.step(Input::Tick);
    // The entry is stored and thereby committed; the write of the commit itself is not reported yet.
    driven.report();

    let status = driven.member.replica().status();
    let position = log::Position {
        term: status.term + 1,
        index: status.last.index + 10,
    };
    let snapshot = snapshot::Snapshot {
        position,
        membership: membership::Membership::from_voters([ME, OTHER]),
        data: root::State::new().encode(),
    };
    let chunk = snapshot::Chunk {
        label: snapshot.label(),
        membership: snapshot.membership.clone(),
        offset: 0,
        data: snapshot.data.clone(),
    };
    let message = message::Message {
        term: position.term,
        body: message::Body::Snapshot { chunk, sent: 0 },
    };
    driven.step(Input::Receive { from: OTHER, message });
    let installed = |event: &Event| matches!(event, Event::Install(_));
    while !driven.events.iter().any(installed) {
        driven.report();
    }
    let reply = answer.lock().expect("no holder panics").take();
    assert!(matches!(reply, Some(wire::Reply::Unknown)), "{reply:?}");
}
