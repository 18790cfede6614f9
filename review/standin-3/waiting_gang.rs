//! A gang that does not fit, beside tasks that last. See the claim of the case.

#[path = "base.rs"]
mod base;

use base::*;
use std::sync::{Arc, Mutex};

const WORKERS: usize = 4;
/// `finish_s` of the deployment, and the 3 s for which a job may have nothing running.
const ALLOWED_MS: u64 = 14_000 + 3_000;

fn main() {
    let folder = std::env::args().nth(1).expect("the case's folder is the first argument");
    let record = Record::create(&std::path::Path::new(&folder).join("record.txt")).expect("the record can be written");
    let mut cell = Cell::start(1, &record);
    watch(100, cell.pids());
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
    let submit = |cell: &mut Cell, prefix: &str, id: &str, body: &str| {
        if !client_of(&record, front, "POST", prefix, id, body, 3_000).is_some_and(|answer| answer.0 == 200) {
            record.note("a job was not accepted");
            finish(cell, NOT_RUN);
        }
    };
    // One task that lasts on each worker: 7.5 of its 16 cores.
    let lasting = "{\"spec\":\"lasting;ms=3600000\",\"steps\":[{\"count\":4,\"cpu\":7500,\"mem_mb\":256,\"est_runtime_ms\":1000,\
                   \"perpetual\":true,\"max_per_server\":1}]}";
    submit(&mut cell, LESS_URGENT, "00000000000000c0", lasting);
    sleep_ms(3_000);
    let at_work = lock(&seen).iter().filter(|seen| seen.task.starts_with("00000000000000c0")).count();
    if at_work != WORKERS {
        record.note("the tasks that last are not at work");
        finish(&mut cell, NOT_RUN);
    }
    let gang = "00000000000000d0";
    if has_trouble() {
        // 4 members of 9 cores: they fit on these workers, but not beside the tasks that last.
        let body = "{\"spec\":\"ms=5000\",\"steps\":[{\"count\":4,\"cpu\":9000,\"mem_mb\":256,\"est_runtime_ms\":30000,\
                    \"gang\":true}]}";
        submit(&mut cell, PREFIX, gang, body);
        sleep_ms(2_000);
    }
    let small: Vec<String> = (0..4).map(|number| format!("00000000000000e{number}")).collect();
    for id in &small {
        let body = "{\"spec\":\"ms=300\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"est_runtime_ms\":300}]}";
        submit(&mut cell, LESS_URGENT, id, body);
    }
    let accepted = record.now();
    sleep_ms(ALLOWED_MS + 3_000);
    let mut broken = false;
    for id in &small {
        client_of(&record, front, "GET", LESS_URGENT, id, "", 3_000);
        let all = lock(&seen).clone();
        let started = all.iter().find(|seen| seen.task.starts_with(id.as_str()) && seen.what == "start");
        match started {
            Some(start) => {
                record.note(&format!("job {id} began {} ms after its acceptance", start.at.saturating_sub(accepted)));
            }
            None => {
                record.note(&format!("job {id} has not begun"));
            }
        }
        broken |= started.is_none_or(|start| start.at > accepted + ALLOWED_MS);
    }
    if broken {
        record.note("BROKEN: each worker has 8.5 free cores, and 30 of 64 cores are in use");
    }
    if has_trouble() {
        client(&record, front, "DELETE", gang, "", 3_000);
        sleep_ms(3_000);
        for id in &small {
            client_of(&record, front, "GET", LESS_URGENT, id, "", 3_000);
        }
    }
    finish(&mut cell, if broken { BROKEN } else { KEPT });
}
