//! Tasks that last and fail at times. See the claim of the case.

#[path = "base.rs"]
mod base;

use base::*;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

const WORKERS: usize = 4;
const JOBS: u64 = 6;
const TASKS: u64 = 4;
/// Time without a run that the rule allows a task that lasts: 6 s after its last run, and 3 s more.
const ALLOWED_MS: u64 = 6_000 + 3_000;
/// Length of the observation. Each task works for 10 to 30 s until it fails.
const LENGTH_MS: u64 = 80_000;

fn main() {
    let folder = std::env::args().nth(1).expect("the case's folder is the first argument");
    let record = Record::create(&std::path::Path::new(&folder).join("record.txt")).expect("the record can be written");
    let mut cell = Cell::start(1, &record);
    watch(112, cell.pids());
    let seen = Arc::new(Mutex::new(Vec::<Seen>::new()));
    let controls = cell.controls();
    configure(&mut cell, 1);
    for number in 0..WORKERS {
        let ip = cell.ip(20 + number);
        let id = format!("i-{number}");
        if Worker::start(&id, ip, "r1", &controls, &record, &seen).is_none() {
            finish(&mut cell, NOT_RUN);
        }
    }
    warm_up(&mut cell, "00000000000000a1");
    sleep_ms(3_000);
    let front = cell.front(0);
    let spec = if has_trouble() { "lasting;fails=10000-30000" } else { "lasting;ms=3600000" };
    for job in 0..JOBS {
        let id = format!("00000000000000c{job}");
        let body = format!(
            "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":{TASKS},\"cpu\":2000,\"mem_mb\":256,\"est_runtime_ms\":1000,\
             \"perpetual\":true}}]}}"
        );
        if !client(&record, front, "POST", &id, &body, 3_000).is_some_and(|answer| answer.0 == 200) {
            record.note("a job was not accepted");
            finish(&mut cell, NOT_RUN);
        }
    }
    let begun = record.now();
    let mut longest = BTreeMap::new();
    while record.now() < begun + LENGTH_MS {
        sleep_ms(200);
        let now = record.now();
        // When each task last worked; `None` while it is at work.
        let mut idle_since: BTreeMap<String, Option<u64>> = BTreeMap::new();
        for job in 0..JOBS {
            for task in 0..TASKS {
                idle_since.insert(format!("00000000000000c{job}.0.0.{task}"), Some(begun));
            }
        }
        for seen in lock(&seen).iter() {
            if let Some(since) = idle_since.get_mut(&seen.task) {
                *since = (seen.what != "start").then_some(seen.at);
            }
        }
        for (task, since) in idle_since {
            let idle = since.map_or(0, |since| now.saturating_sub(since));
            let known = longest.entry(task).or_insert(0);
            *known = idle.max(*known);
        }
    }
    let mut broken = false;
    for (task, idle) in &longest {
        record.note(&format!("task {task} was without a run for {idle} ms at most"));
        broken |= *idle > ALLOWED_MS;
    }
    if broken {
        record.note(&format!("BROKEN: {ALLOWED_MS} ms are allowed; the workers have 64 cores, and all tasks together take 48"));
    }
    finish(&mut cell, if broken { BROKEN } else { KEPT });
}
