//! A cell of six `bronzespoked` processes on loopback.

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        OnceLock,
        atomic::{AtomicU8, Ordering},
    },
    time::{Duration, Instant},
};

use bronzespoke_standin::caller;
use http::{Method, StatusCode};
use rustix::process::{Pid, Signal, kill_process};

use super::{
    NAMES, PLACES,
    contact::{Contact, LIMIT, until},
};

/// Attempts to start a cell; another program may take a noted port before a daemon does.
const ATTEMPTS: usize = 3;
/// Time between readiness off and the last accepted connection.
pub const DRAIN_NOTICE: Duration = Duration::from_secs(1);

/// Builds the daemon from the present sources, once; `cargo test` builds only the programs of the tested package.
pub fn binary() -> &'static Path {
    static BINARY: OnceLock<PathBuf> = OnceLock::new();
    BINARY.get_or_init(|| {
        let test = std::env::current_exe().expect("a path");
        let profile = test.ancestors().nth(2).expect("the folder of the profile");
        let release = profile.ends_with("release");
        let mut build = Command::new(env!("CARGO"));
        build
            .args([
                "build",
                "--quiet",
                "--package",
                "bronzespoke-daemon",
                "--bin",
                "bronzespoked",
            ])
            .args(release.then_some("--release"))
            .current_dir(env!("CARGO_MANIFEST_DIR"));
        assert!(
            build.status().expect("cargo runs").success(),
            "the daemon is built"
        );
        profile.join("bronzespoked")
    })
}

/// One process; it is killed when this is dropped, also by a failing test.
pub struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

impl Process {
    /// Starts a program; its log goes to a file.
    pub fn start(mut command: Command, log: &Path) -> Self {
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log file");
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        Self { child }
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this process.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("the process exists");
    }

    /// Kills at once, as a lost VM.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process exists");
        self.child.wait().expect("the process is reaped");
    }

    /// Waits for the end.
    pub fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is a child") {
                return status;
            }
            assert!(start.elapsed() < LIMIT, "process {} does not end", self.id());
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// The cell. The first VM of each zone has a data folder.
pub struct Cell {
    pub folder: tempfile::TempDir,
    pub contact: Contact,
    peers: Vec<SocketAddr>,
    pub processes: Vec<Option<Process>>,
}

impl Drop for Cell {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for name in NAMES {
                let log = std::fs::read_to_string(self.log(name)).unwrap_or_default();
                let lines: Vec<_> = log.lines().rev().take(25).collect();
                eprintln!("--- newest lines of {name}");
                lines.iter().rev().for_each(|line| eprintln!("{line}"));
            }
        }
    }
}

impl Cell {
    /// Starts six processes and waits until all are ready.
    pub async fn start() -> Self {
        binary();
        for _ in 0..ATTEMPTS {
            let mut cell = Self::prepare();
            for number in 0..NAMES.len() {
                cell.spawn(number);
            }
            if cell.ready().await {
                return cell;
            }
        }
        panic!("the noted ports were taken {ATTEMPTS} times");
    }

    fn prepare() -> Self {
        // An address of its own keeps outgoing connections, which come from 127.0.0.1, off the ports of a stopped
        // daemon, so that it can start again.
        static CELL: AtomicU8 = AtomicU8::new(0);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let cell = CELL.fetch_add(1, Ordering::Relaxed) % 128 + 64;
        let address = Ipv4Addr::new(127, cell, high, low.max(1));
        let bound: Vec<_> = (0..NAMES.len() * 3)
            .map(|_| TcpListener::bind((address, 0)).expect("a free port"))
            .collect();
        let noted: Vec<_> = bound
            .iter()
            .map(|listener| listener.local_addr().expect("an address"))
            .collect();
        let part = |part: usize| noted.iter().copied().skip(part).step_by(3).collect::<Vec<_>>();
        Self {
            folder: tempfile::tempdir().expect("a folder"),
            contact: Contact::new(part(1), part(2)),
            peers: part(0),
            processes: NAMES.iter().map(|_| None).collect(),
        }
    }

    /// Data folder of a VM.
    pub fn data(&self, number: usize) -> PathBuf {
        self.folder.path().join(NAMES[number])
    }

    fn log(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.log"))
    }

    /// The settings of a VM, by flags on the first VM of a zone and by the environment on the second.
    pub fn command(&self, number: usize) -> Command {
        let (region, zone) = PLACES[number / 2];
        let seeds: Vec<_> = self.peers.iter().map(ToString::to_string).collect();
        let mut settings = vec![
            ("name", String::from(NAMES[number])),
            ("region", region.to_string()),
            ("zone", zone.to_string()),
            ("peer", self.peers[number].to_string()),
            ("http", self.contact.http[number].to_string()),
            ("rpc", self.contact.rpc[number].to_string()),
            ("seeds", seeds.join(",")),
            ("traffic-threads", String::from("1")),
            ("drain-notice", format!("{}s", DRAIN_NOTICE.as_secs())),
        ];
        let mut command = Command::new(binary());
        command.env_clear();
        if number.is_multiple_of(2) {
            settings.push(("data", self.data(number).display().to_string()));
            for (name, value) in settings {
                command.arg(format!("--{name}")).arg(value);
            }
            if number == 0 {
                command.arg("--found");
            }
        } else {
            for (name, value) in settings {
                let variable = name.to_uppercase().replace('-', "_");
                command.env(format!("BRONZESPOKE_{variable}"), value);
            }
        }
        command
    }

    /// Starts a VM, again if it was stopped.
    pub fn spawn(&mut self, number: usize) {
        let command = self.command(number);
        self.processes[number] = Some(Process::start(command, &self.log(NAMES[number])));
    }

    /// A running VM's process.
    pub fn process(&mut self, number: usize) -> &mut Process {
        self.processes[number].as_mut().expect("the VM runs")
    }

    /// Kills a VM at once.
    pub fn kill(&mut self, number: usize) {
        let mut process = self.processes[number].take().expect("the VM runs");
        process.kill();
    }

    /// Waits until a VM is ready.
    pub async fn wait_ready(&self, number: usize) {
        let what = format!("{} is ready", NAMES[number]);
        until(&what, async || is_ready(self.contact.http[number]).await).await;
    }

    /// Waits until all VMs are ready; tells whether none ended before.
    async fn ready(&mut self) -> bool {
        for number in 0..NAMES.len() {
            let start = Instant::now();
            while !is_ready(self.contact.http[number]).await {
                let ended = self.process(number).child.try_wait().expect("a child");
                if ended.is_some() {
                    return false;
                }
                assert!(start.elapsed() < LIMIT, "{} is not ready", NAMES[number]);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        true
    }
}

/// Tells whether `/readyz` answers 200.
pub async fn is_ready(address: SocketAddr) -> bool {
    let answer = caller::send(address, Method::GET, "/readyz", &[], "").await;
    answer.is_ok_and(|answer| answer.status == StatusCode::OK)
}
