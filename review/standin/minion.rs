//! A minion as the pages describe it: it runs what it is told to, under a lease, and sends heartbeats.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http, json, record};

pub const MAX_HOLD_MS: u64 = 10_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time that a stop takes; at most `stop_timeout_ms`.
const STOP_MS: u64 = 20;

/// One run of a task, as it happened on a minion.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub minion: String,
    /// Whether it brought the minion over its room.
    pub over_room: bool,
    pub begun_ms: u64,
    pub ended: Option<(u64, &'static str)>,
    /// When its end was taken note of, unless the minion's lease lapsed before that.
    pub noted_ms: Option<u64>,
}

/// All runs of all minions.
pub type Ledger = Arc<Mutex<Vec<Run>>>;

struct Active {
    run: u64,
    cpu: u64,
    row: usize,
    done_at: u64,
    stop_at: Option<u64>,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_end: u64,
    active: BTreeMap<String, Active>,
    /// Highest run of each task that ended or was stopped here.
    closed: BTreeMap<String, u64>,
    /// Number, task, run, how, row in the ledger, and whether the lease lapsed afterwards.
    ended: Vec<(u64, String, u64, &'static str, usize, bool)>,
    next_end: u64,
    draining: bool,
    sequence: u64,
}

pub struct Config {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub service: String,
    pub cpu: u64,
    pub control: Vec<SocketAddr>,
}

pub struct Minion {
    pub config: Config,
    pub born: u64,
    boot: Instant,
    state: Mutex<State>,
    changed: Condvar,
    ledger: Ledger,
    over: AtomicBool,
    /// Whether it crashes at the next order to start a run, before it answers.
    pub crash_at_start: AtomicBool,
    /// How late orders to start runs are carried out, by whichever life is at the address then; 0: at once.
    pub starts_late_ms: std::sync::atomic::AtomicU64,
    /// Whether nothing reaches it and nothing that it sends arrives.
    pub cut: AtomicBool,
    /// When the last call of `hold` arrived.
    pub held_at: Mutex<Option<Instant>>,
    server: Mutex<Option<http::Server>>,
    /// The control address that is used first for heartbeats.
    preferred: Mutex<Option<SocketAddr>>,
}

impl Minion {
    /// Starts a new life of a minion.
    pub fn start(config: Config, ledger: Ledger) -> Arc<Self> {
        Self::start_quiet(config, ledger, Duration::ZERO)
    }

    /// Starts a new life that is cut off from the beginning.
    pub fn start_cut(config: Config, ledger: Ledger) -> Arc<Self> {
        Self::start_as(config, ledger, Duration::ZERO, true)
    }

    /// Starts a new life whose first heartbeat is sent after a time.
    pub fn start_quiet(config: Config, ledger: Ledger, quiet: Duration) -> Arc<Self> {
        Self::start_as(config, ledger, quiet, false)
    }

    fn start_as(config: Config, ledger: Ledger, quiet: Duration, is_cut: bool) -> Arc<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let minion = Arc::new(Self {
            config,
            born,
            boot: Instant::now(),
            state: Mutex::new(State {
                next_end: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            ledger,
            over: AtomicBool::new(false),
            crash_at_start: AtomicBool::new(false),
            starts_late_ms: std::sync::atomic::AtomicU64::new(0),
            cut: AtomicBool::new(is_cut),
            held_at: Mutex::new(None),
            server: Mutex::new(None),
            preferred: Mutex::new(None),
        });
        record::line(&format!(
            "minion {} starts at {}, born {born}",
            minion.config.id, minion.config.address
        ));
        let server = minion.clone();
        let address = minion.config.address;
        let mut started = http::Server::start(address, {
            let server = server.clone();
            move |request| server.serve(request)
        });
        for _ in 0..100 {
            if started.is_ok() {
                break;
            }
            thread::sleep(Duration::from_millis(10));
            let server = server.clone();
            started = http::Server::start(address, move |request| server.serve(request));
        }
        *minion.server.lock().unwrap() = Some(started.expect("the minion's address is free"));
        let ticker = minion.clone();
        thread::spawn(move || {
            while !ticker.over.load(Ordering::SeqCst) {
                ticker.tick();
                thread::sleep(Duration::from_millis(5));
            }
        });
        let beats = minion.clone();
        thread::spawn(move || {
            thread::sleep(quiet);
            while !beats.over.load(Ordering::SeqCst) {
                beats.heartbeat();
                let begun = Instant::now();
                while begun.elapsed() < HEARTBEAT && !beats.over.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(10));
                }
            }
        });
        minion
    }

