//! Common part of the stand-ins of the review's cases: an HTTP server and client, a JSON reader, workers, the daemons
//! as processes, and the record of what was seen. Uses the standard library only.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File},
    io::{BufRead, BufReader, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Exit status if the rule was kept.
pub const KEPT: i32 = 0;
/// Exit status if the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status if the case could not run.
pub const NOT_RUN: i32 = 2;

/// Number of daemons with a disk.
pub const CORES: usize = 3;

/// Time after which a task that lasts is at work.
const STARTUP_MS: u64 = 200;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---- JSON ----

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = Self::value(bytes, &mut at)?;
        Self::blank(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    fn blank(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Self::blank(bytes, at);
        match bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut map = Vec::new();
                loop {
                    Self::blank(bytes, at);
                    match bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Map(map));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Text(name) = Self::value(bytes, at)? else { return None };
                            Self::blank(bytes, at);
                            if bytes.get(*at)? != &b':' {
                                return None;
                            }
                            *at += 1;
                            map.push((name, Self::value(bytes, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::blank(bytes, at);
                    match bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match bytes.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Json::Text(String::from_utf8(text).ok()?));
                        }
                        b'\\' => {
                            let escaped = *bytes.get(*at + 1)?;
                            *at += 2;
                            match escaped {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'r' => text.push(b'\r'),
                                b'u' => {
                                    let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                    let code = u32::from_str_radix(digits, 16).ok()?;
                                    *at += 4;
                                    let mut buffer = [0; 4];
                                    text.extend(char::from_u32(code)?.encode_utf8(&mut buffer).bytes());
                                }
                                other => text.push(other),
                            }
                        }
                        byte => {
                            text.push(*byte);
                            *at += 1;
                        }
                    }
                }
            }
            b't' => Self::word(bytes, at, "true", Json::Bool(true)),
            b'f' => Self::word(bytes, at, "false", Json::Bool(false)),
            b'n' => Self::word(bytes, at, "null", Json::Null),
            _ => {
                let begin = *at;
                while bytes.get(*at).is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte)) {
                    *at += 1;
                }
                let text = std::str::from_utf8(&bytes[begin..*at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
        bytes[*at..].starts_with(word.as_bytes()).then(|| {
            *at += word.len();
            value
        })
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(map) => map.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

/// Returns a text as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' | '\\' => {
                out.push('\\');
                out.push(letter);
            }
            _ => out.push(letter),
        }
    }
    out.push('"');
    out
}

// ---- Record ----

