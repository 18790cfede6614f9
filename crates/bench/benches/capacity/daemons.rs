//! Cost of complete daemons on loopback in this process: bytes between them, processor time of their threads, and
//! memory.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use bronzespoke_daemon::{daemon, settings};
use bronzespoke_model::{id, resource, vm, worker};
use bronzespoke_standin::{client, ledger, worker as standin};
use http::Method;
use tokio_util::sync::CancellationToken;

use crate::{count, line};

const STABILIZATION_TIME: Duration = Duration::from_secs(6);
const MEASURE: Duration = Duration::from_secs(10);
const START_LIMIT: Duration = Duration::from_mins(1);
/// Name prefixes of the threads that belong to daemons; the control threads come first.
const DAEMON_THREADS: [&str; 3] = ["control", "traffic", "disk"];
/// Jobs of 50 tasks, enough for the complete measurement at the target rate of starts.
const JOBS: u64 = 105;
/// Clock ticks per second in `/proc` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

struct Cell {
    daemons: Vec<daemon::Daemon>,
    http: Vec<SocketAddr>,
    rpc: SocketAddr,
    _folder: tempfile::TempDir,
}

/// Cost of the daemons of a cell per second.
#[derive(Debug, Clone, Copy)]
struct Second {
    /// Maximum over the daemons of the bytes sent to others.
    max_sent: f64,
    /// Mean over the daemons of the bytes sent to others.
    mean_sent: f64,
    /// Processor time of all daemon threads, in microseconds.
    micros: f64,
    /// Maximum over the control threads of their processor time, in microseconds.
    max_control_micros: f64,
    /// Live heap of the process, in bytes.
    heap: f64,
}

impl Cell {
    fn start(zones: u16) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be made");
        let mut bound = Vec::new();
        for number in 0..zones * 2 {
            let mut settings = template(number, folder.path());
            let listeners = daemon::Listeners::bind(&mut settings).expect("loopback has free ports");
            bound.push((settings, listeners));
        }
        let peers: Vec<_> = bound.iter().map(|(settings, _)| settings.peer).collect();
        let rpc = bound[0].0.rpc;
        let http = bound.iter().map(|(settings, _)| settings.http).collect();
        let start = |(mut settings, listeners): (settings::Settings, daemon::Listeners)| {
            settings.seeds = peers
                .iter()
                .copied()
                .filter(|peer| *peer != settings.peer)
                .collect();
            daemon::Daemon::start(settings, listeners).expect("a daemon starts")
        };
        let daemons: Vec<_> = bound.into_iter().map(start).collect();
        let started = Instant::now();
        while !daemons.iter().all(daemon::Daemon::is_ready) {
            assert!(
                started.elapsed() < START_LIMIT,
                "the daemons did not become ready"
            );
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(STABILIZATION_TIME);
        Self {
            daemons,
            http,
            rpc,
            _folder: folder,
        }
    }

    fn sent(&self) -> Vec<u64> {
        self.daemons
            .iter()
            .map(|daemon| daemon.traffic().sent.load(Ordering::Relaxed))
            .collect()
    }

    fn second(&self) -> Second {
        let (sent, before, started) = (self.sent(), thread_micros(), Instant::now());
        thread::sleep(MEASURE);
        let seconds = started.elapsed().as_secs_f64();
        let sent: Vec<f64> = self
            .sent()
            .iter()
            .zip(&sent)
            .map(|(now, before)| (now - before) as f64 / seconds)
            .collect();
        let threads: Vec<_> = thread_micros()
            .into_iter()
            .map(|(task, (name, micros))| {
                let earlier = before.get(&task).map_or(0.0, |(_, earlier)| *earlier);
                (name, (micros - earlier) / seconds)
            })
            .collect();
        let control = threads.iter().filter(|(name, _)| name == DAEMON_THREADS[0]);
        Second {
            max_sent: sent.iter().copied().fold(0.0, f64::max),
            mean_sent: sent.iter().sum::<f64>() / sent.len() as f64,
            micros: threads.iter().map(|(_, micros)| micros).sum(),
            max_control_micros: control.map(|(_, micros)| *micros).fold(0.0, f64::max),
            heap: count::live(),
        }
    }

    fn stop(self) {
        self.daemons.into_iter().for_each(daemon::Daemon::kill);
    }
}

