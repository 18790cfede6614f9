//! Stand-ins and scripts of the review: `standin CASE ROOT RECORD`; TROUBLE=0 leaves the disruption out.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cell;
mod http;
mod json;
mod minion;
mod record;

use std::{
    fs,
    net::SocketAddr,
    path::Path,
    process::ExitCode,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use cell::Cell;
use minion::{Ledger, Minion};

const HOST: &str = "jobs.example";
const PREFIX: &str = "/batch/";
const KEY: &str = "key-of-team-one";
const SERVICE: &str = "returns";

/// `finish_s` of the small sites.
const FINISH: Duration = Duration::from_secs(14);

/// What a case returns: whether the rule held, or why the case could not run.
type Outcome = Result<bool, String>;

pub struct Stage {
    pub cell: Cell,
    pub ledger: Ledger,
    pub trouble: bool,
    minion_port: u16,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record::open(path);
    record::line(&format!("case {case}, with the disruption: {trouble}"));
    let folder = std::env::temp_dir().join(format!("bronzespoke-review-{}", std::process::id()));
    let outcome = play(case, Path::new(root), &folder, trouble);
    if std::env::var("KEEP").is_err() {
        fs::remove_dir_all(&folder).ok();
    }
    let (text, code) = match outcome {
        Ok(true) => (String::from("the rule held"), 0),
        Ok(false) => (String::from("the rule was broken"), 1),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record::line(&text);
    println!("{text}");
    ExitCode::from(code)
}

fn play(case: &str, root: &Path, folder: &Path, trouble: bool) -> Outcome {
    fs::create_dir_all(folder).map_err(|error| error.to_string())?;
    let cell = Cell::start(root, folder, 2);
    let mut stage = Stage {
        minion_port: cell.port + 19,
        cell,
        ledger: Arc::new(Mutex::new(Vec::new())),
        trouble,
    };
    if !stage.cell.configure(&configuration(1)) {
        return Err(String::from("no configuration was acknowledged"));
    }
    match case {
        "late-leave" => late_leave(&mut stage),
        "foreign-heartbeat" => foreign_heartbeat(&mut stage),
        "long-lease" => long_lease(&mut stage),
        "late-start" => late_start(&mut stage),
        "many-ends" => many_ends(&mut stage),
        "long-schedule" => long_schedule(&mut stage),
        _ => Err(String::from("there is no such case")),
    }
}

pub fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-batch\",\"host\":\"{HOST}\",\"path_prefix\":\"{PREFIX}\",\
         \"kind\":\"unsafe\",\"timeout_ms\":3000,\"latency_slo_ms\":1200,\"priority\":1,\"service\":\"{SERVICE}\",\
         \"max_attempts\":4,\"stretch\":2.2,\"public\":false}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_control\":false,\
         \"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"team-one\",\
         \"api_keys\":[\"{KEY}\"],\"priority\":1,\"weight\":1,\"maximum\":{{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}}}]}}"
    )
}

impl Stage {
    pub fn minion(&mut self, id: &str, zone: usize, cpu: u64) -> Arc<Minion> {
        let address = SocketAddr::from(([127, 0, 21, zone as u8], self.minion_port));
        self.minion_port += 1;
        self.minion_at(id, address, zone, cpu)
    }

    pub fn minion_at(&self, id: &str, address: SocketAddr, zone: usize, cpu: u64) -> Arc<Minion> {
        let mut control = self.cell.controls();
        control.rotate_left(zone - 1);
        let config = minion::Config {
            id: id.to_string(),
            address,
            zone: format!("z{zone}"),
            service: SERVICE.to_string(),
            cpu,
            control,
        };
        Minion::start(config, self.ledger.clone())
    }

    /// Sends a call of a client; an attempt without a clear response is sent again, to the other edge.
    pub fn client(&self, method: &str, id: &str, body: &str) -> Option<u16> {
        self.client_answer(method, id, body).map(|(status, _)| status)
    }

