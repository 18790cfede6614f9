//! Jobs whose starts were lost with a worker, after the leader was lost as well. See the claim of the case.

#[path = "base.rs"]
mod base;

use base::*;
use std::sync::{Arc, Mutex};

/// `visible_ms` of the deployment and the 2 s that the rule adds.
const VISIBLE_MS: u64 = 3_000 + 2_000;
/// `contact_ms` of the deployment.
const CONTACT_MS: u64 = 4_000;
/// Jobs that wait.
const JOBS: u64 = 8;
/// Workers; one of them is lost, which is a share of 0.125.
const WORKERS: usize = 8;

fn main() {
    let folder = std::env::args().nth(1).expect("the case's folder is the first argument");
    let record = Record::create(&std::path::Path::new(&folder).join("record.txt")).expect("the record can be written");
    let mut cell = Cell::start(1, &record);
    watch(100, cell.pids());
    let seen = Arc::new(Mutex::new(Vec::<Seen>::new()));
    let controls = cell.controls();
    configure(&mut cell, 1);
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let ip = cell.ip(20 + number);
        let id = format!("i-{number}");
        let Some(worker) = Worker::start(&id, ip, "r1", &controls, &record, &seen) else { finish(&mut cell, NOT_RUN) };
        workers.push(worker);
    }
    warm_up(&mut cell, "00000000000000a1");
    // All workers are known before the job comes that fills all but one of them.
    sleep_ms(3_000);
    let front = cell.front(0);
    let filler = "00000000000000f1";
    let body = format!(
        "{{\"spec\":\"ms=60000\",\"steps\":[{{\"count\":{},\"cpu\":16000,\"mem_mb\":256,\"est_runtime_ms\":60000}}]}}",
        WORKERS - 1
    );
    client(&record, front, "POST", filler, &body, 3_000);
    sleep_ms(500);
    let filled: Vec<String> = lock(&seen)
        .iter()
        .filter(|seen| seen.task.starts_with(filler))
        .map(|seen| seen.worker.clone())
        .collect();
    let empty: Vec<&Worker> = workers.iter().filter(|worker| !filled.contains(&worker.id)).collect();
    let [other] = empty.as_slice() else {
        record.note("the job that fills all workers but one has not started");
        finish(&mut cell, NOT_RUN);
    };
    if has_trouble() {
        other.lose_power();
    }
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let id = format!("00000000000000b{number}");
        let body = "{\"spec\":\"ms=500\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"est_runtime_ms\":500}]}";
        if client(&record, front, "POST", &id, body, 3_000).is_some_and(|answer| answer.0 == 200) {
            accepted.push((id, record.now()));
        }
    }
    if accepted.len() < JOBS as usize {
        record.note("not all jobs were accepted");
        finish(&mut cell, NOT_RUN);
    }
    sleep_ms(300);
    let mut settled = record.now();
    if has_trouble() {
        let Some(leader) = cell.leader() else { finish(&mut cell, NOT_RUN) };
        cell.kill(leader);
        sleep_ms(900);
        cell.restart(leader);
        settled = record.now() + CONTACT_MS;
    }
    let mut broken = false;
    let until = record.now() + 14_000;
    while record.now() < until {
        let sent = record.now();
        let begun = |id: &str, all: &[Seen]| all.iter().any(|seen| seen.task.starts_with(id) && seen.what == "start");
        let before = lock(&seen).clone();
        let waiting = accepted.iter().filter(|(id, at)| sent > at + VISIBLE_MS && !begun(id, &before)).count();
        let answer = client(&record, front, "GET", "", "", 3_000);
        let pending = answer
            .filter(|(status, _)| *status == 200)
            .and_then(|(_, text)| Json::parse(&text)?.get("pending").number());
        // Jobs that begin while the answer is on its way don't count.
        let after = lock(&seen).clone();
        let waiting = waiting.min(accepted.iter().filter(|(id, _)| !begun(id, &after)).count());
        if let Some(pending) = pending {
            record.note(&format!("{pending} jobs are said to wait; {waiting} have waited for over {VISIBLE_MS} ms"));
            if sent > settled && pending * 2 < waiting as u64 {
                broken = true;
                record.note("BROKEN: that is under half of them, and all machines are in touch");
            }
        }
        sleep_ms(500);
    }
    finish(&mut cell, if broken { BROKEN } else { KEPT });
}