fn template(number: u16, folder: &std::path::Path) -> settings::Settings {
    let zone = number / 2 + 1;
    let name = format!("entry-{zone}-{}", number % 2);
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    settings::Settings {
        data: number.is_multiple_of(2).then(|| folder.join(&name)),
        name,
        place: vm::Place {
            region: (zone - 1) / 3 + 1,
            zone,
        },
        peer: loopback,
        http: loopback,
        rpc: loopback,
        seeds: Vec::new(),
        found: number == 0,
        random_seed: 1 + u64::from(number),
        traffic_threads: 1,
        drain_notice: Duration::from_millis(500),
        log_level: log::LevelFilter::Off,
    }
}

/// Returns the names of the daemon threads and the processor time that they have used, in microseconds, by thread id.
fn thread_micros() -> BTreeMap<String, (String, f64)> {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let stats = tasks.filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    let thread = |stat: String| {
        let (task, rest) = stat.split_once(" (")?;
        let (name, rest) = rest.rsplit_once(')')?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = |field: usize| fields.get(field)?.parse::<f64>().ok();
        let micros = (ticks(11)? + ticks(12)?) * 1e6 / TICKS_PER_SECOND;
        let is_daemon = DAEMON_THREADS.iter().any(|prefix| name.starts_with(prefix));
        is_daemon.then(|| (String::from(task), (String::from(name), micros)))
    };
    stats.filter_map(thread).collect()
}

/// Stand-in workers of one zone, whose threads are not measured.
struct Fleet {
    runtime: tokio::runtime::Runtime,
    ledger: Arc<ledger::Ledger>,
    cancel: CancellationToken,
}

impl Fleet {
    fn start(cell: &Cell, count: u64, cpu_milli: u32) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("standin")
            .enable_all()
            .build()
            .expect("a runtime starts");
        let cancel = CancellationToken::new();
        let ledger = Arc::new(ledger::Ledger::default());
        for worker in 0..count {
            let registration = worker::Registration {
                worker,
                incarnation: 1,
                rack: (worker / 8) as id::RackId,
                capacity: resource::Capacity {
                    amount: resource::Amount::new(cpu_milli, 131_072, 0),
                    accelerator: 0,
                },
            };
            let options = standin::Options {
                registration,
                entries: cell.http[..2].to_vec(),
                fail_all: false,
            };
            runtime.spawn(standin::run(options, Arc::clone(&ledger), cancel.child_token()));
        }
        Self {
            runtime,
            ledger,
            cancel,
        }
    }

    fn stop(self) {
        self.cancel.cancel();
        self.runtime.shutdown_timeout(Duration::from_secs(1));
    }

    /// Sends a request to a daemon and returns the body of the response.
    fn call(&self, method: Method, address: SocketAddr, path: &str, key: &str, body: String) -> String {
        let client = client::Client::new();
        let headers = [
            ("content-type", "application/json"),
            ("authorization", &format!("Bearer {key}")),
        ];
        let call = client.call(method, address, path, &headers, body.into(), START_LIMIT);
        let response = self.runtime.block_on(call).expect("the daemon answers");
        String::from_utf8_lossy(&response.body).into_owned()
    }

    fn operator(&self, cell: &Cell, line: &str) -> String {
        let request = serde_json::json!({"jsonrpc": "2.0", "id": 1, "method": "operator_execute", "params": [line, null]});
        self.call(Method::POST, cell.rpc, "/", "", request.to_string())
    }

    /// Returns the number of successful responses to reports so far.
    fn responses(&self, cell: &Cell) -> f64 {
        let metrics = self.call(Method::GET, cell.http[0], "/metrics", "", String::new());
        let response_count = |line: &str| {
            let is_report = line.starts_with("bronzespoke_requests_total") && line.contains("worker");
            let counted = is_report && line.contains("200");
            counted.then(|| line.rsplit(' ').next()?.parse::<f64>().ok())?
        };
        metrics.lines().filter_map(response_count).sum()
    }
}

fn workers(count: u64) -> Second {
    let cell = Cell::start(3);
    let fleet = Fleet::start(&cell, count, 64_000);
    thread::sleep(STABILIZATION_TIME);
    let second = cell.second();
    fleet.stop();
    cell.stop();
    second
}

/// Cost of a zone with the workers, running tasks and starts of the target size.
#[derive(Debug, Clone, Copy)]
pub struct Loaded {
    /// Starts per second.
    pub starts: f64,
    /// Responses to reports per second.
    pub responses: f64,
    /// Processor time of all threads of six daemons, in microseconds per second.
    pub micros: f64,
}