/// What was sent, answered and run, with the time since the start of the case in milliseconds.
#[derive(Debug, Clone)]
pub struct Record {
    origin: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Option<Self> {
        let file = File::create(path).ok()?;
        Some(Self {
            origin: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    pub fn now(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.now());
        let mut file = lock(&self.file);
        let _ = file.write_all(line.as_bytes());
        let _ = file.flush();
    }
}

// ---- HTTP ----

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: String,
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim();
        if line.is_empty() {
            return Some((String::from(first.trim()), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), String::from(value.trim()));
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &HashMap<String, String>) -> Option<String> {
    let length: usize = headers.get("content-length").map_or(Some(0), |text| text.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// Serves requests on a listener. A handler that returns `None` closes the connection without an answer.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(Request) -> Option<(u16, String)> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some((first, headers)) = read_head(&mut reader) {
                    let Some(body) = read_body(&mut reader, &headers) else { return };
                    let mut words = first.split(' ');
                    let request = Request {
                        method: String::from(words.next().unwrap_or_default()),
                        path: String::from(words.next().unwrap_or_default()),
                        headers,
                        body,
                    };
                    let Some((status, body)) = handler(request) else { return };
                    let text = format!(
                        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if writer.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends a request on a new connection; `None` if no complete answer arrives in time. The connection is closed then.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout_ms: u64,
) -> Option<(u16, String)> {
    let timeout = Duration::from_millis(timeout_ms);
    let until = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let mut text = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text += &format!("host: {address}\r\n");
    }
    if !body.is_empty() {
        text += "content-type: application/json\r\n";
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    text += body;
    (&stream).write_all(text.as_bytes()).ok()?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, body))
}

// ---- Workers ----

#[derive(Debug, Clone)]
pub struct Run {
    pub run: u64,
    pub spec: String,
    pub started: u64,
    pub lasts: u64,
    /// Whether the run fails at its end.
    pub fails: bool,
    pub stops_at: Option<u64>,
}

#[derive(Debug, Default)]
pub struct Life {
    pub token: u64,
    pub lease_end: u64,
    pub runs: BTreeMap<String, Run>,
    pub ended: Vec<(u64, String, u64, &'static str)>,
    pub next_end: u64,
    pub highest: HashMap<String, u64>,
    pub sequence: u64,
}

/// A start, stop or end as a worker saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    pub at: u64,
    pub worker: String,
    pub task: String,
    pub run: u64,
    /// `start`, or how the run ended.
    pub what: &'static str,
}

/// A worker as the platform's pages describe it. The run time of a task is the number after `ms=` in its spec; a task
/// of step N takes the time after `msN=` if there is one.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    /// Address that the worker announces.
    pub address: SocketAddr,
    /// Start of its life in milliseconds since the Unix epoch.
    pub born: Arc<AtomicU64>,
    pub labels: Vec<String>,
    pub room_cpu: u64,
    /// Start of its clock.
    origin: Arc<Mutex<Instant>>,
    pub life: Arc<Mutex<Life>>,
    pub record: Record,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub stop_ms: u64,
    pub beats: Arc<AtomicBool>,
    /// Whether the worker is without power: requests get no answer and have no effect.
    pub dark: Arc<AtomicBool>,
    /// Whether the worker's process has crashed: connections are closed.
    pub down: Arc<AtomicBool>,
}

fn run_time(spec: &str, task: &str) -> u64 {
    let step = task.split('.').nth(2).unwrap_or("0");
    let find = |name: &str| {
        spec.split(';').find_map(|part| part.strip_prefix(name)).and_then(|text| text.parse().ok())
    };
    find(&format!("ms{step}=")).or_else(|| find("ms=")).unwrap_or(100)
}

/// Returns how long a task that lasts works until it fails: a number of milliseconds between the two after `fails=` in
/// the spec that depends on the task and its run only.
fn life_time(spec: &str, task: &str, run: u64) -> Option<u64> {
    let range = spec.split(';').find_map(|part| part.strip_prefix("fails="))?;
    let (least, most) = range.split_once('-')?;
    let (least, most): (u64, u64) = (least.parse().ok()?, most.parse().ok()?);
    // FNV-1a.
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in task.bytes().chain(run.to_le_bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    Some(least + (hash >> 20) % (most - least + 1))
}

impl Worker {
    /// Starts a worker that sends its heartbeats to the daemons with `controls`.
    pub fn start(
        id: &str,
        ip: IpAddr,
        rack: &str,
        controls: &[SocketAddr],
        record: &Record,
        seen: &Arc<Mutex<Vec<Seen>>>,
    ) -> Option<Self> {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).ok()?;
        let address = listener.local_addr().ok()?;
        Self::start_behind(id, listener, address, rack, controls, record, seen)
    }

    /// Starts a worker that announces another address than the one at which it listens, that of a proxy.
    pub fn start_behind(
        id: &str,
        listener: TcpListener,
        address: SocketAddr,
        rack: &str,
        controls: &[SocketAddr],
        record: &Record,
        seen: &Arc<Mutex<Vec<Seen>>>,
    ) -> Option<Self> {
        let worker = Self {
            id: String::from(id),
            address,
            born: Arc::new(AtomicU64::new(unix_ms())),
            labels: vec![String::from("a"), String::from(rack)],
            room_cpu: 16_000,
            origin: Arc::new(Mutex::new(Instant::now())),
            life: Arc::new(Mutex::new(Life {
                next_end: 1,
                ..Life::default()
            })),
            record: record.clone(),
            seen: Arc::clone(seen),
            stop_ms: 300,
            beats: Arc::new(AtomicBool::new(true)),
            dark: Arc::default(),
            down: Arc::default(),
        };
        let served = worker.clone();
        serve(listener, move |request| served.handle(&request));
        let ticked = worker.clone();
        thread::spawn(move || {
            loop {
                ticked.tick();
                sleep_ms(10);
            }
        });
        let beating = worker.clone();
        let controls = controls.to_vec();
        thread::spawn(move || {
            let mut next = 0;
            loop {
                while !beating.beats.load(Ordering::Relaxed) {
                    sleep_ms(10);
                }
                {
                    let path = format!("/bronzespoke/instances/{}", beating.id);
                    for _ in 0..controls.len() {
                        let body = beating.heartbeat();
                        let answer = call(controls[next % controls.len()], "PUT", &path, &[], &body, 1_000);
                        if answer.is_some_and(|(status, _)| status == 200) {
                            break;
                        }
                        next += 1;
                    }
                }
                sleep_ms(1_500);
            }
        });
        Some(worker)
    }

    pub fn clock(&self) -> u64 {
        1_000 + lock(&self.origin).elapsed().as_millis() as u64
    }

    pub fn heartbeat(&self) -> String {
        let mut life = lock(&self.life);
        life.sequence += 1;
        let labels: Vec<String> = self.labels.iter().map(|label| quoted(label)).collect();
        format!(
            "{{\"service\":\"returns\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"room\":{{\"cpu\":{},\"mem_mb\":65536,\"gpu\":0}},\
             \"labels\":[{}],\"machine\":\"m-{}\",\"clock_ms\":{},\"sequence\":{},\"born\":{}}}",
            self.address,
            self.room_cpu,
            labels.join(","),
            self.id,
            self.clock(),
            life.sequence,
            self.born.load(Ordering::Relaxed)
        )
    }

    fn see(&self, task: &str, run: u64, what: &'static str) {
        self.record.note(&format!("worker {} task {task} run {run}: {what}", self.id));
        lock(&self.seen).push(Seen {
            at: self.record.now(),
            worker: self.id.clone(),
            task: String::from(task),
            run,
            what,
        });
    }

    /// Takes the power away for good: all runs end, and nobody hears of it.
    pub fn lose_power(&self) {
        self.record.note(&format!("worker {} loses its power for good", self.id));
        self.dark.store(true, Ordering::Relaxed);
        self.beats.store(false, Ordering::Relaxed);
        lock(&self.life).runs.clear();
    }

    fn tick(&self) {
        let clock = self.clock();
        if self.dark.load(Ordering::Relaxed) || self.down.load(Ordering::Relaxed) {
            return;
        }
        let mut life = lock(&self.life);
        let expired = clock > life.lease_end;
        let due: Vec<(String, u64, &'static str)> = life
            .runs
            .iter()
            .filter_map(|(task, run)| {
                let how = if run.stops_at.is_some_and(|at| clock >= at) {
                    "stopped"
                } else if clock >= run.started + run.lasts && run.fails {
                    "failed"
                } else if clock >= run.started + run.lasts {
                    "done"
                } else if expired {
                    "lapsed"
                } else {
                    return None;
                };
                Some((task.clone(), run.run, how))
            })
            .collect();
        for (task, run, how) in due {
            life.runs.remove(&task);
            let highest = life.highest.entry(task.clone()).or_default();
            *highest = (*highest).max(run);
            let number = life.next_end;
            life.next_end += 1;
            life.ended.push((number, task.clone(), run, how));
            self.see(&task, run, how);
        }
    }

    fn conflict(&self, reason: &str) -> Option<(u16, String)> {
        Some((409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock())))
    }

    fn extend(&self, life: &mut Life, deadline: u64) {
        life.lease_end = life.lease_end.max(deadline.min(self.clock() + 10_000));
    }

    /// Ends the worker's life; its runs end with it.
    pub fn crash(&self) {
        self.down.store(true, Ordering::Relaxed);
        self.beats.store(false, Ordering::Relaxed);
        let runs = std::mem::take(&mut lock(&self.life).runs);
        self.record.note(&format!("worker {} crashes", self.id));
        for (task, run) in runs {
            self.see(&task, run.run, "crashed");
        }
    }

    /// Starts the next life under the same id. It knows nothing of before, and sends its first heartbeat after a time.
    pub fn start_again(&self, beats_after_ms: u64) {
        *lock(&self.life) = Life {
            next_end: 1,
            ..Life::default()
        };
        *lock(&self.origin) = Instant::now();
        self.born.store(unix_ms(), Ordering::Relaxed);
        self.down.store(false, Ordering::Relaxed);
        self.record.note(&format!("worker {} starts again under its id", self.id));
        let beats = Arc::clone(&self.beats);
        thread::spawn(move || {
            sleep_ms(beats_after_ms);
            beats.store(true, Ordering::Relaxed);
        });
    }

    fn handle(&self, request: &Request) -> Option<(u16, String)> {
        if self.down.load(Ordering::Relaxed) {
            return None;
        }
        if self.dark.load(Ordering::Relaxed) {
            self.record.note(&format!("worker {} has no power; {} {} is lost", self.id, request.path, request.body));
            sleep_ms(60_000);
            return None;
        }
        if request.method == "GET" && request.path == "/health" {
            return Some((200, String::from("{}")));
        }
        if request.headers.get("expect-instance").is_some_and(|name| *name != self.id) {
            return Some((421, String::from("{}")));
        }
        let body = Json::parse(&request.body)?;
        let token = body.get("fencing_token").number().unwrap_or(0);
        let task = body.get("task").text();
        let run = body.get("run").number().unwrap_or(0);
        let mut life = lock(&self.life);
        if token < life.token {
            drop(life);
            self.record.note(&format!("worker {} refuses {} {task} as fenced", self.id, request.path));
            return self.conflict("fence");
        }
        life.token = token;
        let clock = self.clock();
        match request.path.as_str() {
            "/bronzespoke/run-start" => {
                let deadline = body.get("deadline_ms").number()?;
                if life.runs.get(task).is_some_and(|known| known.run == run) {
                    return Some((200, format!("{{\"clock_ms\":{clock}}}")));
                }
                if life.highest.get(task).is_some_and(|highest| run <= *highest) {
                    self.extend(&mut life, deadline);
                    drop(life);
                    return self.conflict("old");
                }
                if deadline <= clock {
                    drop(life);
                    return self.conflict("late");
                }
                self.extend(&mut life, deadline);
                let spec = String::from(body.get("spec").text());
                life.runs.insert(
                    String::from(task),
                    Run {
                        run,
                        lasts: life_time(&spec, task, run).unwrap_or_else(|| run_time(&spec, task)),
                        fails: life_time(&spec, task, run).is_some(),
                        spec,
                        started: clock,
                        stops_at: None,
                    },
                );
                self.see(task, run, "start");
                Some((200, format!("{{\"clock_ms\":{clock}}}")))
            }
            "/bronzespoke/run-stop" => {
                let highest = life.highest.entry(String::from(task)).or_default();
                *highest = (*highest).max(run);
                let stop_ms = self.stop_ms;
                if let Some(known) = life.runs.get_mut(task).filter(|known| known.run <= run) {
                    known.stops_at.get_or_insert(clock + stop_ms);
                    self.record.note(&format!("worker {} is told to stop {task} run {run}", self.id));
                }
                Some((200, format!("{{\"clock_ms\":{clock}}}")))
            }
            "/bronzespoke/hold" => {
                let cursor = body.get("ack_cursor").number().unwrap_or(0);
                life.ended.retain(|(number, ..)| *number > cursor);
                if let Some(deadline) = body.get("deadline_ms").number() {
                    self.extend(&mut life, deadline);
                }
                drop(life);
                let wait = body.get("wait_ms").number().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                while Instant::now() < until && lock(&self.life).ended.is_empty() {
                    if self.down.load(Ordering::Relaxed) {
                        return None;
                    }
                    sleep_ms(5);
                }
                if self.dark.load(Ordering::Relaxed) {
                    sleep_ms(60_000);
                    return None;
                }
                Some((200, self.report()))
            }
            _ => Some((404, String::from("{}"))),
        }
    }

    fn report(&self) -> String {
        let clock = self.clock();
        let life = lock(&self.life);
        let running: Vec<String> = life
            .runs
            .iter()
            .map(|(task, run)| {
                // A task that lasts is at work, and says so with 100, after a short startup.
                let percent = match run.spec.contains("lasting") {
                    true if clock < run.started + STARTUP_MS => 0,
                    true => 100,
                    false => ((clock - run.started) * 100 / run.lasts.max(1)).min(99),
                };
                format!("[\"{task}\",{},\"\",{percent},0]", run.run)
            })
            .collect();
        let ended: Vec<String> = life
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        format!(
            "{{\"clock_ms\":{clock},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.born.load(Ordering::Relaxed),
            running.join(","),
            ended.join(",")
        )
    }
}

// ---- Daemons ----

static FOLDERS: AtomicU64 = AtomicU64::new(0);

/// The daemons of a small deployment, each a process with its own loopback address.
pub struct Cell {
    root: PathBuf,
    pub folder: PathBuf,
    children: Vec<Option<Child>>,
    net: (u8, u8),
    peer_port: u16,
    control_port: u16,
    front_port: u16,
    ready_port: u16,
    pub record: Record,
}

fn free_port(taken: &mut Vec<u16>, net: (u8, u8)) -> u16 {
    loop {
        let port = TcpListener::bind(SocketAddr::new(ip_of(net, 1), 0))
            .and_then(|listener| listener.local_addr())
            .map_or(20_000, |address| address.port());
        if port < 65_000 && taken.iter().all(|other| port.abs_diff(*other) > 20) {
            taken.push(port);
            return port;
        }
    }
}

fn ip_of(net: (u8, u8), number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, number))
}

