//! Jobs are handed in with a key while the operator takes the key away, and the daemon that has acknowledged this is
//! killed. A job of which every attempt was rejected must not run.

#[path = "base.rs"]
#[allow(dead_code)]
mod base;

use std::{
    collections::{BTreeMap, HashSet},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    process::ExitCode,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use base::{configure, draw, ms, request, wait_until, with_trouble, Cell, Minion, Recorder, SIGKILL};

const ROUNDS: usize = 10;
const CLIENTS: usize = 64;

fn configuration(version: u64, keys: &[String]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"dojo.example\",\"path_prefix\":\"/checks/\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\"latency_slo_ms\":400,\"priority\":0,\"service\":\"pool-1\",\"max_attempts\":3,\"stretch\":2.0,\"public\":false}}],\"services\":[{{\"name\":\"pool-1\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_control\":false,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"t-1\",\"api_keys\":[{}],\"priority\":1,\"weight\":10,\"maximum\":{{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}}}]}}",
        keys.join(",")
    )
}

/// What a client saw of one job: the status of each attempt, 0 for none.
type Attempts = Arc<Mutex<BTreeMap<String, Vec<u16>>>>;

/// Hands one job in. An attempt without a clear answer is repeated, at the other daemon too; any other answer is final.
fn client(recorder: &Recorder, fronts: &[SocketAddr], key: &str, attempts: &Attempts) {
    let body = "{\"spec\":\"work_ms=300 \",\"steps\":[{\"count\":1,\"cpu\":10,\"mem_mb\":16,\"est_runtime_ms\":300}]}";
    let headers = format!("host: dojo.example\r\nauthorization: Bearer {key}\r\ndeadline-ms: 3000\r\n");
    let id = format!("{:016x}", draw());
    let first = draw() as usize;
    for attempt in 0..5 {
        let to = fronts[(first + attempt) % fronts.len()];
        recorder.add(format!("client: POST {id} with {key} to {to}"));
        let answer = request(to, &format!("POST /checks/{id}"), &headers, body, ms(3000));
        let status = answer.map_or(0, |(status, _)| status);
        recorder.add(format!("client: {id} is answered with {status}"));
        attempts.lock().unwrap().entry(id.clone()).or_default().push(status);
        if ![0, 502, 504].contains(&status) {
            return;
        }
        thread::sleep(ms(100));
    }
}

fn play(recorder: &Recorder, folder: &Path) -> Result<bool, String> {
    let mut cell = Cell::start(recorder, 3, 2)?;
    let starts = Arc::default();
    let controls = cell.controls();
    let fronts = cell.fronts();
    for number in 0..6_u8 {
        let ip = IpAddr::V4(Ipv4Addr::new(127, cell.net[0], cell.net[1], 100 + number));
        let address = SocketAddr::new(ip, 20_900);
        let minion = Minion::start(recorder, &format!("i-{number:08x}"), address, "pool-1", &starts)?;
        minion.beat(controls.clone());
    }
    let mut keys: Vec<String> = (0..ROUNDS + 1).map(|_| format!("{:016x}k", draw())).collect();
    let mut version = 1;
    if configure(recorder, &controls, version, &configuration(version, &keys), 0) != Some(200) {
        return Err(String::from("the first configuration isn't acknowledged"));
    }
    let attempts: Attempts = Arc::default();
    let serves = wait_until(ms(15_000), || {
        let key = &keys[ROUNDS];
        let headers = format!("host: dojo.example\r\nauthorization: Bearer {key}\r\ndeadline-ms: 3000\r\n");
        let body = "{\"spec\":\"work_ms=10 \",\"steps\":[{\"count\":1,\"cpu\":10,\"mem_mb\":16,\"est_runtime_ms\":10}]}";
        let id = format!("{:016x}", draw());
        let answer = request(fronts[0], &format!("POST /checks/{id}"), &headers, body, ms(3000));
        answer.is_some_and(|(status, _)| status == 200) && !starts.lock().unwrap().is_empty()
    });
    if !serves {
        cell.keep_logs(folder);
        return Err(String::from("the cell doesn't serve"));
    }
    thread::sleep(ms(4500));
    for round in 0..ROUNDS {
        let key = keys.remove(0);
        let stop = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let (recorder, fronts, key) = (recorder.clone(), fronts.clone(), key.clone());
                let (attempts, stop) = (Arc::clone(&attempts), Arc::clone(&stop));
                thread::spawn(move || {
                    while !stop.load(Ordering::Relaxed) {
                        client(&recorder, &fronts, &key, &attempts);
                    }
                })
            })
            .collect();
        thread::sleep(ms(300));
        version += 1;
        let (leader, _) = cell.leader();
        // The operator picks this daemon first, as it may pick any. It is killed right after it has acknowledged
        // the configuration.
        let status = configure(recorder, &controls, version, &configuration(version, &keys), leader);
        if with_trouble() {
            cell.signal(leader, SIGKILL);
        }
        recorder.say(format!("round {round}: configuration {version} without {key}: {status:?}"));
        thread::sleep(ms(50));
        stop.store(true, Ordering::Relaxed);
        if with_trouble() {
            thread::sleep(ms(900));
            cell.reap(leader);
            cell.spawn(leader)?;
        }
        for client in clients {
            let _ = client.join();
        }
        // A machine counts as lost for 4 s after it is back.
        thread::sleep(ms(5_500));
    }
    thread::sleep(ms(3000));
    let started: HashSet<String> = starts
        .lock()
        .unwrap()
        .iter()
        .map(|(task, ..): &(String, u64, Duration)| String::from(task.split('.').next().unwrap_or("")))
        .collect();
    let attempts = attempts.lock().unwrap();
    let rejected = |statuses: &Vec<u16>| statuses.iter().all(|status| [401, 403, 404, 429, 503].contains(status));
    let broken: Vec<&String> = attempts
        .iter()
        .filter(|(id, statuses)| rejected(statuses) && started.contains(*id))
        .map(|(id, _)| id)
        .collect();
    let count = |status: u16| attempts.values().flatten().filter(|other| **other == status).count();
    recorder.say(format!(
        "{} jobs; attempts answered with 200: {}, 401: {}, 429: {}, 503: {}, 504: {}, none: {}",
        attempts.len(),
        count(200),
        count(401),
        count(429),
        count(503),
        count(504),
        count(0)
    ));
    for id in &broken {
        recorder.say(format!("REFUSED: every attempt of {id} was rejected ({:?}), and its task has started", attempts[*id]));
    }
    cell.keep_logs(&cell.folder);
    Ok(!broken.is_empty())
}

fn main() -> ExitCode {
    let recorder = Recorder::new();
    let folder = std::env::var("CASE").unwrap_or_else(|_| String::from("."));
    let folder = Path::new(&folder);
    let begun = Instant::now();
    let outcome = play(&recorder, folder);
    recorder.say(format!("trouble: {}; {:.1} s", with_trouble(), begun.elapsed().as_secs_f64()));
    let code = match &outcome {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(reason) => {
            recorder.say(format!("the case couldn't run: {reason}"));
            2
        }
    };
    recorder.write(&folder.join("record.txt"), |_| true);
    ExitCode::from(code)
}