    pub fn client_answer(&self, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let authorization = format!("Bearer {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", authorization.as_str()),
            ("Deadline-Ms", "3000"),
        ];
        for attempt in 0..4 {
            let front = self.cell.front(attempt % 2);
            let path = format!("{PREFIX}{id}");
            let answer = http::call(front, method, &path, &headers, body, Duration::from_secs(3));
            record::line(&format!("client: {method} {path} {body} -> {answer:?}"));
            match answer {
                Ok((502 | 503 | 504 | 429, _)) | Err(_) => thread::sleep(Duration::from_millis(500)),
                Ok(answer) => return Some(answer),
            }
        }
        None
    }

    pub fn submit(&self, id: &str, tasks: u32, cpu: u32, work_ms: u32) -> bool {
        let body = format!(
            "{{\"spec\":\"work_ms={work_ms} cpu={cpu}\",\"steps\":[{{\"count\":{tasks},\"cpu\":{cpu},\"mem_mb\":100,\
             \"est_runtime_ms\":{work_ms}}}]}}"
        );
        self.client("POST", id, &body).is_some_and(|status| (200..300).contains(&status))
    }

    pub fn state(&self, id: &str) -> Option<String> {
        let (status, body) = self.client_answer("GET", id, "")?;
        let state = json::parse(&body)?.get("state").text()?.to_string();
        (status == 200).then_some(state)
    }
}

fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < limit {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    condition()
}

/// Reports the runs of one task that were at work at the same time; returns whether there was none.
fn runs_once(stage: &Stage) -> bool {
    let found = minion::overlaps(&stage.ledger);
    for (first, second, length) in &found {
        record::line(&format!(
            "TWICE: {} ran at the same time for {length} ms: run {} on {} from {} ms, run {} on {} from {} ms",
            first.task, first.run, first.minion, first.begun_ms, second.run, second.minion, second.begun_ms
        ));
    }
    found.is_empty()
}

/// Waits until the daemons know a leader and the minions take work: a small job is done.
fn warm_up(stage: &Stage) -> Result<(), String> {
    let id = "00000000000000aa";
    if !wait_until(Duration::from_secs(10), || stage.submit(id, 1, 1000, 100)) {
        return Err(String::from("the first job was not accepted"));
    }
    let done = wait_until(Duration::from_secs(10), || stage.state(id).as_deref() == Some("completed"));
    done.then_some(()).ok_or(String::from("the first job was not done"))
}

/// A minion's notice that it leaves reaches a frozen core machine; the minion is back under its id when that machine
/// wakes.
fn late_leave(stage: &mut Stage) -> Outcome {
    let mut minions = Vec::new();
    for index in 0..6 {
        minions.push(stage.minion(&format!("i-00{index}"), index % 3 + 1, 64_000));
    }
    warm_up(stage)?;
    let leader = stage.cell.leader().ok_or("no leader is known")?;
    // A machine that doesn't lead, and not the one that the new life calls first.
    let follower = if leader == 1 { 2 } else { 1 };
    record::line(&format!("{} leads", stage.cell.daemons[leader].name));
    // The minion is restarted as planned: it drains, says that it leaves, ends, and starts again under its id.
    let old = minions.remove(0);
    if !old.drain() {
        return Err(String::from("draining was not acknowledged"));
    }
    thread::sleep(Duration::from_millis(2_600));
    let frozen = Instant::now();
    if stage.trouble {
        stage.cell.daemons[follower].signal(cell::SIGSTOP, "SIGSTOP");
    }
    let path = format!("/bronzespoke/instances/{}", old.config.id);
    let target = stage.cell.control(follower);
    let answer = http::call(target, "DELETE", &path, &[], "", Duration::from_millis(2_000));
    record::line(&format!("minion {}: DELETE {path} to {target} -> {answer:?}", old.config.id));
    old.end();
    let (address, id) = (old.config.address, old.config.id.clone());
    // Short work fills the other minions, so that the next job starts on the new life.
    if !stage.submit("00000000000000b0", 20, 16_000, 1_300) {
        return Err(String::from("the short job was not accepted"));
    }
    thread::sleep(Duration::from_millis(100));
    let new = stage.minion_at(&id, address, 1, 64_000);
    thread::sleep(Duration::from_millis(300));
    if !stage.submit("00000000000000bb", 4, 16_000, 9_000) {
        return Err(String::from("the job was not accepted"));
    }
    let begun = wait_until(Duration::from_secs(2), || !new.running().is_empty());
    record::line(&format!("the new life runs {:?}, begun: {begun}", new.running()));
    if !begun {
        return Err(String::from("the new life got no task"));
    }
    if stage.trouble {
        let rest = Duration::from_millis(4_000).saturating_sub(frozen.elapsed());
        thread::sleep(rest);
        stage.cell.daemons[follower].signal(cell::SIGCONT, "SIGCONT");
        record::line(&format!("it was frozen for {} ms", frozen.elapsed().as_millis()));
    }
    thread::sleep(Duration::from_secs(14));
    let state = stage.state("00000000000000bb");
    record::line(&format!("the job is {state:?}"));
    Ok(runs_once(stage))
}

