//! Cost of workers' reports and their responses: bytes through a gateway on loopback, and codec time.

use std::{
    hint::black_box,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use bronzespoke_gateway::{control, server, settings};
use bronzespoke_model::{compact, id, resource, task, vm, worker};
use bronzespoke_standin::client;
use bytes::Bytes;
use http::Method;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::{count, line, state};

const WORKER: id::WorkerId = 12_345_678_901_234_567;
const JSON: &str = "application/json";
/// Reports before bytes are counted, which open the connection and fill its table of compressed header fields.
const WARM_UP_REPORTS: u64 = 10;
const COUNTED_REPORTS: u64 = 200;

/// Cost of reports and their responses.
#[derive(Debug)]
pub struct Fits {
    /// Bytes of a report with its HTTP headers, by runs that it lists and by ends.
    pub report: [line::Line; 2],
    /// Bytes of a response with its HTTP headers, by starts.
    pub response: line::Line,
    /// Microseconds to decode a report, by runs that it lists, and to encode a response, by starts.
    pub micros: [line::Line; 2],
}

/// Returns a report of a worker: a full one if `base` is `None`, else the changes since that report.
pub fn report(runs: u32, ends: u32, base: Option<u64>) -> worker::Report {
    let task = |number: u32| task::Ref {
        job: id::job(9, 500_000 + u64::from(number)),
        index: number,
    };
    let token = |number: u32| (1 << 32) + u64::from(number);
    worker::Report {
        worker: WORKER,
        incarnation: state::NOW_MS,
        sequence: 100_000,
        base,
        running: (0..runs)
            .map(|number| worker::Running {
                task: task(number),
                token: token(number),
                usage: resource::Amount::new(3817, 7421, 0),
            })
            .collect(),
        ended: (runs..runs + ends)
            .map(|number| worker::Ended {
                task: task(number),
                token: token(number),
                outcome: task::Outcome::Succeeded(format!("task {number} done")),
            })
            .collect(),
    }
}

fn reply(starts: u32) -> worker::Reply {
    let directives = (0..starts)
        .map(|number| task::Directive::Start {
            task: task::Ref {
                job: id::job(9, 500_000 + u64::from(number)),
                index: number,
            },
            token: (1 << 32) + u64::from(number),
            granted: resource::Amount::new(4000, 8192, 0),
            command: String::from("reconcile --federation judo --tournament 2026-11 --belts all"),
        })
        .collect();
    worker::Reply {
        acknowledged: 100_000,
        lease_ms: 10_000,
        directives,
    }
}

/// Encodes a report in the compact binary form.
pub fn encode(report: &worker::Report) -> Vec<u8> {
    postcard::to_stdvec(&compact::Report::from(report.clone())).expect("a report is plain data")
}

/// Mean bytes of one exchange, with HTTP headers.
#[derive(Debug, Clone, Copy)]
struct Exchange {
    report: f64,
    response: f64,
}

/// Gateway whose control thread gives every report the same response, behind a proxy that counts bytes.
struct ByteCounter {
    runtime: tokio::runtime::Runtime,
    address: SocketAddr,
    received: Arc<AtomicU64>,
    sent: Arc<AtomicU64>,
    cancel: CancellationToken,
}

impl ByteCounter {
    fn new(starts: u32) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime starts");
        let cancel = CancellationToken::new();
        let server = runtime.block_on(gateway(starts, cancel.clone()));
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("loopback has a free port");
        let address = listener.local_addr().expect("a listener has an address");
        let (received, sent) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let counters = (Arc::clone(&received), Arc::clone(&sent));
        // The client opens another connection if the previous one has not returned to its pool.
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let server = TcpStream::connect(server).expect("the gateway accepts");
                forward(&client, &server, &counters);
            }
        });
        Self {
            runtime,
            address,
            received,
            sent,
            cancel,
        }
    }

    fn measure(&self, client: &client::Client, media: &str, body: &Bytes) -> Exchange {
        let path = format!("/v2/workers/{WORKER}/report");
        let headers = [("content-type", media), ("accept", media)];
        let run = |times: u64| {
            for _ in 0..times {
                let limit = Duration::from_secs(5);
                let call = client.call(Method::POST, self.address, &path, &headers, body.clone(), limit);
                let response = self.runtime.block_on(call).expect("the gateway answers");
                assert_eq!(response.status, 200, "{:?}", response.body);
            }
        };
        run(WARM_UP_REPORTS);
        let now = || [&self.received, &self.sent].map(|count| count.load(Ordering::SeqCst));
        let before = now();
        run(COUNTED_REPORTS);
        let mean = |index: usize| (now()[index] - before[index]) as f64 / COUNTED_REPORTS as f64;
        Exchange {
            report: mean(0),
            response: mean(1),
        }
    }
}

