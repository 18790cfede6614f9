//! Parts that every case shares: a small cell of real daemons, an HTTP client and server, JSON, a recorder.
//! Uses the standard library only.

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this program has started.
pub fn send(pid: i32, signal: i32) {
    if pid > 0 {
        unsafe { kill(pid, signal) };
    }
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns a number that differs from call to call.
pub fn draw() -> u64 {
    static STATE: Mutex<u64> = Mutex::new(0);
    let mut state = STATE.lock().unwrap();
    if *state == 0 {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |time| time.as_nanos() as u64);
        *state = nanos ^ (u64::from(std::process::id()) << 40);
    }
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut mixed = *state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Writes what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Recorder {
    begun: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Recorder {
    pub fn new() -> Self {
        Self { begun: Instant::now(), lines: Arc::default() }
    }

    pub fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }

    pub fn add(&self, text: impl Into<String>) {
        self.lines.lock().unwrap().push((self.begun.elapsed(), text.into()));
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:9.3} {text}", self.begun.elapsed().as_secs_f64());
        self.add(text);
    }

    pub fn write(&self, path: &Path, keep: impl Fn(&str) -> bool) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines.iter().filter(|(_, line)| keep(line)) {
            text.push_str(&format!("{:9.4} {line}\n", at.as_secs_f64()));
        }
        if let Err(error) = fs::write(path, text) {
            println!("the record can't be written: {error}");
        }
    }
}

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = Self::value(bytes, &mut at)?;
        Some(value)
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Self> {
        Self::skip(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut table = BTreeMap::new();
                loop {
                    Self::skip(bytes, at);
                    match *bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Self::Table(table));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Self::Text(name) = Self::value(bytes, at)? else { return None };
                            Self::skip(bytes, at);
                            if *bytes.get(*at)? != b':' {
                                return None;
                            }
                            *at += 1;
                            table.insert(name, Self::value(bytes, at)?);
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    match *bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Self::List(list));
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
                    match *bytes.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return String::from_utf8(text).ok().map(Self::Text);
                        }
                        b'\\' => {
                            *at += 1;
                            let escaped = *bytes.get(*at)?;
                            *at += 1;
                            match escaped {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'r' => text.push(b'\r'),
                                b'u' => {
                                    let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                    let code = u32::from_str_radix(digits, 16).ok()?;
                                    let mut buffer = [0; 4];
                                    let character = char::from_u32(code)?;
                                    text.extend(character.encode_utf8(&mut buffer).as_bytes());
                                    *at += 4;
                                }
                                other => text.push(other),
                            }
                        }
                        other => {
                            text.push(other);
                            *at += 1;
                        }
                    }
                }
            }
            _ => {
                let begin = *at;
                while bytes.get(*at).is_some_and(|byte| !b",]} \n\r\t".contains(byte)) {
                    *at += 1;
                }
                match std::str::from_utf8(&bytes[begin..*at]).ok()? {
                    "true" => Some(Self::Bool(true)),
                    "false" => Some(Self::Bool(false)),
                    "null" => Some(Self::Null),
                    number => number.parse().ok().map(Self::Number),
                }
            }
        }
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

/// A message of HTTP/1.1: first line, headers in lower case, body.
#[derive(Debug, Clone)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: String,
}

impl Message {
    pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Self> {
        let end = loop {
            if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            let mut piece = [0; 8192];
            match stream.read(&mut piece) {
                Ok(0) | Err(_) => return None,
                Ok(count) => buffer.extend_from_slice(&piece[..count]),
            }
        };
        let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let first = String::from(lines.next()?);
        let headers: HashMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), String::from(value.trim())))
            .collect();
        let length: usize = headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        while buffer.len() < end + 4 + length {
            let mut piece = [0; 8192];
            match stream.read(&mut piece) {
                Ok(0) | Err(_) => return None,
                Ok(count) => buffer.extend_from_slice(&piece[..count]),
            }
        }
        let body = String::from_utf8_lossy(&buffer[end + 4..end + 4 + length]).into_owned();
        buffer.drain(..end + 4 + length);
        Some(Self { first, headers, body })
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// An answer of a daemon: status and body; `None` if the connection ended or the time passed.
pub type Answer = Option<(u16, String)>;

