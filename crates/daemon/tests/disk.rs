//! Groups whose files are corrupt or cannot be written.

mod vm;

use std::{fs, sync::Mutex, time::Duration};

/// Error lines that this process has logged.
struct Log(Mutex<Vec<String>>);

static LOG: Log = Log(Mutex::new(Vec::new()));

impl Log {
    fn contains(&self, text: &str) -> bool {
        let lines = self.0.lock().expect("no holder panics");
        lines.iter().any(|line| line.contains(text))
    }
}

impl log::Log for Log {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() == log::Level::Error
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) {
            let line = record.args().to_string();
            self.0.lock().expect("no holder panics").push(line);
        }
    }

    fn flush(&self) {}
}

/// Guards against opening and reporting a group with corrupt files again at every message of its leader.
#[tokio::test]
async fn a_corrupt_group_is_opened_once() {
    let folder = tempfile::tempdir().expect("a folder");
    let vm = vm::Vm::start(folder.path()).await;
    let leader = vm::Leader::start(&vm).await;
    let files = folder.path().join(format!("zone-{}", vm::Leader::ZONE));
    fs::create_dir(&files).expect("a folder");
    fs::write(files.join("vote"), "damaged").expect("a file");
    // Every attempt to open the group creates the lock file.
    let lock = files.join("lock");
    leader.heartbeat(&vm, 1).await;
    vm.wait_until_handled().await;
    assert!(lock.exists(), "the group is tried once");
    fs::remove_file(&lock).expect("the lock file");
    for _ in 0..3 {
        leader.heartbeat(&vm, 1).await;
    }
    vm.wait_until_handled().await;
    assert!(!lock.exists(), "the group is not tried again");
    vm.stop().await;
}

/// Guards against a replica that stays out of its group until an operator restarts the process, although its disk
/// accepts writes again.
#[tokio::test]
async fn a_replica_returns_when_its_disk_takes_writes_again() {
    /// Number of heartbeats sent; they last far longer than the pause before a replica is reopened.
    const HEARTBEATS: u32 = 300;
    const PAUSE: Duration = Duration::from_millis(100);
    // Another test may have set the logger already.
    drop(log::set_logger(&LOG));
    log::set_max_level(log::LevelFilter::Error);
    let folder = tempfile::tempdir().expect("a folder");
    let vm = vm::Vm::start(folder.path()).await;
    let mut leader = vm::Leader::start(&vm).await;
    leader.heartbeat(&vm, 1).await;
    leader.accepted(1).await;
    // A new term is first written to this temporary file.
    let obstacle = folder.path().join(format!("zone-{}/vote.tmp", vm::Leader::ZONE));
    fs::create_dir(&obstacle).expect("a folder");
    leader.heartbeat(&vm, 2).await;
    while !LOG.contains("Failed to persist") {
        tokio::time::sleep(PAUSE).await;
    }
    fs::remove_dir(&obstacle).expect("the folder");
    for _ in 0..HEARTBEATS {
        leader.heartbeat(&vm, 2).await;
        tokio::time::sleep(PAUSE).await;
        if leader.has_accepted(2) {
            vm.stop().await;
            return;
        }
    }
    panic!("the replica does not answer its leader");
}
