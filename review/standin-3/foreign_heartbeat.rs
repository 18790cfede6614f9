//! Heartbeats of another writer, under the ids of workers that are at work. See the claim of the case.

#[path = "base.rs"]
mod base;

use base::*;
use std::sync::{Arc, Mutex};

/// Time for which a job may have nothing running while there is capacity, and the calm time before it; the job is watched
/// for `finish_s` more.
const IDLE_MS: u64 = 3_000 + 4_000;

fn main() {
    let folder = std::env::args().nth(1).expect("the case's folder is the first argument");
    let record = Record::create(&std::path::Path::new(&folder).join("record.txt")).expect("the record can be written");
    let mut cell = Cell::start(1, &record);
    watch(100, cell.pids());
    let seen = Arc::new(Mutex::new(Vec::<Seen>::new()));
    let controls = cell.controls();
    configure(&mut cell, 1);
    let mut workers = Vec::new();
    for number in 0..4 {
        let ip = cell.ip(20 + number);
        let id = format!("i-{number}");
        let Some(worker) = Worker::start(&id, ip, "r1", &controls, &record, &seen) else { finish(&mut cell, NOT_RUN) };
        workers.push(worker);
    }
    warm_up(&mut cell, "00000000000000a1");
    sleep_ms(3_000);
    if has_trouble() {
        for (number, worker) in workers.iter().enumerate() {
            let own = worker.heartbeat();
            // The other writer's service is not one of the configuration's, or its heartbeat lacks a field or has one
            // of another type.
            let foreign = match number % 3 {
                0 => own.replace("\"returns\"", "\"archive\""),
                1 => own.replace(&field(&own, "clock_ms"), ""),
                _ => own.replace(&field(&own, "clock_ms"), "\"clock_ms\":\"unknown\","),
            };
            let foreign = foreign.replace("\"ready\"", "\"draining\"");
            let path = format!("/bronzespoke/instances/{}", worker.id);
            let address = cell.control(number % CORES);
            record.note(&format!("another writer sends PUT {path} {foreign}"));
            let answer = call(address, "PUT", &path, &[], &foreign, 1_000);
            record.note(&format!("it gets {answer:?}"));
        }
        sleep_ms(2_000);
    }
    let id = "00000000000000b1";
    let body = "{\"spec\":\"ms=200\",\"steps\":[{\"count\":4,\"cpu\":1000,\"mem_mb\":256,\"est_runtime_ms\":200}]}";
    let front = cell.front(0);
    if !client(&record, front, "POST", id, body, 3_000).is_some_and(|answer| answer.0 == 200) {
        record.note("the job was not accepted");
        finish(&mut cell, NOT_RUN);
    }
    let accepted = record.now();
    let mut completed = false;
    while !completed && record.now() < accepted + IDLE_MS + 14_000 {
        completed = client(&record, front, "GET", id, "", 3_000).is_some_and(|(_, text)| text.contains("completed"));
        sleep_ms(1_000);
    }
    let started = lock(&seen).iter().filter(|seen| seen.task.starts_with(id) && seen.what == "start").count();
    record.note(&format!("of the job's 4 tasks {started} have started; completed: {completed}"));
    if !completed {
        record.note("BROKEN: nothing of the job runs, and all workers are idle and send heartbeats as ready");
    }
    finish(&mut cell, if completed { KEPT } else { BROKEN });
}

/// Returns a field of a heartbeat with its name and the comma after it.
fn field(body: &str, name: &str) -> String {
    let begin = body.find(&format!("\"{name}\":")).expect("the heartbeat has the field");
    let end = begin + body[begin..].find(',').expect("another field follows") + 1;
    String::from(&body[begin..end])
}