/// Sends one request on a connection of its own.
pub fn request(to: SocketAddr, line: &str, headers: &str, body: &str, timeout: Duration) -> Answer {
    let mut stream = TcpStream::connect_timeout(&to, timeout.min(ms(1000))).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let text = format!(
        "{line} HTTP/1.1\r\n{headers}content-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let message = Message::read(&mut stream, &mut Vec::new())?;
    Some((message.status(), message.body))
}

/// What a daemon's log shows; used to aim a disruption only, never to judge.
#[derive(Default)]
struct Seen {
    term: u64,
    leader: usize,
}

/// One daemon: a process that is started with the command of the deploy file.
pub struct Daemon {
    pub name: String,
    pub control: Option<SocketAddr>,
    pub front: Option<SocketAddr>,
    settings: PathBuf,
    child: Option<Child>,
}

/// A small deployment on loopback addresses: machines with a disk first, then entry machines.
pub struct Cell {
    pub daemons: Vec<Daemon>,
    pub folder: PathBuf,
    pub net: [u8; 2],
    pub recorder: Recorder,
    program: PathBuf,
    seen: Arc<Mutex<Seen>>,
}

impl Cell {
    /// Starts `core` machines with a disk and `entry` machines without one.
    pub fn start(recorder: &Recorder, core: usize, entry: usize) -> Result<Self, String> {
        let root = std::env::var("REPOSITORY").map_err(|_| String::from("REPOSITORY isn't set"))?;
        let program = Path::new(&root).join("target/release/bronzespoked");
        if !program.exists() {
            return Err(format!("{} is missing; run the build of the deploy file", program.display()));
        }
        let folder = std::env::temp_dir().join(format!("review2-{}-{:x}", std::process::id(), draw()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let net = [(64 + draw() % 128) as u8, (1 + draw() % 250) as u8];
        let ip = |host: usize| IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], host as u8));
        // Ports are the same on all machines. All of them have to be free.
        let base = loop {
            let base = 21_000 + (draw() % 9_000) as u16;
            let free = |host: usize| (base..base + 20).all(|port| TcpListener::bind((ip(host), port)).is_ok());
            if (1..=core + entry).all(free) {
                break base;
            }
        };
        let control_port = base + 16;
        let seeds: Vec<String> = (1..=core.min(3)).map(|host| format!("\"{}:{control_port}\"", ip(host))).collect();
        let zones = ["z-1", "z-2", "z-3"];
        let mut daemons = Vec::new();
        for host in 1..=core + entry {
            let is_core = host <= core;
            let name = if is_core { format!("core-{host}") } else { format!("entry-{}", host - core) };
            let zone = zones[(host - 1) % 3];
            let mut text = format!(
                "node_name = \"{name}\"\nrole = \"{}\"\nmachine_class = \"{}\"\nserves = [\"{}\"]\nip = \"{}\"\nzone = \"{zone}\"\nregion = \"r-1\"\nport_range = [{base},{}]\nseeds = [{}]\nbootstrap = BOOTSTRAP\nfault_counted = {is_core}\ndiscovery = \"registration\"\nentry = \"vip\"\nheartbeat_ms = 1500\nconfig_mode = \"highest\"\norders = \"push\"\n",
                if is_core { "control" } else { "entry" },
                if is_core { "core" } else { "edge" },
                if is_core { "control" } else { "edge" },
                ip(host),
                base + 15,
                seeds.join(","),
            );
            let mut control = None;
            let mut front = None;
            if is_core {
                let data = folder.join(&name);
                fs::create_dir_all(&data).map_err(|error| error.to_string())?;
                text.push_str(&format!("data_dir = \"{}\"\n", data.display()));
                let address = SocketAddr::new(ip(host), control_port);
                text.push_str(&format!("[listen]\ncontrol = \"{address}\"\n"));
                control = Some(address);
            } else {
                let address = SocketAddr::new(ip(host), base + 17);
                let ready = SocketAddr::new(ip(host), base + 18);
                text.push_str(&format!("[listen]\nfront = \"{address}\"\nready = \"{ready}\"\n"));
                front = Some(address);
            }
            text.push_str("[zones]\nz-1 = \"r-1\"\nz-2 = \"r-1\"\nz-3 = \"r-1\"\n[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\ncontact_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\ndrain_ms = 2500\ngrace_s = 6\nconfig_apply_ms = 2500\nrevoke_strict = true\nrevoke_ms = 5000\nrecovery_s = 12\nmax_hold_ms = 10000\nstop_timeout_ms = 900\ngang_wait_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nremote_penalty = 2\ncheckpoint_interval_s = 1\nrestore_ms = 100\nlease_ms = 3000\n");
            let settings = folder.join(format!("{name}.toml"));
            fs::write(&settings, text.replace("BOOTSTRAP", "true")).map_err(|error| error.to_string())?;
            fs::write(settings.with_extension("later"), text.replace("BOOTSTRAP", "false"))
                .map_err(|error| error.to_string())?;
            daemons.push(Daemon { name, control, front, settings, child: None });
        }
        let mut cell = Self {
            daemons,
            folder,
            net,
            recorder: recorder.clone(),
            program,
            seen: Arc::default(),
        };
        for index in 0..cell.daemons.len() {
            cell.spawn(index)?;
        }
        // Only the first start of the whole system has this field set.
        thread::sleep(ms(1500));
        for daemon in &cell.daemons {
            fs::copy(daemon.settings.with_extension("later"), &daemon.settings).map_err(|error| error.to_string())?;
        }
        Ok(cell)
    }

    pub fn spawn(&mut self, index: usize) -> Result<(), String> {
        let root = std::env::var("REPOSITORY").unwrap_or_default();
        let daemon = &mut self.daemons[index];
        let log = self.folder.join(format!("{}.log", daemon.name));
        let file = fs::OpenOptions::new().create(true).append(true).open(&log).map_err(|error| error.to_string())?;
        let mut child = Command::new(&self.program)
            .arg("fleet")
            .current_dir(root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("BRONZESPOKE_SETTINGS", &daemon.settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|error| error.to_string())?;
        let outputs: Vec<Box<dyn Read + Send>> = vec![
            Box::new(child.stdout.take().unwrap()),
            Box::new(child.stderr.take().unwrap()),
        ];
        for output in outputs {
            let mut file = file.try_clone().map_err(|error| error.to_string())?;
            let seen = Arc::clone(&self.seen);
            thread::spawn(move || {
                use std::io::BufRead;
                for line in std::io::BufReader::new(output).lines().map_while(Result::ok) {
                    let _ = writeln!(file, "{line}");
                    let Some((_, rest)) = line.split_once("belief=term_begun token=") else { continue };
                    let term = rest.split(' ').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                    let mut seen = seen.lock().unwrap();
                    if term > seen.term {
                        *seen = Seen { term, leader: index };
                    }
                }
            });
        }
        self.recorder.add(format!("start of {} (pid {})", daemon.name, child.id()));
        daemon.child = Some(child);
        Ok(())
    }

    /// Returns the machine that seems to lead, and its term.
    pub fn leader(&self) -> (usize, u64) {
        let seen = self.seen.lock().unwrap();
        (seen.leader, seen.term)
    }

    pub fn pid(&self, index: usize) -> i32 {
        self.daemons[index].child.as_ref().map_or(0, |child| child.id() as i32)
    }

    pub fn signal(&self, index: usize, signal: i32) {
        let pid = self.pid(index);
        if pid > 0 {
            unsafe { kill(pid, signal) };
            self.recorder.add(format!("signal {signal} to {}", self.daemons[index].name));
        }
    }

    /// Waits for the end of a process that was killed or told to stop.
    pub fn reap(&mut self, index: usize) {
        if let Some(mut child) = self.daemons[index].child.take() {
            let _ = child.wait();
        }
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.daemons.iter().filter_map(|daemon| daemon.control).collect()
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.daemons.iter().filter_map(|daemon| daemon.front).collect()
    }

    pub fn keep_logs(&self, to: &Path) {
        for daemon in &self.daemons {
            let _ = fs::copy(self.folder.join(format!("{}.log", daemon.name)), to.join(format!("{}.log", daemon.name)));
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(child) = &mut daemon.child {
                unsafe { kill(child.id() as i32, SIGCONT) };
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The operator: sends a configuration until it is acknowledged or refused for good. Returns the time of the answer.
pub fn configure(recorder: &Recorder, controls: &[SocketAddr], version: u64, body: &str, first: usize) -> Option<u16> {
    for attempt in 0..40 {
        let to = controls[(first + attempt) % controls.len()];
        recorder.add(format!("operator: PUT configuration {version} to {to}"));
        let answer = request(to, "PUT /bronzespoke/config", "host: control\r\n", body, ms(1000));
        match answer {
            Some((status, _)) => {
                recorder.add(format!("operator: configuration {version} is answered with {status}"));
                if status == 200 || [400, 409, 412, 413, 422].contains(&status) {
                    return Some(status);
                }
            }
            None => recorder.add(format!("operator: no answer about configuration {version}")),
        }
        thread::sleep(ms(100 + 50 * attempt as u64));
    }
    None
}

#[derive(Debug, Clone)]
pub struct Running {
    pub run: u64,
    pub begun: Instant,
    pub length: Duration,
    pub stop_at: Option<Instant>,
}

#[derive(Debug, Clone)]
pub struct Ended {
    pub number: u64,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
}

/// What a minion holds during one life.
pub struct Life {
    pub born: u64,
    pub zero: Instant,
    pub fence: u64,
    pub deadline_ms: u64,
    pub running: BTreeMap<String, Running>,
    pub ended: Vec<Ended>,
    pub highest: HashMap<String, u64>,
    pub next_end: u64,
    pub sequence: u64,
    pub draining: bool,
}

impl Life {
    pub fn new() -> Self {
        Self {
            born: unix_ms(),
            zero: Instant::now(),
            fence: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            highest: HashMap::new(),
            next_end: 1,
            sequence: 0,
            draining: false,
        }
    }

    pub fn clock_ms(&self) -> u64 {
        // The clock of a minion starts anew with each life.
        1_000 + self.zero.elapsed().as_millis() as u64
    }

    pub fn end(&mut self, task: &str, how: &'static str) {
        if let Some(running) = self.running.remove(task) {
            let highest = self.highest.entry(String::from(task)).or_default();
            *highest = (*highest).max(running.run);
            self.ended.push(Ended { number: self.next_end, task: String::from(task), run: running.run, how });
            self.next_end += 1;
        }
    }

    /// Carries out what became due by time.
    pub fn advance(&mut self) -> Vec<(String, u64, &'static str)> {
        let now = Instant::now();
        let mut due = Vec::new();
        if !self.running.is_empty() && self.clock_ms() > self.deadline_ms {
            due = self.running.iter().map(|(task, running)| (task.clone(), running.run, "lapsed")).collect();
        }
        for (task, running) in &self.running {
            if due.iter().any(|(other, ..)| other == task) {
                continue;
            }
            if running.stop_at.is_some_and(|at| now >= at) {
                due.push((task.clone(), running.run, "stopped"));
            } else if running.stop_at.is_none() && now >= running.begun + running.length {
                due.push((task.clone(), running.run, "done"));
            }
        }
        for (task, _, how) in &due {
            self.end(task, how);
        }
        due
    }
}

/// A minion: takes orders as the pages say. What it begins and ends is recorded.
pub struct Minion {
    pub name: String,
    pub address: SocketAddr,
    pub pool: String,
    pub zone: String,
    pub rack: String,
    pub room: (u64, u64),
    pub life: Mutex<Life>,
    pub changed: Condvar,
    pub recorder: Recorder,
    /// Every start: task, run, time.
    pub starts: Arc<Mutex<Vec<(String, u64, Duration)>>>,
}

/// Length of a task's work, which the stand-ins write into the job's description.
fn length_of(spec: &str) -> Duration {
    let number = spec.split("work_ms=").nth(1).and_then(|rest| rest.split(' ').next());
    ms(number.and_then(|text| text.parse().ok()).unwrap_or(300))
}

impl Minion {
    pub fn start(
        recorder: &Recorder,
        name: &str,
        address: SocketAddr,
        pool: &str,
        starts: &Arc<Mutex<Vec<(String, u64, Duration)>>>,
    ) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        let minion = Arc::new(Self {
            name: String::from(name),
            address,
            pool: String::from(pool),
            zone: String::from("z-1"),
            rack: String::from("r1-1"),
            room: (64_000, 131_072),
            life: Mutex::new(Life::new()),
            changed: Condvar::new(),
            recorder: recorder.clone(),
            starts: Arc::clone(starts),
        });
        let server = Arc::clone(&minion);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let minion = Arc::clone(&server);
                thread::spawn(move || minion.serve(stream));
            }
        });
        let worker = Arc::clone(&minion);
        thread::spawn(move || loop {
            thread::sleep(ms(10));
            let mut life = worker.life.lock().unwrap();
            let ended = life.advance();
            drop(life);
            for (task, run, how) in &ended {
                worker.recorder.add(format!("{}: run {run} of {task} ends {how}", worker.name));
            }
            if !ended.is_empty() {
                worker.changed.notify_all();
            }
        });
        Ok(minion)
    }

    /// Sends heartbeats to the addresses in turn, as long as the program runs.
    pub fn beat(self: &Arc<Self>, controls: Vec<SocketAddr>) {
        let minion = Arc::clone(self);
        thread::spawn(move || {
            let mut next = draw() as usize;
            loop {
                let body = {
                    let mut life = minion.life.lock().unwrap();
                    life.sequence += 1;
                    format!(
                        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"{}\",\"cold_left_ms\":0,\"room\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}},\"labels\":[\"a\",\"{}\"],\"machine\":\"m-{}\",\"born\":{},\"clock_ms\":{},\"sequence\":{}}}",
                        minion.pool,
                        minion.address,
                        minion.zone,
                        if life.draining { "draining" } else { "ready" },
                        minion.room.0,
                        minion.room.1,
                        minion.rack,
                        minion.name,
                        life.born,
                        life.clock_ms(),
                        life.sequence
                    )
                };
                let line = format!("PUT /bronzespoke/instances/{}", minion.name);
                let mut answered = false;
                for _ in 0..controls.len() {
                    let to = controls[next % controls.len()];
                    let answer = request(to, &line, "host: control\r\n", &body, ms(1000));
                    if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
                        answered = true;
                        break;
                    }
                    next += 1;
                }
                thread::sleep(ms(if answered { 1500 } else { 300 }));
            }
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(message) = Message::read(&mut stream, &mut buffer) {
            let (status, body) = self.answer(&message);
            let text = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn answer(&self, message: &Message) -> (u16, String) {
        if message.headers.get("expect-instance").is_some_and(|name| *name != self.name) {
            return (421, String::from("{}"));
        }
        let path = message.first.split(' ').nth(1).unwrap_or("");
        if path == "/health" {
            return (200, String::from("{}"));
        }
        let Some(body) = Json::parse(&message.body) else {
            return (400, String::from("{}"));
        };
        let fence = body.number("fencing_token").unwrap_or(0);
        let mut life = self.life.lock().unwrap();
        life.advance();
        let clock = life.clock_ms();
        if fence < life.fence {
            return (409, format!("{{\"clock_ms\":{clock},\"reason\":\"fence\"}}"));
        }
        life.fence = fence;
        let longest = clock + 10_000;
        match path {
            "/bronzespoke/run-start" => {
                let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
                    return (400, String::from("{}"));
                };
                let deadline = body.number("deadline_ms").unwrap_or(0).min(longest);
                if life.running.get(task).is_some_and(|running| running.run == run) {
                    life.deadline_ms = life.deadline_ms.max(deadline);
                    return (200, format!("{{\"clock_ms\":{clock}}}"));
                }
                if life.highest.get(task).is_some_and(|highest| run <= *highest) {
                    life.deadline_ms = life.deadline_ms.max(deadline);
                    return (409, format!("{{\"clock_ms\":{clock},\"reason\":\"old\"}}"));
                }
                if deadline <= clock {
                    return (409, format!("{{\"clock_ms\":{clock},\"reason\":\"late\"}}"));
                }
                life.deadline_ms = life.deadline_ms.max(deadline);
                let length = length_of(body.text("spec").unwrap_or(""));
                life.running.insert(
                    String::from(task),
                    Running { run, begun: Instant::now(), length, stop_at: None },
                );
                self.starts.lock().unwrap().push((String::from(task), run, self.recorder.elapsed()));
                self.recorder.add(format!("{}: run {run} of {task} starts", self.name));
                (200, format!("{{\"clock_ms\":{clock}}}"))
            }
            "/bronzespoke/run-stop" => {
                let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
                    return (400, String::from("{}"));
                };
                let highest = life.highest.entry(String::from(task)).or_default();
                *highest = (*highest).max(run);
                if let Some(running) = life.running.get_mut(task)
                    && running.run <= run
                {
                    running.stop_at.get_or_insert(Instant::now() + ms(200));
                }
                (200, format!("{{\"clock_ms\":{clock}}}"))
            }
            "/bronzespoke/hold" => {
                let cursor = body.number("ack_cursor").unwrap_or(0);
                life.ended.retain(|ended| ended.number > cursor);
                if let Some(deadline) = body.number("deadline_ms") {
                    life.deadline_ms = life.deadline_ms.max(deadline.min(longest));
                }
                let wait = ms(body.number("wait_ms").unwrap_or(0).min(2_000));
                let (mut life, _) = self
                    .changed
                    .wait_timeout_while(life, wait, |life| life.ended.is_empty())
                    .unwrap();
                life.advance();
                let clock = life.clock_ms();
                let running: Vec<String> = life
                    .running
                    .iter()
                    .map(|(task, running)| {
                        let percent = running.begun.elapsed().as_millis() * 100 / running.length.as_millis().max(1);
                        format!("[\"{task}\",{},\"\",{}]", running.run, percent.min(99))
                    })
                    .collect();
                let ended: Vec<String> = life
                    .ended
                    .iter()
                    .take(500)
                    .map(|ended| format!("[{},\"{}\",{},\"{}\",\"\"]", ended.number, ended.task, ended.run, ended.how))
                    .collect();
                let body = format!(
                    "{{\"clock_ms\":{clock},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
                    life.born,
                    running.join(","),
                    ended.join(",")
                );
                (200, body)
            }
            _ => (404, String::from("{}")),
        }
    }
}

/// Waits until a check holds; returns whether it did in time.
pub fn wait_until(limit: Duration, mut check: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < limit {
        if check() {
            return true;
        }
        thread::sleep(ms(50));
    }
    false
}