impl Cell {
    /// Starts three daemons with disks and `fronts` others.
    pub fn start(fronts: usize, record: &Record) -> Self {
        let pid = std::process::id();
        let net = (64 + (pid % 128) as u8, 1 + (pid / 128 % 250) as u8);
        let mut taken = Vec::new();
        let root = std::env::current_dir().expect("the repository's root is the current folder");
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("bronzespoke-review-{pid}-{number}"));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let mut cell = Self {
            root,
            folder,
            children: (0..CORES + fronts).map(|_| None).collect(),
            net,
            peer_port: free_port(&mut taken, net),
            control_port: free_port(&mut taken, net),
            front_port: free_port(&mut taken, net),
            ready_port: free_port(&mut taken, net),
            record: record.clone(),
        };
        for daemon in 0..CORES + fronts {
            cell.configure(daemon, true);
            cell.spawn(daemon);
        }
        cell
    }

    pub fn ip(&self, number: usize) -> IpAddr {
        ip_of(self.net, number as u8 + 1)
    }

    pub fn control(&self, daemon: usize) -> SocketAddr {
        SocketAddr::new(self.ip(daemon), self.control_port)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..CORES).map(|daemon| self.control(daemon)).collect()
    }

    /// Returns the address for clients of a daemon without a disk; they are counted from 0.
    pub fn front(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.ip(CORES + number), self.front_port)
    }

    fn configure(&self, daemon: usize, bootstrap: bool) {
        let ip = self.ip(daemon);
        let is_core = daemon < CORES;
        let seeds: Vec<String> = (0..CORES).map(|seed| format!("\"{}\"", self.control(seed))).collect();
        let class = if is_core { "core" } else { "edge" };
        let serves = if is_core { "control" } else { "edge" };
        let data = if is_core {
            format!("data_dir = \"{}\"\n", self.folder.join(format!("data-{daemon}")).display())
        } else {
            String::new()
        };
        let listen = if is_core {
            format!("control = \"{}\"", self.control(daemon))
        } else {
            format!("front = \"{ip}:{}\"\nready = \"{ip}:{}\"", self.front_port, self.ready_port)
        };
        let memory = if is_core { 256 } else { 260 };
        let text = format!(
            "node_name = \"{class}-{daemon}\"\nrole = \"{class}\"\nmachine_class = \"{class}\"\n\
             serves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"a\"\nregion = \"r\"\nport_range = [{},{}]\n\
             seeds = [{}]\nbootstrap = {bootstrap}\nfault_counted = {is_core}\n{data}discovery = \"registration\"\n\
             entry = \"vip\"\nheartbeat_ms = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\",\"quota\"]\n\
             config_mode = \"highest\"\norders = \"push\"\n[zones]\na = \"r\"\n[listen]\n{listen}\n\
             [limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = {memory}\nmax_fds = 4096\nlink_mbps = 1000.0\n\
             disk_mb = 128\n[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseed_lag_s = 3\n\
             contact_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\ndrain_ms = 2500\ngrace_s = 6\n\
             config_apply_ms = 2500\nrevoke_strict = true\nrevoke_ms = 5000\nrecovery_s = 12\n\
             max_hold_ms = 10000\nstop_timeout_ms = 900\ngang_wait_ms = 3000\ncancel_ms = 3000\n\
             visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nremote_penalty = 3\n\
             checkpoint_interval_s = 0.5\nrestore_ms = 100\n",
            self.peer_port,
            self.peer_port + 15,
            seeds.join(","),
        );
        fs::write(self.settings(daemon), text).expect("the settings can be written");
    }

    fn settings(&self, daemon: usize) -> PathBuf {
        self.folder.join(format!("boot-{daemon}.toml"))
    }

    fn log(&self, daemon: usize) -> PathBuf {
        self.folder.join(format!("daemon-{daemon}.log"))
    }

    fn spawn(&mut self, daemon: usize) {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.log(daemon));
        let log = log.expect("the log can be opened");
        let errors = log.try_clone().expect("the log can be opened");
        let child = Command::new(self.root.join("target/release/bronzespoked"))
            .arg("fleet")
            .current_dir(&self.root)
            .env("BRONZESPOKE_SETTINGS", self.settings(daemon))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => self.children[daemon] = Some(child),
            Err(error) => {
                self.record.note(&format!("daemon {daemon} cannot be started: {error}"));
                finish(self, NOT_RUN);
            }
        }
    }

    /// Sends a signal to a daemon.
    pub fn signal(&self, daemon: usize, name: &str) {
        if let Some(child) = &self.children[daemon] {
            self.record.note(&format!("daemon {daemon} gets SIG{name}"));
            let _ = Command::new("kill").args([format!("-{name}"), child.id().to_string()]).status();
        }
    }

    pub fn kill(&mut self, daemon: usize) {
        if let Some(mut child) = self.children[daemon].take() {
            self.record.note(&format!("daemon {daemon} is killed"));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts a daemon again that was killed.
    pub fn restart(&mut self, daemon: usize) {
        self.record.note(&format!("daemon {daemon} is started again"));
        self.configure(daemon, false);
        self.spawn(daemon);
    }

    /// Returns the daemon that was the last to log that it leads. Used only to choose the victim of a disruption.
    pub fn leader(&self) -> Option<usize> {
        let terms = (0..CORES).filter_map(|daemon| {
            let log = fs::read_to_string(self.log(daemon)).unwrap_or_default();
            let newest = log.rsplit_once("belief=term_begun token=")?.1;
            let token: u64 = newest.split_whitespace().next()?.parse().ok()?;
            Some((token, daemon))
        });
        terms.max().map(|(_, daemon)| daemon)
    }

    fn end(&mut self) {
        for child in &mut self.children {
            if let Some(mut child) = child.take() {
                // A stopped process ends at SIGKILL as well.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.end();
    }
}

/// Ends all processes of the case and this one.
pub fn finish(cell: &mut Cell, status: i32) -> ! {
    cell.record.note(&format!("exit status {status}"));
    cell.end();
    std::process::exit(status);
}

// ---- Operator and clients ----

pub const HOST: &str = "office.example";
pub const PREFIX: &str = "/assay/";
pub const KEY: &str = "6x73d3zji9n73hh2b9wu";

/// Prefix of the second queue.
pub const LESS_URGENT: &str = "/manifest/";

/// Returns a configuration with two queues, of priority 0 and 2, and one tenant.
pub fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"{PREFIX}\",\
         \"kind\":\"unsafe\",\"timeout_ms\":3000,\"latency_slo_ms\":1200,\"priority\":0,\"service\":\"returns\",\
         \"max_attempts\":3,\"stretch\":2.2,\"public\":false}},\
         {{\"name\":\"r-2\",\"host\":\"{HOST}\",\"path_prefix\":\"{LESS_URGENT}\",\
         \"kind\":\"unsafe\",\"timeout_ms\":3000,\"latency_slo_ms\":3000,\"priority\":2,\"service\":\"returns\",\
         \"max_attempts\":3,\"stretch\":4.0,\"public\":false}}],\"services\":[{{\"name\":\"returns\",\
         \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"admission_control\":false,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"parish\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\"weight\":1,\
         \"maximum\":{{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}}}]}}"
    )
}

/// Sends a configuration until it is acknowledged; the daemons are tried in turn.
pub fn configure(cell: &mut Cell, version: u64) {
    let begun = Instant::now();
    let body = configuration(version);
    let mut next = 0;
    while begun.elapsed() < Duration::from_secs(20) {
        let address = cell.control(next % CORES);
        let answer = call(address, "PUT", "/bronzespoke/config", &[], &body, 1_000);
        if answer.as_ref().is_some_and(|(status, _)| *status == 200) {
            cell.record.note(&format!("configuration {version} is acknowledged"));
            return;
        }
        next += 1;
        sleep_ms(200);
    }
    cell.record.note("the configuration is not acknowledged");
    finish(cell, NOT_RUN);
}

/// Sends a client's request about a job of the first queue and records it with its answer.
pub fn client(
    record: &Record,
    front: SocketAddr,
    method: &str,
    id: &str,
    body: &str,
    leaves_after_ms: u64,
) -> Option<(u16, String)> {
    client_of(record, front, method, PREFIX, id, body, leaves_after_ms)
}

/// Sends a client's request about a job of a queue and records it with its answer.
pub fn client_of(
    record: &Record,
    front: SocketAddr,
    method: &str,
    prefix: &str,
    id: &str,
    body: &str,
    leaves_after_ms: u64,
) -> Option<(u16, String)> {
    let path = format!("{prefix}{id}");
    let bearer = format!("Bearer {KEY}");
    let headers = [("host", HOST), ("authorization", bearer.as_str()), ("deadline-ms", "3000")];
    record.note(&format!("client sends {method} {path} to {front} {body}"));
    let answer = call(front, method, &path, &headers, body, leaves_after_ms);
    match &answer {
        Some((status, text)) => record.note(&format!("client gets {status} {text} for {method} {path}")),
        None => record.note(&format!("client has no answer to {method} {path} and has closed the connection")),
    }
    answer
}

/// Waits until a job completes; ends the case if it does not.
pub fn warm_up(cell: &mut Cell, id: &str) {
    let record = cell.record.clone();
    let body = "{\"spec\":\"ms=100\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":256,\"est_runtime_ms\":100}]}";
    let begun = Instant::now();
    let mut accepted = false;
    while begun.elapsed() < Duration::from_secs(25) {
        if !accepted {
            accepted = client(&record, cell.front(0), "POST", id, body, 3_000).is_some_and(|answer| answer.0 == 200);
        } else if client(&record, cell.front(0), "GET", id, "", 3_000)
            .is_some_and(|(_, text)| text.contains("completed"))
        {
            return;
        }
        sleep_ms(300);
    }
    record.note("the first job does not complete");
    finish(cell, NOT_RUN);
}

/// Returns whether the case is to be run with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the process after a time, whatever it waits for.
pub fn watch(seconds: u64, pids: Vec<u32>) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        for pid in pids {
            let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
        }
        std::process::exit(NOT_RUN);
    });
}

impl Cell {
    pub fn pids(&self) -> Vec<u32> {
        self.children.iter().flatten().map(Child::id).collect()
    }
}
