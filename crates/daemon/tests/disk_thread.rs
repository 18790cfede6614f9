//! The end of the disk thread of a replica.

use std::{
    fs,
    path::Path,
    sync::mpsc,
    time::{Duration, Instant},
};

use bronzespoke_consensus::write;
use bronzespoke_daemon::disk;
use bronzespoke_model::id;

const GROUP: id::GroupId = id::GroupId::Root;
/// Longest wait for a thread that has nothing left to do.
const TIMEOUT: Duration = Duration::from_secs(30);

fn vote(sequence: u64, term: u64) -> Vec<write::Write> {
    let vote = write::Vote {
        term,
        candidate: None,
    };
    let kind = write::Kind::Vote(vote);
    vec![write::Write { sequence, kind }]
}

/// Opens a disk whose thread stalls after its first write, a vote in term 1. Returns the disk, a receiver that gets a
/// message at each stall, and a sender whose messages or end resume the thread.
fn stalled(folder: &Path) -> (disk::Disk, mpsc::Receiver<()>, mpsc::Sender<()>) {
    let (reached, is_reached) = mpsc::channel();
    let (resume, is_resumed) = mpsc::channel::<()>();
    let notify: disk::Notify = Box::new(move |_done| {
        let _received = reached.send(());
        let _resumed = is_resumed.recv();
    });
    let (disk, _) = disk::Disk::open(folder, GROUP, None, notify).expect("the store opens");
    assert!(disk.write(vote(1, 1)));
    (disk, is_reached, resume)
}

/// Guards against a disk that stalls, is given up and then writes what was queued for it over the newer state of the
/// replica that was opened in its place. Locks have no effect on some file systems; here the lock file is replaced.
#[test]
fn a_closed_disk_writes_nothing_over_the_state_of_its_successor() {
    let folder = tempfile::tempdir().expect("a folder");
    let (stalled, is_reached, resume) = stalled(folder.path());
    is_reached.recv().expect("the first write is reported");
    assert!(stalled.write(vote(2, 2)), "the second write waits");
    drop(stalled);
    fs::remove_file(folder.path().join("root/lock")).expect("the lock file");
    let (written, is_written) = mpsc::channel();
    let notify: disk::Notify = Box::new(move |done| {
        let _received = written.send(done.result.is_ok());
    });
    let (successor, restored) =
        disk::Disk::open(folder.path(), GROUP, None, notify).expect("the store opens");
    assert_eq!(restored.vote.term, 1);
    assert!(successor.write(vote(1, 9)));
    assert_eq!(is_written.recv_timeout(TIMEOUT), Ok(true));
    // The stalled thread goes on and ends, which drops its callback.
    resume.send(()).expect("the thread waits");
    drop(resume);
    while is_reached.recv_timeout(TIMEOUT).is_ok() {}
    drop(successor);
    while is_written.recv_timeout(TIMEOUT).is_ok() {}
    let (_store, restored) = bronzespoke_storage::Store::open(folder.path(), GROUP).expect("the store opens");
    assert_eq!(restored.vote.term, 9, "the newer vote stays");
}

/// Guards against a replica that is reopened while a write of the earlier one has not ended, because its disk does not
/// answer.
#[test]
fn a_disk_that_does_not_answer_is_still_closing() {
    let folder = tempfile::tempdir().expect("a folder");
    let (stalled, is_reached, resume) = stalled(folder.path());
    is_reached.recv().expect("the write is reported");
    let closing = stalled.close();
    assert!(!closing.has_ended());
    drop(resume);
    let begun = Instant::now();
    while !closing.has_ended() && begun.elapsed() < TIMEOUT {
        std::thread::yield_now();
    }
    assert!(closing.has_ended());
}
