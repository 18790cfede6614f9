//! Groups whose files cannot be used.

mod vm;

use std::fs;

/// Guards against a group with corrupt files that is opened and reported again with every message of its leader.
#[tokio::test]
async fn a_corrupt_group_is_refused_once() {
    let folder = tempfile::tempdir().expect("a folder");
    let vm = vm::Vm::start(folder.path()).await;
    let leader = vm::Leader::start(&vm).await;
    let files = folder.path().join(format!("zone-{}", vm::Leader::ZONE));
    fs::create_dir(&files).expect("a folder");
    fs::write(files.join("vote"), "damaged").expect("a file");
    // Every try to open the group creates the lock file.
    let lock = files.join("lock");
    leader.heartbeat(&vm, 1).await;
    vm.settle().await;
    assert!(lock.exists(), "the group is tried once");
    fs::remove_file(&lock).expect("the lock file");
    for _ in 0..3 {
        leader.heartbeat(&vm, 1).await;
    }
    vm.settle().await;
    assert!(!lock.exists(), "the group is not tried again");
    vm.stop().await;
}
