//! Benchmarks of `request`: its decisions at several numbers of targets, and requests through a gateway compared with
//! a direct connection to the same stand-in target in the same run.

use std::{
    hint::black_box,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bronzespoke_gateway::{control, server, settings};
use bronzespoke_model::{service, target, vm};
use bronzespoke_request::{admission, allotment, attempt, router, rules};
use bronzespoke_standin::{caller, target as standin};
use http::Method;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

const PATH: &str = "/v2/queues/diplomas/requests";
const PLACE: vm::Place = vm::Place { region: 0, zone: 0 };
/// Concurrent connections of the throughput benchmark.
const CALLERS: usize = 32;

/// Registers the benchmarks of this module.
pub fn register(criterion: &mut criterion::Criterion) {
    decisions(criterion);
    replace(criterion);
    entry(criterion);
}

fn decisions(criterion: &mut criterion::Criterion) {
    let mut group = criterion.benchmark_group("request/admit_and_pick");
    for count in [50, 200, 1000, 5000] {
        group.bench_function(count.to_string(), |bencher| {
            let rules = rules::Rules::default();
            let mut admission = admission::Admission::new(1, rules);
            let mut router = loaded_router(count);
            let flow = admission::Flow {
                service: 1,
                owner: admission::Owner::Team(1),
            };
            let mut id = 0;
            bencher.iter(|| {
                id += 1;
                let now = Duration::from_micros(id);
                let pending = admission::Request {
                    id,
                    flow,
                    weight: 1,
                    limit: 1000,
                    deadline: now + Duration::from_secs(1),
                };
                let free = router.free_slots(now, 1);
                black_box(admission.admit(now, pending, free));
                let query = router::Request {
                    service: 1,
                    exclude: &[],
                    bytes: 1000,
                };
                if let router::Choice::Target(target) = black_box(router.pick(now, &query)) {
                    let latency = Duration::from_millis(5);
                    let end = attempt::Outcome::Success {
                        latency,
                        load: Some(3),
                    };
                    router.finish(now, target, end);
                }
                admission.finish(now, flow, admission::Outcome::Ignored);
            });
        });
    }
    group.finish();
}

/// Replacement of the target list, during which the lock that requests need is held.
fn replace(criterion: &mut criterion::Criterion) {
    let mut group = criterion.benchmark_group("request/replace_targets");
    for count in [50, 1000, 5000] {
        group.bench_function(count.to_string(), |bencher| {
            let mut router = loaded_router(count);
            let entries: Vec<_> = (1..=34_u16)
                .map(|vm| allotment::Entry {
                    vm: u64::from(vm),
                    place: vm::Place {
                        region: vm % 6,
                        zone: vm % 17,
                    },
                })
                .collect();
            let targets = targets(count);
            bencher.iter(|| {
                router.apply(Duration::ZERO, router::Update::Entries(entries.clone()));
                router.apply(Duration::ZERO, router::Update::Targets(black_box(&targets)));
            });
        });
    }
    group.finish();
}

/// Creates a router with `count` targets, half of whose slots are in use.
fn loaded_router(count: u64) -> router::Router {
    let mut router = router::Router::new(router::Config {
        own: allotment::Entry { vm: 1, place: PLACE },
        remote_bytes_per_second: 256 * 1024,
        seed: 1,
        load_source: router::LoadSource::default(),
        rules: rules::Rules::default(),
    });
    router.apply(Duration::ZERO, router::Update::Targets(&targets(count)));
    let query = router::Request {
        service: 1,
        exclude: &[],
        bytes: 1000,
    };
    for _ in 0..router.free_slots(Duration::ZERO, 1) / 2 {
        black_box(router.pick(Duration::ZERO, &query));
    }
    router
}

fn targets(count: u64) -> Vec<(u32, target::Status)> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    (1..=count)
        .map(|target| {
            let zone = (target % 3) as u16;
            let place = vm::Place {
                region: zone / 2,
                zone,
            };
            (1, status(target, address, place))
        })
        .collect()
}

