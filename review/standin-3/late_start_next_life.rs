//! Orders that are carried out late, by the next life of their worker. See the claim of the case.

#[path = "base.rs"]
mod base;

use base::*;
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
};

/// Workers; one of them crashes, which is a share of 0.125.
const WORKERS: usize = 8;
/// Orders to start a task are left unanswered for this long after the first one.
const WINDOW_MS: u64 = 3_000;
/// They are carried out this much later; the pages say 2 to 12 s.
const LATE_MS: u64 = 8_000;
/// The worker crashes and is back at these times after the first order.
const CRASH_MS: u64 = 5_000;
const BACK_MS: u64 = 7_400;
/// The next life sends its first heartbeat this much later; the pages say about every 1.5 s.
const FIRST_BEAT_MS: u64 = 1_000;

const JOB: &str = "00000000000000b1";

/// What the proxies in front of the workers share: the worker whose orders are late, and since when.
type Late = Arc<Mutex<Option<(usize, u64)>>>;

/// Passes requests on to a worker. Orders to start the job's task are held back where they are to be late.
fn proxy(listener: TcpListener, to: SocketAddr, number: usize, late: &Late, record: &Record) {
    let (late, record) = (Arc::clone(late), record.clone());
    serve(listener, move |request| {
        let headers: Vec<(String, String)> = request
            .headers
            .iter()
            .filter(|(name, _)| *name != "content-length" && *name != "host" && *name != "content-type")
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect();
        let is_start = request.path == "/bronzespoke/run-start" && request.body.contains(JOB);
        if has_trouble() && is_start {
            let now = record.now();
            let (victim, since) = *lock(&late).get_or_insert((number, now));
            if victim == number && now <= since + WINDOW_MS {
                record.note(&format!("an order to worker {number} is held back: {}", request.body));
                let record = record.clone();
                thread::spawn(move || {
                    sleep_ms(LATE_MS);
                    let headers: Vec<(&str, &str)> =
                        headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
                    let answer = call(to, &request.method, &request.path, &headers, &request.body, 2_000);
                    record.note(&format!("the late order to worker {number} gets {answer:?}, which nobody hears"));
                });
                sleep_ms(2_000);
                return None;
            }
        }
        let headers: Vec<(&str, &str)> =
            headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        call(to, &request.method, &request.path, &headers, &request.body, 5_000)
    });
}

fn main() {
    let folder = std::env::args().nth(1).expect("the case's folder is the first argument");
    let record = Record::create(&std::path::Path::new(&folder).join("record.txt")).expect("the record can be written");
    let mut cell = Cell::start(1, &record);
    watch(100, cell.pids());
    let seen = Arc::new(Mutex::new(Vec::<Seen>::new()));
    let late: Late = Arc::default();
    let controls = cell.controls();
    configure(&mut cell, 1);
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let inner = TcpListener::bind(SocketAddr::new(cell.ip(40 + number), 0)).expect("a port is free");
        let outer = TcpListener::bind(SocketAddr::new(cell.ip(20 + number), 0)).expect("a port is free");
        let (to, announced) = (inner.local_addr().expect("bound"), outer.local_addr().expect("bound"));
        proxy(outer, to, number, &late, &record);
        let id = format!("i-{number}");
        let worker = Worker::start_behind(&id, inner, announced, "r1", &controls, &record, &seen);
        workers.push(worker.expect("the worker starts"));
    }
    warm_up(&mut cell, "00000000000000a1");
    sleep_ms(4_000);
    let front = cell.front(0);
    let body = "{\"spec\":\"ms=15000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"est_runtime_ms\":15000}]}";
    if !client(&record, front, "POST", JOB, body, 3_000).is_some_and(|answer| answer.0 == 200) {
        record.note("the job was not accepted");
        finish(&mut cell, NOT_RUN);
    }
    if has_trouble() {
        let mut first = None;
        for _ in 0..300 {
            first = *lock(&late);
            if first.is_some() {
                break;
            }
            sleep_ms(10);
        }
        let Some((victim, since)) = first else {
            record.note("no start was sent");
            finish(&mut cell, NOT_RUN);
        };
        sleep_ms((since + CRASH_MS).saturating_sub(record.now()));
        workers[victim].crash();
        sleep_ms((since + BACK_MS).saturating_sub(record.now()));
        workers[victim].start_again(FIRST_BEAT_MS);
    }
    sleep_ms(20_000);
    client(&record, front, "GET", JOB, "", 3_000);
    // Runs at work, by task and worker.
    let mut at_work: BTreeMap<String, Vec<(String, u64)>> = BTreeMap::new();
    let mut done: BTreeMap<String, u64> = BTreeMap::new();
    let mut broken = false;
    for event in lock(&seen).iter() {
        let runs = at_work.entry(event.task.clone()).or_default();
        match event.what {
            "start" => {
                if let Some((other, run)) = runs.first() {
                    broken = true;
                    record.note(&format!(
                        "BROKEN: task {} run {} starts on {} at {}, while run {run} is at work on {other}",
                        event.task, event.run, event.worker, event.at
                    ));
                }
                if let Some(at) = done.get(&event.task) {
                    broken = true;
                    record.note(&format!(
                        "BROKEN: task {} run {} starts on {} at {}; it was done at {at}",
                        event.task, event.run, event.worker, event.at
                    ));
                }
                runs.push((event.worker.clone(), event.run));
            }
            how => {
                runs.retain(|run| *run != (event.worker.clone(), event.run));
                if how == "done" {
                    done.insert(event.task.clone(), event.at);
                }
            }
        }
    }
    finish(&mut cell, if broken { BROKEN } else { KEPT });
}
