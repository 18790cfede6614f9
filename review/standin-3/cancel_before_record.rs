//! A client that leaves while the leader is lost, and cancels its job. See the claim of the case.

#[path = "base.rs"]
mod base;

use base::*;
use std::sync::{Arc, Mutex};

/// `cancel_ms` of the deployment.
const CANCEL_MS: u64 = 3_000;
/// The client leaves this long after it has sent its job; half of the route's objective is 600 ms.
const LEAVES_AFTER_MS: u64 = 550;
/// Time after which the killed processes are started again; the pages say that they are back within a second.
const RESTART_MS: u64 = 900;
/// Number of jobs that are sent, each while the core's processes are away.
const ROUNDS: u64 = 3;
/// Run time of each task: the second step's turn comes when all daemons are long in touch again.
const TASK_MS: u64 = 8_000;

/// Sends a job and leaves, then cancels it until a clear answer comes. Returns the time and status of that answer.
fn cancelled(record: &Record, front: std::net::SocketAddr, id: &str, job: &str) -> Option<(u64, u16)> {
    client(record, front, "POST", id, job, LEAVES_AFTER_MS);
    for _ in 0..20 {
        match client(record, front, "DELETE", id, "", 3_000) {
            Some((status, _)) if status == 410 || (200..300).contains(&status) => return Some((record.now(), status)),
            _ => sleep_ms(200),
        }
    }
    None
}

fn main() {
    let folder = std::env::args().nth(1).expect("the case's folder is the first argument");
    let record = Record::create(&std::path::Path::new(&folder).join("record.txt")).expect("the record can be written");
    let mut cell = Cell::start(1, &record);
    watch(100, cell.pids());
    let seen = Arc::new(Mutex::new(Vec::new()));
    let controls = cell.controls();
    configure(&mut cell, 1);
    for number in 0..4 {
        let ip = cell.ip(20 + number);
        let id = format!("i-{number}");
        if Worker::start(&id, ip, "r1", &controls, &record, &seen).is_none() {
            finish(&mut cell, NOT_RUN);
        }
    }
    warm_up(&mut cell, "00000000000000a1");
    let job = format!(
        "{{\"spec\":\"ms={TASK_MS}\",\"steps\":[{{\"count\":2,\"cpu\":500,\"mem_mb\":256,\
         \"est_runtime_ms\":{TASK_MS}}},{{\"count\":2,\"cpu\":500,\"mem_mb\":256,\"est_runtime_ms\":{TASK_MS},\
         \"after\":[0]}}]}}"
    );
    let front = cell.front(0);
    let mut answers = Vec::new();
    for round in 0..ROUNDS {
        let id = format!("5c0e7a21d94b36f{round}");
        if has_trouble() {
            for daemon in 0..CORES {
                cell.kill(daemon);
            }
            sleep_ms(RESTART_MS);
            for daemon in 0..CORES {
                cell.restart(daemon);
            }
            sleep_ms(100);
        }
        let Some((at, status)) = cancelled(&record, front, &id, &job) else {
            record.note("the cancellation was never answered");
            finish(&mut cell, NOT_RUN);
        };
        answers.push((id, at, status));
        // All processes have run for `contact_ms` before the next disruption and when the second step's turn comes.
        sleep_ms(TASK_MS + 5_000);
    }
    let mut broken = false;
    for (id, at, status) in &answers {
        client(&record, front, "GET", id, "", 3_000);
        record.note(&format!("the cancellation of {id} was answered with {status} at {at}"));
        let all = lock(&seen).clone();
        for start in all.iter().filter(|seen| seen.task.starts_with(id) && seen.what == "start") {
            if start.at > at + CANCEL_MS {
                broken = true;
                record.note(&format!(
                    "BROKEN: task {} run {} starts on {} at {}, {} ms after that answer",
                    start.task,
                    start.run,
                    start.worker,
                    start.at,
                    start.at - at
                ));
            }
        }
    }
    finish(&mut cell, if broken { BROKEN } else { KEPT });
}