/// Another writer sends a heartbeat that names a minion's address.
fn foreign_heartbeat(stage: &mut Stage) -> Outcome {
    let mut minions = Vec::new();
    for index in 0..4 {
        minions.push(stage.minion(&format!("i-00{index}"), index % 3 + 1, 64_000));
    }
    warm_up(stage)?;
    if !stage.submit("00000000000000bb", 10, 16_000, 6_000) {
        return Err(String::from("the job was not accepted"));
    }
    let busy = |minion: &Arc<Minion>| !minion.running().is_empty();
    if !wait_until(Duration::from_secs(2), || minions.iter().filter(|minion| busy(minion)).count() >= 2) {
        return Err(String::from("the tasks did not start"));
    }
    thread::sleep(Duration::from_millis(1_500));
    let target = minions.iter().find(|minion| busy(minion)).ok_or("no minion is at work")?;
    record::line(&format!("{} runs {:?}", target.config.id, target.running()));
    if stage.trouble {
        let body = format!(
            "{{\"service\":\"log-shipper\",\"address\":\"{}\",\"zone\":\"{}\",\"state\":\"ready\",\"born\":{},\
             \"sequence\":1}}",
            target.config.address,
            target.config.zone,
            target.born + 1_000
        );
        let control = stage.cell.control(0);
        let path = "/bronzespoke/instances/log-shipper-1";
        let answer = http::call(control, "PUT", path, &[], &body, Duration::from_secs(1));
        record::line(&format!("another writer: PUT {path} {body} -> {answer:?}"));
    }
    thread::sleep(Duration::from_secs(14));
    let state = stage.state("00000000000000bb");
    record::line(&format!("the job is {state:?}"));
    Ok(runs_once(stage))
}

/// Clients hand in jobs that are repeated every five minutes for a year.
fn long_schedule(stage: &mut Stage) -> Outcome {
    for index in 0..4 {
        stage.minion(&format!("i-00{index}"), index % 3 + 1, 64_000);
    }
    warm_up(stage)?;
    let start = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis()
        + 300_000;
    let times = if stage.trouble { 365 * 24 * 12 } else { 24 };
    let mut ends = [0; 3];
    let mut accepted = Vec::new();
    for index in 0..12 {
        let id = format!("00000000000000c{index:x}");
        let body = format!(
            "{{\"spec\":\"work_ms=1000\",\"steps\":[{{\"count\":4,\"cpu\":1000,\"mem_mb\":500,\"est_runtime_ms\":1000}}],\
             \"start_time_ms\":{start},\"interval_ms\":300000,\"repeat_count\":{times}}}"
        );
        let status = stage.client("POST", &id, &body);
        if status.is_some_and(|status| (200..300).contains(&status)) {
            accepted.push(id);
        }
        let used = stage.cell.daemons.iter().map(|daemon| format!("{} {} MB", daemon.name, daemon.memory_mb()));
        record::line(&format!("memory: {}", used.collect::<Vec<_>>().join(", ")));
        limit_memory(stage, &mut ends);
    }
    record::line(&format!("accepted: {accepted:?}"));
    let last = accepted.last().cloned().ok_or("no timed job was accepted")?;
    // The clients ask for the last accepted job, from `finish_s` after the last job was handed in.
    let handed_in = Instant::now();
    let fronts = [stage.cell.front(0), stage.cell.front(1)];
    let asker = thread::spawn(move || {
        let mut answered = 0;
        while handed_in.elapsed() < FINISH {
            thread::sleep(Duration::from_millis(10));
        }
        for attempt in 0..12 {
            let authorization = format!("Bearer {KEY}");
            let headers = [("Host", HOST), ("Authorization", authorization.as_str()), ("Deadline-Ms", "3000")];
            let path = format!("{PREFIX}{last}");
            let answer = http::call(fronts[attempt % 2], "GET", &path, &headers, "", Duration::from_secs(3));
            record::line(&format!("client: GET {path} -> {answer:?}"));
            answered += u32::from(matches!(answer, Ok((200 | 410, _))));
            thread::sleep(Duration::from_secs(1));
        }
        answered
    });
    while !asker.is_finished() {
        limit_memory(stage, &mut ends);
        thread::sleep(Duration::from_millis(10));
    }
    record::line(&format!("processes that ended over their memory: {ends:?}"));
    let answered = asker.join().map_err(|_| "the asking thread ended")?;
    record::line(&format!("{answered} of 12 questions about an accepted job were answered"));
    Ok(answered > 0)
}