impl Drop for ByteCounter {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

fn forward(client: &TcpStream, server: &TcpStream, counters: &(Arc<AtomicU64>, Arc<AtomicU64>)) {
    let copies = [(client, server, &counters.0), (server, client, &counters.1)];
    for (from, to, count) in copies {
        from.set_nodelay(true).expect("the option is supported");
        let (from, to) = (from.try_clone(), to.try_clone());
        let (from, to) = (from.expect("a socket is cloned"), to.expect("a socket is cloned"));
        let count = Arc::clone(count);
        thread::spawn(move || copy(from, to, &count));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, count: &AtomicU64) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(bytes) = from.read(&mut buffer) {
        count.fetch_add(bytes as u64, Ordering::SeqCst);
        if bytes == 0 || to.write_all(&buffer[..bytes]).is_err() {
            return;
        }
    }
}

async fn gateway(starts: u32, cancel: CancellationToken) -> SocketAddr {
    let (calls, mut receiver) = mpsc::channel(control::CALL_QUEUE_CAPACITY);
    let handle = control::Handle {
        calls,
        view: watch::channel(Arc::new(control::View::default())).1,
        targets: watch::channel(Arc::new(control::Targets::default())).1,
        freshness: control::Freshness::new(bronzespoke_clock::Origin::now()),
        place: vm::Place { region: 1, zone: 1 },
    };
    tokio::spawn(async move {
        while let Some(call) = receiver.recv().await {
            if let control::Call::Report(_, response) = call {
                drop(response.send(Ok(reply(starts))));
            }
        }
    });
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0))
        .await
        .expect("loopback has a free port");
    let render: server::MetricsRenderer = Arc::new(String::new);
    let settings = settings::Settings::default();
    let server = server::Server::start(listener, settings, handle, render, cancel.clone())
        .expect("the gateway starts");
    let address = server.address();
    // Dropping the server stops it.
    tokio::spawn(async move {
        cancel.cancelled().await;
        drop(server);
    });
    address
}

fn compact_exchange(runs: u32, ends: u32, starts: u32) -> Exchange {
    let body = Bytes::from(encode(&report(runs, ends, Some(99_999))));
    ByteCounter::new(starts).measure(&client::Client::new_http2(), compact::MEDIA_TYPE, &body)
}

fn full_exchange(runs: u32, starts: u32) -> Exchange {
    let json = serde_json::to_vec(&report(runs, 0, None)).expect("a report is plain data");
    ByteCounter::new(starts).measure(&client::Client::new(), JSON, &Bytes::from(json))
}

/// Runs the measurements of this module, prints them, and returns the fitted lines.
pub fn measure() -> Fits {
    line::print_heading(
        "Workers' reports (`crates/daemon/src/control/session.rs`), through a gateway on loopback",
    );
    let (runs, ends, starts) = ([0, 1, 3, 6], [0, 1, 2, 4], [0, 1, 2, 4]);
    let points = |numbers: [u32; 4], value: &dyn Fn(u32) -> f64| {
        numbers.map(|number| (f64::from(number), value(number)))
    };
    line::fit(
        "full report with its head, JSON over HTTP/1.1",
        "running tasks",
        "B",
        &points([1, 3, 6, 12], &|runs| full_exchange(runs, 0).report),
    );
    line::fit(
        "answer with its head, JSON over HTTP/1.1",
        "starts",
        "B",
        &points(starts, &|starts| full_exchange(6, starts).response),
    );
    let report_bytes = [
        line::fit(
            "report of changes with its head, binary over HTTP/2",
            "runs that began or whose use changed",
            "B",
            &points(runs, &|runs| compact_exchange(runs, 0, 0).report),
        ),
        line::fit(
            "report of changes with its head, binary over HTTP/2",
            "ends with a result of 12 bytes",
            "B",
            &points(ends, &|ends| compact_exchange(0, ends, 0).report),
        ),
    ];
    let response = line::fit(
        "answer with its head, binary over HTTP/2",
        "starts",
        "B",
        &points(starts, &|starts| compact_exchange(0, 0, starts).response),
    );
    let micros = [
        line::fit(
            "time to decode a report, binary",
            "runs that it names",
            "µs",
            &points(runs, &|runs| {
                let body = encode(&report(runs, 0, Some(99_999)));
                count::micros(|| drop(black_box(postcard::from_bytes::<compact::Report>(&body))))
            }),
        ),
        line::fit(
            "time to encode an answer, binary",
            "starts",
            "µs",
            &points(starts, &|starts| {
                let reply = compact::Reply::from(reply(starts));
                count::micros(|| drop(black_box(postcard::to_stdvec(&reply))))
            }),
        ),
    ];
    Fits {
        report: report_bytes,
        response,
        micros,
    }
}
