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
    client::{Client, WAIT_LIMIT, wait_until},
};

/// Maximum number of attempts to start a cell; another program may take a reserved port before a daemon binds it.
const START_ATTEMPTS: usize = 3;
/// Time for which a stopping daemon still accepts connections after `/readyz` has failed.
pub const DRAIN_NOTICE: Duration = Duration::from_secs(1);

/// Builds the daemon once and returns its path; `cargo test` builds only the binaries of the tested package.
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

/// Daemon process; killed on drop, also when a test fails.
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
    /// Starts a program and appends its log to the file `log`.
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

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this process.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("the process exists");
    }

    /// Kills the process with SIGKILL, as if its VM had crashed.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process exists");
        self.child.wait().expect("the process is reaped");
    }

    /// Waits until the process has ended; fails the test after [`WAIT_LIMIT`].
    pub fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is a child") {
                return status;
            }
            assert!(start.elapsed() < WAIT_LIMIT, "process {} does not end", self.id());
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Cell of six processes. The first VM of each zone has a data folder.
pub struct Cell {
    pub folder: tempfile::TempDir,
    pub client: Client,
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
        for _ in 0..START_ATTEMPTS {
            let mut cell = Self::prepare();
            for number in 0..NAMES.len() {
                cell.spawn(number);
            }
            if cell.all_ready().await {
                return cell;
            }
        }
        panic!("the reserved ports were taken {START_ATTEMPTS} times");
    }

    fn prepare() -> Self {
        // Each cell has its own loopback address. Outgoing connections come from 127.0.0.1, so they cannot occupy the
        // ports of a stopped daemon, which can start again.
        static CELL: AtomicU8 = AtomicU8::new(0);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let cell = CELL.fetch_add(1, Ordering::Relaxed) % 128 + 64;
        let address = Ipv4Addr::new(127, cell, high, low.max(1));
        let bound: Vec<_> = (0..NAMES.len() * 3)
            .map(|_| TcpListener::bind((address, 0)).expect("a free port"))
            .collect();
        let ports: Vec<_> = bound
            .iter()
            .map(|listener| listener.local_addr().expect("an address"))
            .collect();
        let addresses = |offset: usize| ports.iter().copied().skip(offset).step_by(3).collect::<Vec<_>>();
        Self {
            folder: tempfile::tempdir().expect("a folder"),
            client: Client::new(addresses(1), addresses(2)),
            peers: addresses(0),
            processes: NAMES.iter().map(|_| None).collect(),
        }
    }

    /// Returns the data folder of a VM.
    pub fn data(&self, number: usize) -> PathBuf {
        self.folder.path().join(NAMES[number])
    }

    fn log(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.log"))
    }

    /// Returns the command that starts a VM. The first VM of a zone is configured by flags, the second one by
    /// environment variables.
    pub fn command(&self, number: usize) -> Command {
        let (region, zone) = PLACES[number / 2];
        let seeds: Vec<_> = self.peers.iter().map(ToString::to_string).collect();
        let mut settings = vec![
            ("name", String::from(NAMES[number])),
            ("region", region.to_string()),
            ("zone", zone.to_string()),
            ("peer", self.peers[number].to_string()),
            ("http", self.client.http[number].to_string()),
            ("rpc", self.client.rpc[number].to_string()),
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

    /// Starts or restarts a VM.
    pub fn spawn(&mut self, number: usize) {
        let command = self.command(number);
        self.processes[number] = Some(Process::start(command, &self.log(NAMES[number])));
    }

    /// Returns the process of a running VM.
    pub fn process(&mut self, number: usize) -> &mut Process {
        self.processes[number].as_mut().expect("the VM runs")
    }

    /// Kills a VM with SIGKILL.
    pub fn kill(&mut self, number: usize) {
        let mut process = self.processes[number].take().expect("the VM runs");
        process.kill();
    }

    /// Waits until a VM is ready.
    pub async fn wait_ready(&self, number: usize) {
        let what = format!("{} is ready", NAMES[number]);
        wait_until(&what, async || is_ready(self.client.http[number]).await).await;
    }

    /// Waits until all VMs are ready. Returns `false` if a process has ended before.
    async fn all_ready(&mut self) -> bool {
        for (number, name) in NAMES.iter().enumerate() {
            let start = Instant::now();
            while !is_ready(self.client.http[number]).await {
                let ended = self.process(number).child.try_wait().expect("a child");
                if ended.is_some() {
                    return false;
                }
                assert!(start.elapsed() < WAIT_LIMIT, "{name} is not ready");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        true
    }
}

/// Returns whether `/readyz` responds with 200.
pub async fn is_ready(address: SocketAddr) -> bool {
    let response = caller::send(address, Method::GET, "/readyz", &[], "").await;
    response.is_ok_and(|response| response.status == StatusCode::OK)
}
