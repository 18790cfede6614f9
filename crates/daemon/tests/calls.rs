//! Pending requests to the leaders of groups while leaders change.

use std::{collections::HashMap, sync::mpsc, time::Duration};

use bronzespoke_daemon::{
    control::{context, requests, search},
    peer::{Network, fault, wire},
    timeline,
};
use bronzespoke_model::{id, vm};
use tokio_util::sync::CancellationToken;

const ME: id::VmId = 1;
const OTHER: id::VmId = 2;
const GROUP: id::GroupId = id::GroupId::Zone(1);
/// Longer than the resend interval of a request, and shorter than its deadline.
const LATER: Duration = Duration::from_millis(400);

fn some_vm(id: id::VmId, peer: std::net::SocketAddr) -> vm::Vm {
    vm::Vm {
        id,
        name: format!("vm-{id}"),
        place: vm::Place { region: 1, zone: 1 },
        peer,
        http: peer,
        rpc: peer,
        durable: true,
    }
}

/// Returns a context without peers. Tests advance its clock by moving its origin.
fn context(runtime: &tokio::runtime::Runtime) -> context::Context {
    let _entered = runtime.enter();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    let address = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("a socket option");
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
    let cancel = CancellationToken::new();
    let (network, _frames) = Network::start(
        runtime.handle().clone(),
        listener,
        fault::Switch::default(),
        cancel,
    );
    context::Context {
        origin: bronzespoke_clock::Origin::now(),
        me: some_vm(ME, address),
        incarnation: 1,
        ring: timeline::Ring::new("vm-1"),
        network,
        peers: HashMap::new(),
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
}

fn advance(context: &mut context::Context, time: Duration) {
    let earlier = context.origin.checked_sub(time);
    context.origin = earlier.expect("the VM has run for that long");
}

/// Opens a request for a job to a leader that does not reply.
fn open(
    context: &context::Context,
    leader: Option<id::VmId>,
) -> (requests::Requests, mpsc::Receiver<wire::Reply>) {
    let mut requests = requests::Requests::default();
    let (sender, receiver) = mpsc::channel();
    let key = bronzespoke_control::request_id::Key::new(1, "job 1");
    let then = Box::new(move |reply| drop(sender.send(reply)));
    requests.open(
        context,
        GROUP,
        wire::Request::Submitted(key),
        requests::DEADLINE,
        leader,
        then,
    );
    (requests, receiver)
}

/// Guards against a request that expires as `unknown` because this VM itself became the leader that it waits for.
#[test]
fn a_request_is_served_locally_when_this_vm_becomes_leader() {
    let runtime = runtime();
    let mut context = context(&runtime);
    let (mut requests, replies) = open(&context, Some(OTHER));
    advance(&mut context, LATER);
    let own = requests.tick(&context, &|_| Some(ME));
    let [copy] = own.as_slice() else {
        panic!("one copy is for this VM: {own:?}");
    };
    assert_eq!(copy.group, GROUP);
    // The lease is not held yet.
    requests.receive(&context, copy.number, wire::Reply::NotLeader);
    assert!(replies.try_recv().is_err(), "the request stays pending");
    advance(&mut context, LATER);
    let own = requests.tick(&context, &|_| Some(ME));
    assert_eq!(own.len(), 1, "the request is tried again");
    requests.receive(&context, own[0].number, wire::Reply::Submitted(Some(7)));
    assert!(matches!(replies.try_recv(), Ok(wire::Reply::Submitted(Some(7)))));
    assert!(requests.is_empty());
}

/// Guards against a request that is lost because no leader is known at first, or that is kept after its deadline.
#[test]
fn a_request_is_pending_until_its_deadline() {
    let runtime = runtime();
    let mut context = context(&runtime);
    let (mut requests, replies) = open(&context, None);
    advance(&mut context, LATER);
    assert!(requests.tick(&context, &|_| None).is_empty());
    advance(&mut context, requests::DEADLINE);
    assert!(requests.tick(&context, &|_| Some(ME)).is_empty());
    assert!(matches!(replies.try_recv(), Ok(wire::Reply::NotDone(_))));
}

/// Guards against requests that go permanently to a former leader, because a replica that no longer receives entries
/// still names it.
#[test]
fn requests_go_to_the_leader_of_the_highest_term() {
    let runtime = runtime();
    let mut context = context(&runtime);
    let peer = |id, term| context::Peer {
        vm: some_vm(id, context.me.peer),
        incarnation: 1,
        leads: vec![(GROUP, term)],
        replicas: vec![GROUP],
        cell_known: true,
        applied: 1,
        last_seen: Duration::ZERO,
    };
    let peers = [(OTHER, peer(OTHER, 5)), (3, peer(3, 6))];
    assert_eq!(context.leader(GROUP, Some((4, 9))), Some(9));
    context.peers.extend(peers);
    assert_eq!(context.leader(GROUP, None), Some(3));
    assert_eq!(context.leader(GROUP, Some((4, 9))), Some(3), "a former leader");
    assert_eq!(context.leader(GROUP, Some((7, 9))), Some(9), "a newer leader");
}

/// Guards against a search that waits for an unreachable zone after another one has found the job, or that treats a
/// missing reply as a negative one.
#[test]
fn a_search_ends_when_a_zone_has_the_job() {
    use search::Found;
    use wire::Reply;
    let mut search = search::Search::new(3);
    assert_eq!(search.add(&Reply::Submitted(None)), None);
    assert_eq!(search.add(&Reply::Submitted(Some(7))), Some(Found::At(7)));
    assert_eq!(search.add(&Reply::Unknown), None, "the outcome is returned once");
    let mut search = search::Search::new(2);
    assert_eq!(search.add(&Reply::Unknown), None);
    assert_eq!(search.add(&Reply::Submitted(None)), Some(Found::Unreachable));
    let mut search = search::Search::new(2);
    assert_eq!(search.add(&Reply::Submitted(None)), None);
    assert_eq!(search.add(&Reply::Submitted(None)), Some(Found::Nowhere));
}