/// Does what the platform does: kills a process that uses more than its memory, and starts it again.
fn limit_memory(stage: &mut Stage, ends: &mut [u32; 3]) {
    for (index, ends) in ends.iter_mut().enumerate() {
        let used = stage.cell.daemons[index].memory_mb();
        if used > cell::MEMORY_MB {
            record::line(&format!("{} uses {used} MB", stage.cell.daemons[index].name));
            stage.cell.daemons[index].signal(cell::SIGKILL, "SIGKILL");
            thread::sleep(Duration::from_millis(30));
        }
        if let Some(how) = stage.cell.daemons[index].ended() {
            *ends += 1;
            record::line(&format!("{} ended: {how}", stage.cell.daemons[index].name));
            thread::sleep(Duration::from_millis(300));
            stage.cell.restart(index);
        }
    }
}

/// More than 500 tasks of a minion end while the core is down; its ends are listed 500 at a time.
fn many_ends(stage: &mut Stage) -> Outcome {
    for index in 0..2 {
        stage.minion(&format!("i-00{index}"), index % 3 + 1, 64_000);
    }
    warm_up(stage)?;
    let begun = Instant::now();
    // 1,200 tasks of a tenth of a core on two minions of 64 cores; they end between 2.6 s and 3.4 s later.
    let jobs: Vec<String> = (0..12).map(|index| format!("00000000000000b{index:x}")).collect();
    for (index, id) in jobs.iter().enumerate() {
        if !stage.submit(id, 100, 100, 2_600 + index as u32 * 70) {
            return Err(String::from("a job was not accepted"));
        }
    }
    let most = |stage: &Stage| stage.ledger.lock().unwrap().len();
    if !wait_until(Duration::from_secs(2), || most(stage) >= 1_201) {
        return Err(format!("only {} runs have begun", most(stage)));
    }
    thread::sleep(Duration::from_millis(2_500).saturating_sub(begun.elapsed()));
    if stage.trouble {
        for index in 0..3 {
            stage.cell.daemons[index].signal(cell::SIGKILL, "SIGKILL");
        }
        thread::sleep(Duration::from_millis(900));
        for index in 0..3 {
            stage.cell.restart(index);
        }
    }
    thread::sleep(Duration::from_secs(12));
    for id in &jobs {
        record::line(&format!("job {id} is {:?}", stage.state(id)));
    }
    let found = minion::repeats(&stage.ledger);
    for (first, second) in &found {
        record::line(&format!(
            "TWICE: {} run {} ended done on {} at {:?} and was noted at {:?}; run {} began on {} at {} ms",
            first.task, first.run, first.minion, first.ended, first.noted_ms, second.run, second.minion, second.begun_ms
        ));
    }
    record::line(&format!("{} runs began after their task was done", found.len()));
    Ok(found.is_empty() && runs_once(stage))
}

