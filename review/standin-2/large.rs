//! Large jobs come at once. What was accepted must still be known `finish_s` after the end of the traffic.
//! This program also stands in for the platform: it kills a process that uses more than its memory, and starts it again.

#[path = "base.rs"]
#[allow(dead_code)]
mod base;

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    process::ExitCode,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Instant,
};

use base::{configure, draw, ms, request, wait_until, with_trouble, Cell, Minion, Recorder, SIGKILL};

/// Jobs that are handed in, one after the other.
const JOBS: usize = 64;
/// Tasks of each: with trouble, the most that a job may have.
const LARGE: u32 = 100_000;
const SMALL: u32 = 100;
/// `memory_mb` of a core machine of the small deployments.
const MEMORY_KB: u64 = 256 * 1024;

const CONFIGURATION: &str = "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"dojo.example\",\"path_prefix\":\"/checks/\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\"latency_slo_ms\":3000,\"priority\":1,\"service\":\"pool-1\",\"max_attempts\":3,\"stretch\":4.0,\"public\":true}],\"services\":[{\"name\":\"pool-1\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_control\":false,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}";

fn memory_kb(pid: i32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

fn play(recorder: &Recorder, folder: &Path) -> Result<bool, String> {
    let cell = Cell::start(recorder, 3, 2)?;
    let starts = Arc::default();
    let controls = cell.controls();
    let fronts = cell.fronts();
    for number in 0..6_u8 {
        let ip = IpAddr::V4(Ipv4Addr::new(127, cell.net[0], cell.net[1], 100 + number));
        let minion = Minion::start(recorder, &format!("i-{number:08x}"), SocketAddr::new(ip, 20_900), "pool-1", &starts)?;
        minion.beat(controls.clone());
    }
    if configure(recorder, &controls, 1, CONFIGURATION, 0) != Some(200) {
        return Err(String::from("the configuration isn't acknowledged"));
    }
    let submit = |id: &str, tasks: u32, front: usize| {
        let body = format!("{{\"spec\":\"work_ms=500 \",\"steps\":[{{\"count\":{tasks},\"cpu\":4000,\"mem_mb\":64,\"est_runtime_ms\":500}}]}}");
        let answer = request(
            fronts[front % fronts.len()],
            &format!("POST /checks/{id}"),
            "host: dojo.example\r\ndeadline-ms: 3000\r\n",
            &body,
            ms(3000),
        );
        let status = answer.map_or(0, |(status, _)| status);
        recorder.add(format!("client: POST {id} with {tasks} tasks is answered with {status}"));
        status
    };
    let serves = wait_until(ms(15_000), || {
        submit(&format!("{:016x}", draw()), 1, 0) == 200 && !starts.lock().unwrap().is_empty()
    });
    if !serves {
        cell.keep_logs(folder);
        return Err(String::from("the cell doesn't serve"));
    }
    // The platform: looks at the memory of each process and restarts what it has killed.
    let cell = Arc::new(Mutex::new(cell));
    let over = Arc::new(AtomicBool::new(false));
    let ends = Arc::new(Mutex::new([0_usize; 3]));
    let most = Arc::new(Mutex::new(0_u64));
    let platform = {
        let (cell, over, ends, most) = (Arc::clone(&cell), Arc::clone(&over), Arc::clone(&ends), Arc::clone(&most));
        let recorder = recorder.clone();
        thread::spawn(move || {
            let mut restart: [Option<Instant>; 3] = [None; 3];
            while !over.load(Ordering::Relaxed) {
                for (index, due) in restart.iter_mut().enumerate() {
                    let mut cell = cell.lock().unwrap();
                    if due.is_some_and(|at| Instant::now() >= at) {
                        *due = None;
                        let _ = cell.spawn(index);
                    } else if due.is_none() {
                        let used = memory_kb(cell.pid(index));
                        let mut most = most.lock().unwrap();
                        *most = (*most).max(used);
                        if used > MEMORY_KB {
                            recorder.say(format!("core-{} uses {} MB and is killed", index + 1, used / 1024));
                            cell.signal(index, SIGKILL);
                            cell.reap(index);
                            ends.lock().unwrap()[index] += 1;
                            *due = Some(Instant::now() + ms(300));
                        }
                    }
                }
                thread::sleep(ms(20));
            }
        })
    };
    let tasks = if with_trouble() { LARGE } else { SMALL };
    let begun = Instant::now();
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let id = format!("{:016x}", draw());
        for attempt in 0..4 {
            if begun.elapsed() > ms(20_000) {
                break;
            }
            let status = submit(&id, tasks, number + attempt);
            if status == 200 {
                accepted.push(id);
                break;
            }
            thread::sleep(ms(if status == 429 || status == 503 { 500 } else { 100 }));
        }
    }
    recorder.say(format!("{} of {JOBS} jobs of {tasks} tasks are accepted after {:.1} s", accepted.len(), begun.elapsed().as_secs_f64()));
    // finish_s after the end of the traffic the jobs are asked for, for 4 s more at each daemon.
    thread::sleep(ms(14_000));
    let mut known = 0;
    let mut asked = 0;
    let asking = Instant::now();
    for id in accepted.iter().rev().chain(&accepted).take(12) {
        asked += 1;
        let mut answer = None;
        for attempt in 0..3 {
            let line = format!("GET /checks/{id}");
            answer = request(fronts[attempt % 2], &line, "host: dojo.example\r\ndeadline-ms: 3000\r\n", "", ms(3000));
            recorder.add(format!("client: GET {id}: {answer:?}"));
            if answer.as_ref().is_some_and(|(status, _)| *status == 200 || *status == 410) || asking.elapsed() > ms(20_000) {
                break;
            }
        }
        known += usize::from(answer.is_some_and(|(status, _)| status == 200));
    }
    over.store(true, Ordering::Relaxed);
    let _ = platform.join();
    let ends = *ends.lock().unwrap();
    recorder.say(format!(
        "at the end {known} of {asked} accepted jobs are known; core processes were killed over their memory {ends:?} times; most used {} MB",
        *most.lock().unwrap() / 1024
    ));
    cell.lock().unwrap().keep_logs(folder);
    Ok(known < asked)
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