    /// The minion's own steady clock, which starts anew with each life.
    fn clock(&self) -> u64 {
        self.boot.elapsed().as_millis() as u64 + 1_000
    }

    /// Sends one heartbeat to the first daemon that answers it; returns whether one did.
    pub fn heartbeat(&self) -> bool {
        if self.cut.load(Ordering::SeqCst) {
            return false;
        }
        let body = {
            let mut state = self.state.lock().unwrap();
            state.sequence += 1;
            format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"{}\",\"cold_left_ms\":0,\"room\":{{\"cpu\":{},\"mem_mb\":131072,\"gpu\":0}},\
                 \"labels\":[\"a\",\"r1-1\"],\"machine\":\"m-{}\",\"born\":{},\"clock_ms\":{},\"sequence\":{}}}",
                self.config.service,
                self.config.address,
                self.config.zone,
                if state.draining { "draining" } else { "ready" },
                self.config.cpu,
                self.config.id,
                self.born,
                self.clock(),
                state.sequence
            )
        };
        let preferred = *self.preferred.lock().unwrap();
        let others = self.config.control.iter().copied();
        let path = format!("/bronzespoke/instances/{}", self.config.id);
        for address in preferred.into_iter().chain(others) {
            if self.over.load(Ordering::SeqCst) {
                return false;
            }
            let answer = http::call(address, "PUT", &path, &[], &body, Duration::from_secs(1));
            if let Ok((status, _)) = &answer
                && (200..300).contains(status)
            {
                *self.preferred.lock().unwrap() = Some(address);
                return true;
            }
        }
        *self.preferred.lock().unwrap() = None;
        false
    }

    /// Reports that the minion drains; returns whether that was acknowledged.
    pub fn drain(&self) -> bool {
        self.state.lock().unwrap().draining = true;
        let acknowledged = self.heartbeat();
        record::line(&format!(
            "minion {} reports draining, acknowledged: {acknowledged}",
            self.config.id
        ));
        acknowledged
    }

    pub fn running(&self) -> Vec<String> {
        self.state.lock().unwrap().active.keys().cloned().collect()
    }

    /// Ends this life: everything that runs terminates.
    pub fn end(&self) {
        self.over.store(true, Ordering::SeqCst);
        if let Some(server) = self.server.lock().unwrap().as_ref() {
            server.close();
        }
        let mut state = self.state.lock().unwrap();
        let tasks: Vec<String> = state.active.keys().cloned().collect();
        for task in tasks {
            self.close(&mut state, &task, "gone");
        }
        record::line(&format!("minion {} ends", self.config.id));
    }

    fn close(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(active) = state.active.remove(task) else {
            return;
        };
        let number = state.next_end;
        state.next_end += 1;
        let row = (number, task.to_string(), active.run, how, active.row, false);
        state.ended.push(row);
        let closed = state.closed.entry(task.to_string()).or_default();
        *closed = (*closed).max(active.run);
        self.ledger.lock().unwrap()[active.row].ended = Some((record::now_ms(), how));
        record::line(&format!(
            "run ends: {task} run {} on {}: {how}",
            active.run, self.config.id
        ));
        self.changed.notify_all();
    }

    fn tick(&self) {
        let clock = self.clock();
        let mut state = self.state.lock().unwrap();
        let lapsed = clock > state.lease_end;
        if lapsed {
            state.ended.iter_mut().for_each(|ended| ended.5 = true);
        }
        let mut ends = Vec::new();
        for (task, active) in &state.active {
            let how = match active.stop_at {
                _ if lapsed => Some("lapsed"),
                Some(at) if clock >= at => Some("stopped"),
                None if clock >= active.done_at => Some("done"),
                _ => None,
            };
            ends.extend(how.map(|how| (task.clone(), how)));
        }
        for (task, how) in ends {
            self.close(&mut state, &task, how);
        }
    }

    fn serve(&self, request: &http::Request) -> (u16, String) {
        if self.cut.load(Ordering::SeqCst) {
            // The call is lost: its connection stays silent until the cut is over, and then ends.
            while self.cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
            return (http::SILENT, String::new());
        }
        if request.path.ends_with("/run-start") && self.crash_at_start.swap(false, Ordering::SeqCst) {
            self.end();
        }
        if self.over.load(Ordering::SeqCst) {
            return (http::SILENT, String::new());
        }
        let late = self.starts_late_ms.load(Ordering::SeqCst);
        if late > 0 && request.path.ends_with("/run-start") {
            self.hold_back(request, Duration::from_millis(late));
            return (http::SILENT, String::new());
        }
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.config.id) {
            return (421, format!("{{\"clock_ms\":{}}}", self.clock()));
        }
        let Some(body) = json::parse(&request.body) else {
            return (400, String::from("{}"));
        };
        let token = body.get("fencing_token").number().unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            if token < state.token {
                return self.refuse("fence");
            }
            state.token = token;
        }
        match request.path.as_str() {
            "/bronzespoke/run-start" => self.start_run(&body),
            "/bronzespoke/run-stop" => self.stop_run(&body),
            "/bronzespoke/hold" => {
                *self.held_at.lock().unwrap() = Some(Instant::now());
                let answer = self.hold(&body);
                if self.cut.load(Ordering::SeqCst) {
                    return (http::SILENT, String::new());
                }
                answer
            }
            _ => (404, String::from("{}")),
        }
    }

    /// Time until the lease of everything that runs here ends.
    pub fn lease_left(&self) -> Duration {
        let left = self.state.lock().unwrap().lease_end.saturating_sub(self.clock());
        Duration::from_millis(left)
    }

    /// Leaves an order unanswered and hands it on later.
    fn hold_back(&self, request: &http::Request, late: Duration) {
        let (address, id) = (self.config.address, self.config.id.clone());
        let (path, body) = (request.path.clone(), request.body.clone());
        record::line(&format!("order held back for {} ms: {path} {body}", late.as_millis()));
        thread::spawn(move || {
            thread::sleep(late);
            let headers = [("Expect-Instance", id.as_str())];
            let answer = http::call(address, "POST", &path, &headers, &body, Duration::from_secs(1));
            record::line(&format!("late order: {path} {body} -> {answer:?}"));
        });
        thread::sleep(Duration::from_secs(2));
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        let clock = self.clock();
        (409, format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"))
    }

    fn extend(&self, state: &mut State, deadline: Option<u64>) {
        if let Some(deadline) = deadline {
            let limit = self.clock() + MAX_HOLD_MS;
            state.lease_end = state.lease_end.max(deadline.min(limit));
        }
    }

    fn start_run(&self, body: &json::Value) -> (u16, String) {
        let (Some(task), Some(run)) = (body.get("task").text(), body.get("run").number()) else {
            return (400, String::from("{}"));
        };
        let deadline = body.get("deadline_ms").number();
        let clock = self.clock();
        let mut state = self.state.lock().unwrap();
        if state.active.get(task).is_some_and(|active| active.run == run) {
            self.extend(&mut state, deadline);
            return (200, format!("{{\"clock_ms\":{clock}}}"));
        }
        if deadline.is_none_or(|deadline| deadline < clock) {
            return self.refuse("late");
        }
        self.extend(&mut state, deadline);
        let is_old = state.closed.get(task).is_some_and(|closed| run <= *closed)
            || state.active.get(task).is_some_and(|active| run < active.run);
        if is_old {
            return self.refuse("old");
        }
        let spec = body.get("spec").text().unwrap_or_default();
        let field = |name: &str| {
            let mut fields = spec.split(' ').filter_map(|field| field.split_once('='));
            fields.find(|(known, _)| *known == name)?.1.parse::<u64>().ok()
        };
        let work = field("work_ms").unwrap_or(1_000);
        let cpu = field("cpu").unwrap_or(0);
        let used: u64 = state.active.values().map(|active| active.cpu).sum();
        let mut ledger = self.ledger.lock().unwrap();
        let row = ledger.len();
        ledger.push(Run {
            task: task.to_string(),
            run,
            minion: format!("{} (born {})", self.config.id, self.born),
            over_room: used + cpu > self.config.cpu,
            begun_ms: record::now_ms(),
            ended: None,
            noted_ms: None,
        });
        drop(ledger);
        record::line(&format!("run starts: {task} run {run} on {}", self.config.id));
        state.active.insert(
            task.to_string(),
            Active {
                run,
                cpu,
                row,
                done_at: clock + work,
                stop_at: None,
            },
        );
        (200, format!("{{\"clock_ms\":{clock}}}"))
    }

    fn stop_run(&self, body: &json::Value) -> (u16, String) {
        let (Some(task), Some(run)) = (body.get("task").text(), body.get("run").number()) else {
            return (400, String::from("{}"));
        };
        let clock = self.clock();
        let mut state = self.state.lock().unwrap();
        record::line(&format!("stop arrives: {task} run {run} at {}", self.config.id));
        if let Some(active) = state.active.get_mut(task).filter(|active| active.run <= run) {
            active.stop_at.get_or_insert(clock + STOP_MS);
        } else {
            let closed = state.closed.entry(task.to_string()).or_default();
            *closed = (*closed).max(run);
        }
        (200, format!("{{\"clock_ms\":{clock}}}"))
    }

    fn hold(&self, body: &json::Value) -> (u16, String) {
        let cursor = body.get("ack_cursor").number().unwrap_or(0);
        let wait = body.get("wait_ms").number().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        self.extend(&mut state, body.get("deadline_ms").number());
        for (number, _, _, _, row, lapsed) in &state.ended {
            if *number <= cursor && !lapsed {
                self.ledger.lock().unwrap()[*row].noted_ms = Some(record::now_ms());
            }
        }
        state.ended.retain(|(number, ..)| *number > cursor);
        while state.ended.is_empty() && !self.over.load(Ordering::SeqCst) {
            let now = Instant::now();
            if now >= until {
                break;
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
        let clock = self.clock();
        let running: Vec<String> = state
            .active
            .iter()
            .map(|(task, active)| {
                let work = active.done_at.saturating_sub(clock);
                let percent = 100_u64.saturating_sub(work.min(20_000) / 200).min(99);
                format!("[\"{task}\",{},\"\",{percent},0]", active.run)
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how, ..)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        record::line(&format!(
            "hold at {}: ends up to {cursor} noted; {} runs and {} of {} ends listed",
            self.config.id,
            running.len(),
            ended.len(),
            state.ended.len()
        ));
        let body = format!(
            "{{\"clock_ms\":{clock},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.born,
            running.join(","),
            ended.join(",")
        );
        (200, body)
    }
}

/// Returns pairs of runs of one task that were at work at the same time, with the length of the overlap in ms.
pub fn overlaps(ledger: &Ledger) -> Vec<(Run, Run, u64)> {
    let runs = ledger.lock().unwrap().clone();
    let now = record::now_ms();
    let mut found = Vec::new();
    for (index, first) in runs.iter().enumerate() {
        for second in &runs[index + 1..] {
            if first.task != second.task {
                continue;
            }
            let end = |run: &Run| run.ended.map_or(now, |(at, _)| at);
            let begin = first.begun_ms.max(second.begun_ms);
            let length = end(first).min(end(second)).saturating_sub(begin);
            if length > 0 {
                found.push((first.clone(), second.clone(), length));
            }
        }
    }
    found
}

/// Returns the runs that began after an earlier run of their task had ended `done`, where that end was taken note of.
pub fn repeats(ledger: &Ledger) -> Vec<(Run, Run)> {
    let runs = ledger.lock().unwrap().clone();
    let mut found = Vec::new();
    for first in &runs {
        let Some((ended_ms, "done")) = first.ended else { continue };
        if first.noted_ms.is_none() {
            continue;
        }
        let later = runs.iter().filter(|run| run.task == first.task && run.run > first.run);
        found.extend(later.filter(|run| run.begun_ms > ended_ms).map(|run| (first.clone(), run.clone())));
    }
    found
}

/// Returns the number of starts that brought a minion over its room.
pub fn over_room(ledger: &Ledger) -> usize {
    ledger.lock().unwrap().iter().filter(|run| run.over_room).count()
}