/// Runs tasks of 6.8 s on average in one of three zones, whose workers run up to six tasks each.
fn loaded() -> Loaded {
    let cell = Cell::start(3);
    let fleet = Fleet::start(&cell, 165, 60_000);
    fleet.operator(
        &cell,
        "create team judo weight=1 cpu=100000 memory=400TiB accelerators=0 requests=10",
    );
    let granted = fleet.operator(&cell, "grant key to team judo");
    let key = granted
        .split(|byte: char| !byte.is_ascii_alphanumeric() && byte != '-' && byte != '_')
        .find(|word| word.len() > 40)
        .unwrap_or_else(|| panic!("no key in {granted}"));
    // Allotments of the team's limit are granted to zones that report demand, which takes a few rounds.
    thread::sleep(STABILIZATION_TIME);
    for number in 0..JOBS {
        // Run times are spread from 3.4 s to 10.2 s, so that tasks do not end in waves.
        let sleep = 3400 + number * 7 % 21 * 340;
        let job = serde_json::json!({
            "kind": "batch",
            "tasks": 50,
            "size": {"cpu_milli": 10_000, "memory_mib": 1024},
            "command": format!("sleep {sleep}"),
        });
        let accepted = fleet.call(Method::POST, cell.http[0], "/v2/jobs", key, job.to_string());
        assert!(accepted.contains("job"), "{accepted}");
    }
    thread::sleep(MEASURE + STABILIZATION_TIME);
    let (starts, responses) = (fleet.ledger.totals().starts, fleet.responses(&cell));
    let second = cell.second();
    let seconds = MEASURE.as_secs_f64();
    let totals = fleet.ledger.totals();
    let loaded = Loaded {
        starts: (totals.starts - starts) as f64 / seconds,
        responses: (fleet.responses(&cell) - responses) / seconds,
        micros: second.micros,
    };
    println!(
        "\n165 workers of one zone with up to {} running tasks, {} starts and as many ends a second: {} answers to reports a \
         second, {} % of a core for all threads of six daemons. Tasks in two places: {}, workers over their size: {}.",
        totals.peak_running,
        line::short(loaded.starts),
        line::short(loaded.responses),
        line::short(loaded.micros / 1e4),
        totals.overlapping,
        totals.over_capacity,
    );
    fleet.stop();
    cell.stop();
    loaded
}

/// Cost of complete daemons.
#[derive(Debug)]
pub struct Fits {
    /// Processor time of all threads of an idle daemon, in microseconds per second, by VMs.
    pub idle: line::Line,
    /// Processor time of all threads of six daemons, in microseconds per second, by idle workers of one zone.
    pub workers: line::Line,
    /// Cost with starts and ends at the target rate.
    pub loaded: Loaded,
}

/// Runs the measurements of this module, prints them, and returns the fitted lines.
pub fn measure() -> Fits {
    line::print_heading("Whole daemons on loopback, idle (`crates/daemon`)");
    let before = count::live();
    let idle = [3_u16, 6, 10, 17].map(|zones| {
        let cell = Cell::start(zones);
        let second = cell.second();
        cell.stop();
        (f64::from(zones) * 2.0, second)
    });
    let column = |name: &str, y: &str, value: &dyn Fn(f64, &Second) -> f64| {
        let points = idle.map(|(vms, second)| (vms, value(vms, &second)));
        line::fit(name, "VMs", y, &points)
    };
    column("bytes sent to daemons, the busiest", "B/s", &|_, second| {
        second.max_sent
    });
    column("bytes sent to daemons, mean", "B/s", &|_, second| {
        second.mean_sent
    });
    column("heap of a daemon, mean", "B", &|vms, second| {
        (second.heap - before) / vms
    });
    column("time of the busiest control thread", "µs/s", &|_, second| {
        second.max_control_micros
    });
    let idle = column(
        "time of all threads of a daemon, mean",
        "µs/s",
        &|vms, second| second.micros / vms,
    );
    let idle_workers = [0, 330, 660, 990].map(|count| (count as f64, workers(count).micros));
    let workers = line::fit(
        "time of all threads of six daemons",
        "idle workers of one zone",
        "µs/s",
        &idle_workers,
    );
    let loaded = loaded();
    Fits {
        idle,
        workers,
        loaded,
    }
}