/// A minion crashes at an order to start a run, is back under its id, and is cut off some seconds later.
fn long_lease(stage: &mut Stage) -> Outcome {
    const MINIONS: usize = 9;
    // ONLY=cut leaves the crash out, for comparison.
    let crash = stage.trouble && std::env::var("ONLY").as_deref() != Ok("cut");
    let mut minions: Vec<Arc<Minion>> = (0..MINIONS)
        .map(|index| stage.minion(&format!("i-00{index}"), index % 3 + 1, 64_000))
        .collect();
    warm_up(stage)?;
    // The clock of the first life has to be well ahead of that of the next one.
    thread::sleep(Duration::from_secs(12));
    // Work that leaves room on one minion only.
    if !stage.submit("00000000000000a0", 32, 16_000, 2_500) {
        return Err(String::from("the first job was not accepted"));
    }
    wait_until(Duration::from_secs(1), || stage.ledger.lock().unwrap().len() >= 33);
    let empty = minions.iter().position(|minion| minion.running().is_empty());
    let index = empty.ok_or("no minion is empty")?;
    let old = minions[index].clone();
    record::line(&format!("{} is empty", old.config.id));
    old.crash_at_start.store(crash, std::sync::atomic::Ordering::SeqCst);
    if !stage.submit("00000000000000b0", 1, 16_000, 400) {
        return Err(String::from("the second job was not accepted"));
    }
    if crash {
        if !wait_until(Duration::from_secs(1), || !old.crash_at_start.load(std::sync::atomic::Ordering::SeqCst)) {
            return Err(String::from("the minion was not told to start a run"));
        }
        thread::sleep(Duration::from_millis(200));
        let config = minion::Config {
            id: old.config.id.clone(),
            address: old.config.address,
            zone: old.config.zone.clone(),
            service: old.config.service.clone(),
            cpu: old.config.cpu,
            control: old.config.control.clone(),
        };
        minions[index] = Minion::start_quiet(config, stage.ledger.clone(), Duration::from_millis(1_000));
        thread::sleep(Duration::from_millis(1_000));
    } else {
        thread::sleep(Duration::from_millis(400));
    }
    let new = minions[index].clone();
    record::line(&format!("the lease at {} lasts {} ms more", new.config.id, new.lease_left().as_millis()));
    thread::sleep(Duration::from_millis(200));
    if !stage.submit("00000000000000c0", 4, 16_000, 15_000) {
        return Err(String::from("the third job was not accepted"));
    }
    let runs = |minion: &Minion| minion.running().iter().filter(|task| task.starts_with("00000000000000c0")).count();
    wait_until(Duration::from_secs(1), || runs(&new) == 4);
    record::line(&format!("{} runs {:?}", new.config.id, new.running()));
    if runs(&new) == 0 {
        return Err(String::from("the third job does not run on that minion"));
    }
    if stage.trouble {
        // The cut begins while a report is under way.
        let held_at = *new.held_at.lock().unwrap();
        wait_until(Duration::from_secs(2), || *new.held_at.lock().unwrap() != held_at);
        thread::sleep(Duration::from_millis(700));
        record::line(&format!(
            "{} is cut off; its lease lasts {} ms more",
            new.config.id,
            new.lease_left().as_millis()
        ));
        new.cut.store(true, std::sync::atomic::Ordering::SeqCst);
        thread::sleep(Duration::from_millis(6_000));
        new.cut.store(false, std::sync::atomic::Ordering::SeqCst);
        record::line("the cut is over");
    }
    thread::sleep(Duration::from_secs(20));
    Ok(runs_once(stage))
}

/// An order to start a run is carried out late, by the next life of its minion, after the lease of the first has ended.
fn late_start(stage: &mut Stage) -> Outcome {
    const MINIONS: usize = 9;
    let mut minions: Vec<Arc<Minion>> = (0..MINIONS)
        .map(|index| stage.minion(&format!("i-00{index}"), index % 3 + 1, 64_000))
        .collect();
    warm_up(stage)?;
    thread::sleep(Duration::from_secs(12));
    if !stage.submit("00000000000000a0", 32, 16_000, 2_000) {
        return Err(String::from("the first job was not accepted"));
    }
    wait_until(Duration::from_secs(1), || stage.ledger.lock().unwrap().len() >= 33);
    let empty = minions.iter().position(|minion| minion.running().is_empty());
    let index = empty.ok_or("no minion is empty")?;
    let old = minions[index].clone();
    if stage.trouble {
        // The order comes just after a report has been asked for, and is held back for 6.6 s.
        let held_at = *old.held_at.lock().unwrap();
        wait_until(Duration::from_secs(2), || *old.held_at.lock().unwrap() != held_at);
        old.starts_late_ms.store(6_900, std::sync::atomic::Ordering::SeqCst);
    }
    let begun = Instant::now();
    if !stage.submit("00000000000000b0", 1, 16_000, 9_000) {
        return Err(String::from("the second job was not accepted"));
    }
    if stage.trouble {
        thread::sleep(Duration::from_millis(700).saturating_sub(begun.elapsed()));
        record::line(&format!("{} is cut off", old.config.id));
        old.cut.store(true, std::sync::atomic::Ordering::SeqCst);
        thread::sleep(Duration::from_millis(300));
        old.end();
        let config = minion::Config {
            id: old.config.id.clone(),
            address: old.config.address,
            zone: old.config.zone.clone(),
            service: old.config.service.clone(),
            cpu: old.config.cpu,
            control: old.config.control.clone(),
        };
        thread::sleep(Duration::from_millis(700));
        let new = Minion::start_cut(config, stage.ledger.clone());
        minions[index] = new.clone();
        thread::sleep(Duration::from_millis(6_700).saturating_sub(begun.elapsed()));
        new.cut.store(false, std::sync::atomic::Ordering::SeqCst);
        record::line("the cut is over");
    }
    thread::sleep(Duration::from_secs(22));
    Ok(runs_once(stage))
}
