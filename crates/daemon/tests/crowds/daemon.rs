//! A daemon that is a cell of its own, and its ordinary clients.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::Path,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use bronzespoke_standin::caller;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time;

/// Maximum wait for an answer, over all attempts. An idle machine needs less than a second.
const TIMEOUT: Duration = Duration::from_mins(1);
/// Time of one attempt.
const ATTEMPT: Duration = Duration::from_secs(5);
/// Pause between two attempts.
const PAUSE: Duration = Duration::from_millis(100);
/// Headers of an operator's request.
const JSON: [(&str, &str); 1] = [("content-type", "application/json")];

/// A process that is ended when dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    /// Listener for callers.
    pub http: SocketAddr,
    /// Listener for operators.
    pub rpc: SocketAddr,
    _folder: tempfile::TempDir,
}

/// Resources of a process.
#[derive(Debug)]
pub struct Usage {
    /// Highest resident memory so far; `None` if the process has ended.
    peak_mb: Option<u64>,
    descriptors: usize,
}

impl Usage {
    /// Returns which bounds are exceeded.
    pub fn problems(&self, memory_mb: u64, descriptors: usize) -> Vec<String> {
        let mut problems = Vec::new();
        match self.peak_mb {
            None => problems.push(String::from("the process has ended")),
            Some(peak) if peak > memory_mb => problems.push(format!("{peak} MB of {memory_mb} MB were used")),
            Some(_) => {}
        }
        if self.descriptors > descriptors {
            problems.push(format!(
                "{} of {descriptors} descriptors are open",
                self.descriptors
            ));
        }
        problems
    }
}

/// Returns free addresses on a network of this process, so that concurrent runs do not collide.
fn addresses() -> [SocketAddr; 3] {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let own = (NUMBER.fetch_add(1, Ordering::Relaxed) % 60) as u8 + 192;
    let address = Ipv4Addr::new(127, own, high, low.max(1));
    let bound = [(); 3].map(|()| TcpListener::bind((address, 0)).expect("a free port"));
    bound.map(|listener| listener.local_addr().expect("an address"))
}

impl Daemon {
    /// Starts a daemon that may open this many descriptors, and waits until it serves.
    pub async fn start(descriptors: usize) -> Self {
        let folder = tempfile::tempdir().expect("a folder can be made");
        let [peer, http, rpc] = addresses();
        let log = fs::File::create(folder.path().join("log")).expect("the log can be made");
        let child = Command::new("sh")
            .args(["-c", "ulimit -n \"$1\" && shift && exec \"$@\"", "sh"])
            .arg(descriptors.to_string())
            .arg(env!("CARGO_BIN_EXE_bronzespoked"))
            .args([
                "--name", "a-1", "--region", "1", "--zone", "1", "--found", "--data",
            ])
            .arg(folder.path().join("data"))
            .args(["--peer", &peer.to_string(), "--http", &http.to_string()])
            .args(["--rpc", &rpc.to_string()])
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("a process can be started");
        let daemon = Self {
            child,
            http,
            rpc,
            _folder: folder,
        };
        let problems = daemon.ordinary().await;
        assert!(problems.is_empty(), "the daemon does not serve: {problems:?}");
        daemon
    }

    /// Sends one request of each kind of ordinary client; returns those without an answer.
    pub async fn ordinary(&self) -> Vec<String> {
        let statement = json!({"jsonrpc": "2.0", "id": 1, "method": "operator_execute",
            "params": ["create team dojo weight=1 cpu=64 memory=1GiB accelerators=0 requests=50", null]});
        let directory = json!({"jsonrpc": "2.0", "id": 1, "method": "operator_directory"});
        let target = json!({"target": 1, "incarnation": 1, "service": "lineage", "address": "127.0.0.1:9",
            "slots": 8, "connections": 64});
        let requests = [
            (self.http, Method::GET, "/readyz", Value::Null),
            (self.http, Method::PUT, "/v2/targets/1", target),
            (self.rpc, Method::POST, "/", directory),
            (self.rpc, Method::POST, "/", statement),
        ];
        let mut problems = Vec::new();
        for (address, method, path, body) in requests {
            problems.extend(until_done(address, &method, path, &body).await.err());
        }
        problems
    }

    /// Creates this many teams.
    pub async fn create_teams(&self, count: usize) {
        for number in 0..count {
            let line =
                format!("create team t{number} weight=1 cpu=64 memory=1GiB accelerators=0 requests=50");
            let call =
                json!({"jsonrpc": "2.0", "id": 1, "method": "operator_execute", "params": [line, null]});
            let created = until_done(self.rpc, &Method::POST, "/", &call).await;
            assert_eq!(created, Ok(()), "an operator's statement");
        }
    }

    /// Returns what the process has used until now.
    pub fn usage(&mut self) -> Usage {
        let has_ended = self.child.try_wait().is_ok_and(|status| status.is_some());
        let folder = Path::new("/proc").join(self.child.id().to_string());
        let status = fs::read_to_string(folder.join("status")).unwrap_or_default();
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .and_then(|value| value.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
        Usage {
            peak_mb: peak.filter(|_| !has_ended).map(|kibibytes| kibibytes >> 10),
            descriptors: fs::read_dir(folder.join("fd")).map_or(0, Iterator::count),
        }
    }
}

/// Sends a request until it is answered with 200; returns the last answer otherwise.
async fn until_done(address: SocketAddr, method: &Method, path: &str, body: &Value) -> Result<(), String> {
    let begun = Instant::now();
    let mut last = None;
    while begun.elapsed() < TIMEOUT {
        let sent = caller::send(address, method.clone(), path, &JSON, body.to_string());
        last = time::timeout(ATTEMPT, sent).await.ok();
        if let Some(Ok(response)) = &last
            && response.status == StatusCode::OK
        {
            return Ok(());
        }
        time::sleep(PAUSE).await;
    }
    Err(format!("{method} {path} got {last:?} after {TIMEOUT:?}"))
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // A daemon that has ended by itself is reported as such.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