fn status(target: u64, address: SocketAddr, place: vm::Place) -> target::Status {
    target::Status {
        announcement: target::Announcement {
            target,
            incarnation: 1,
            service: "lineage".to_owned(),
            address,
            slots: 64,
            connections: 64,
        },
        place,
        departing: false,
        in_flight: 0,
    }
}

fn entry(criterion: &mut criterion::Criterion) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("the runtime starts");
    let cancel = CancellationToken::new();
    let (target, server, _control) = runtime.block_on(start(&cancel));
    let mut group = criterion.benchmark_group("request/entry_latency");
    for (name, address) in [("direct", target.address()), ("gateway", server.address())] {
        let mut caller = runtime
            .block_on(caller::Caller::connect(address))
            .expect("the server accepts");
        group.bench_function(name, |bencher| {
            bencher.iter(|| {
                let response = runtime.block_on(caller.send(Method::POST, PATH, &[], "belt"));
                assert_eq!(response.expect("the server responds").body.len(), 4);
            });
        });
    }
    group.finish();
    cancel.cancel();
    entry_on_one_core(criterion);
}

/// Callers, gateway and target share one thread, so that the difference between the two cases is the gateway's processor
/// time.
fn entry_on_one_core(criterion: &mut criterion::Criterion) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    let cancel = CancellationToken::new();
    let (target, server, _control) = runtime.block_on(start(&cancel));
    let mut group = criterion.benchmark_group("request/entry_one_core");
    group.throughput(criterion::Throughput::Elements(1));
    for (name, address) in [("direct", target.address()), ("gateway", server.address())] {
        group.bench_function(name, |bencher| {
            bencher.iter_custom(|count| runtime.block_on(load(address, count)));
        });
    }
    group.finish();
    cancel.cancel();
}

/// Sends `count` requests, spread over all connections, and returns the time taken.
async fn load(address: SocketAddr, count: u64) -> Duration {
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        callers.push(
            caller::Caller::connect(address)
                .await
                .expect("the server accepts"),
        );
    }
    let each = count.div_ceil(CALLERS as u64);
    let started = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for mut caller in callers {
        tasks.spawn(async move {
            for _ in 0..each {
                let response = caller.send(Method::POST, PATH, &[], "belt").await;
                assert_eq!(response.expect("the server responds").status.as_u16(), 200);
            }
        });
    }
    while let Some(result) = tasks.join_next().await {
        result.expect("no caller panics");
    }
    started
        .elapsed()
        .mul_f64(count as f64 / (each * CALLERS as u64) as f64)
}

/// Channel ends that the gateway expects to stay open while it runs.
type Views = (
    mpsc::Receiver<control::Call>,
    watch::Sender<Arc<control::View>>,
    watch::Sender<Arc<control::Targets>>,
);

async fn start(cancel: &CancellationToken) -> (standin::Target, server::Server, Views) {
    let behaviour = standin::Behaviour::Echo(Duration::ZERO);
    let target = standin::Target::start(64, behaviour)
        .await
        .expect("the target starts");
    let mut view = control::View::default();
    let service = service::Service {
        id: 1,
        name: "lineage".to_owned(),
    };
    view.services.insert(service.name.clone(), service);
    let queue = service::Queue {
        id: 1,
        name: "diplomas".to_owned(),
        service: 1,
        requests: 1000,
    };
    view.queues.insert(queue.name.clone(), queue);
    let usable = vec![status(1, target.address(), PLACE)];
    let (calls, call_receiver) = mpsc::channel(control::CALL_QUEUE_CAPACITY);
    let (view, view_receiver) = watch::channel(Arc::new(view));
    let (targets, targets_receiver) = watch::channel(Arc::new(control::Targets { usable }));
    let handle = control::Handle {
        calls,
        view: view_receiver,
        targets: targets_receiver,
        freshness: control::Freshness::new(bronzespoke_clock::Origin::now()),
        place: PLACE,
    };
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback binds");
    let render: server::MetricsRenderer = Arc::new(String::new);
    let settings = settings::Settings::default();
    let server = server::Server::start(listener, settings, handle, render, cancel.clone());
    (
        target,
        server.expect("the server starts"),
        (call_receiver, view, targets),
    )
}
