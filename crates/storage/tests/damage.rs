//! Damaged files, full disks, and two processes that use the same folder.

use std::fs;
use std::path::{Path, PathBuf};

use bronzespoke_consensus::{log, membership, replica, snapshot, write};
use bronzespoke_model::id::GroupId;
use bronzespoke_storage::{Error, Store};

const GROUP: GroupId = GroupId::Root;

fn entries(indices: std::ops::RangeInclusive<u64>, term: u64) -> Vec<log::Entry> {
    let entry = |index| log::Entry {
        position: log::Position { term, index },
        payload: log::Payload::Command(vec![index as u8; 50].into()),
    };
    indices.map(entry).collect()
}

fn append(indices: std::ops::RangeInclusive<u64>, term: u64) -> write::Write {
    let commit = indices.start() - 1;
    write::Write {
        sequence: 1,
        kind: write::Kind::Append {
            entries: entries(indices, term),
            commit,
        },
    }
}

fn vote(term: u64) -> write::Write {
    write::Write {
        sequence: 1,
        kind: write::Kind::Vote(write::Vote {
            term,
            candidate: Some(3),
        }),
    }
}

fn snapshot_at(index: u64, term: u64) -> snapshot::Snapshot {
    let membership = membership::Membership::from_voters([1, 2, 3]);
    snapshot::Snapshot {
        position: log::Position { term, index },
        membership,
        data: vec![1; 1_000].into(),
    }
}

fn open(folder: &Path) -> (Store, replica::Restored) {
    Store::open(folder, GROUP).expect("the store opens")
}

/// Writes ten records of one entry each and returns the path of the segment file.
fn ten_records(folder: &Path) -> PathBuf {
    let (mut store, _) = open(folder);
    store.write(&[vote(2)]).expect("the disk has space");
    for index in 1..=10 {
        store
            .write(&[append(index..=index, 1)])
            .expect("the disk has space");
    }
    fs::read_dir(folder.join("root"))
        .expect("the folder exists")
        .flatten()
        .map(|file| file.path())
        .find(|path| path.to_string_lossy().contains("segment-"))
        .expect("a segment exists")
}

/// Guards against writes that are lost, reordered or reverted by a restart.
#[test]
fn everything_written_is_restored() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let (mut store, _) = open(folder.path());
    store
        .write(&[vote(4), append(1..=9, 1), append(5..=6, 2)])
        .expect("the disk has space");
    drop(store);
    let (mut store, restored) = open(folder.path());
    let expected = [entries(1..=4, 1), entries(5..=6, 2)].concat();
    assert_eq!(
        restored.entries, expected,
        "the second append replaces the tail of the first"
    );
    assert_eq!(
        restored.vote,
        write::Vote {
            term: 4,
            candidate: Some(3)
        }
    );
    assert_eq!(restored.commit, 4);
    let install = write::Write {
        sequence: 9,
        kind: write::Kind::Install(snapshot_at(40, 3)),
    };
    store
        .write(&[install, append(41..=42, 3)])
        .expect("the disk has space");
    drop(store);
    let (_, restored) = open(folder.path());
    assert_eq!(restored.snapshot, Some(snapshot_at(40, 3)));
    assert_eq!(restored.entries, entries(41..=42, 3));
    assert_eq!(
        restored.membership,
        membership::Membership::from_voters([1, 2, 3])
    );
}

/// Guards against a crash between an installed snapshot and its log record: entries that the snapshot replaced must not
/// reappear.
#[test]
fn replaced_entries_do_not_return() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let (mut store, _) = open(folder.path());
    store
        .write(&[vote(3), append(1..=60, 1)])
        .expect("the disk has space");
    let install = write::Write {
        sequence: 9,
        kind: write::Kind::Install(snapshot_at(40, 3)),
    };
    // The snapshot fits, its log record does not.
    store.limit_bytes(1_025);
    assert!(matches!(store.write(&[install]), Err(Error::DiskFull { .. })));
    drop(store);
    for _ in 0..2 {
        let (mut store, restored) = open(folder.path());
        assert_eq!(restored.snapshot, Some(snapshot_at(40, 3)));
        assert_eq!(
            restored.entries.first().map_or(41, |entry| entry.position.index),
            41
        );
        store.write(&[append(41..=42, 3)]).expect("the disk has space");
    }
    assert_eq!(open(folder.path()).1.entries, entries(41..=42, 3));
}

/// Guards against a torn write that prevents a restart, or that loses an earlier record.
#[test]
fn torn_record_is_truncated_at_every_byte() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let segment = ten_records(folder.path());
    let intact = fs::read(&segment).expect("the segment is readable");
    let record = (intact.len() - 20) / 10;
    for missing in 1..record {
        fs::write(&segment, &intact[..intact.len() - missing]).expect("the segment is writable");
        let (mut store, restored) = open(folder.path());
        assert_eq!(restored.entries, entries(1..=9, 1), "{missing} bytes missing");
        store.write(&[append(10..=11, 2)]).expect("the disk has space");
        drop(store);
        assert_eq!(open(folder.path()).1.entries.len(), 11, "{missing} bytes missing");
    }
}

/// Guards against undetected corruption: a flipped bit truncates the last record and is an error anywhere else.
#[test]
fn flipped_bit_truncates_the_last_record_and_is_an_error_before_it() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let segment = ten_records(folder.path());
    let intact = fs::read(&segment).expect("the segment is readable");
    let tail = intact.len() - (intact.len() - 20) / 10;
    for offset in (0..intact.len()).step_by(3) {
        let mut damaged = intact.clone();
        damaged[offset] ^= 1 << (offset % 8);
        fs::write(&segment, &damaged).expect("the segment is writable");
        match Store::open(folder.path(), GROUP) {
            Ok((_, restored)) => assert_eq!(restored.entries, entries(1..=9, 1), "byte {offset}"),
            Err(Error::Corrupt { .. }) => assert!(offset < tail + 8, "byte {offset} is in the tail"),
            Err(error) => panic!("byte {offset}: {error}"),
        }
        if offset < tail - 80 {
            assert!(
                Store::open(folder.path(), GROUP).is_err(),
                "byte {offset} is in the middle"
            );
        }
    }
}

/// Guards against a damaged vote or snapshot that is treated as absent.
#[yare::parameterized(vote_file = { "vote" }, snapshot_file = { "snapshot-" })]
fn damaged_file_is_an_error(name: &str) {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let (mut store, _) = open(folder.path());
    let compact = write::Kind::Compact {
        snapshot: snapshot_at(5, 1),
        first: 3,
    };
    store
        .write(&[
            vote(2),
            append(1..=9, 1),
            write::Write {
                sequence: 2,
                kind: compact,
            },
        ])
        .expect("the disk has space");
    drop(store);
    let files = fs::read_dir(folder.path().join("root"))
        .expect("the folder exists")
        .flatten();
    let path = files
        .map(|file| file.path())
        .find(|path| path.to_string_lossy().contains(&format!("root/{name}")));
    let path = path.expect("the file exists");
    let mut data = fs::read(&path).expect("the file is readable");
    *data.last_mut().expect("the file is not empty") ^= 1;
    fs::write(&path, data).expect("the file is writable");
    assert!(matches!(
        Store::open(folder.path(), GROUP),
        Err(Error::Corrupt { .. })
    ));
}

/// Guards against a lost vote file: the replica could vote twice in one term.
#[test]
fn missing_vote_is_an_error() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    ten_records(folder.path());
    fs::remove_file(folder.path().join("root/vote")).expect("the vote is stored");
    assert!(matches!(
        Store::open(folder.path(), GROUP),
        Err(Error::Corrupt { .. })
    ));
}

/// Guards against a full disk that loses durable data, causes a panic, or lets a later write succeed after a gap.
#[test]
fn full_disk_is_an_error_at_every_byte() {
    for space in 0..400 {
        let folder = tempfile::tempdir().expect("a temporary folder is created");
        let (mut store, _) = open(folder.path());
        store
            .write(&[vote(1), append(1..=3, 1)])
            .expect("the disk has space");
        store.limit_bytes(space);
        let outcome = store.write(&[append(4..=5, 1), vote(2), append(6..=6, 2)]);
        if outcome.is_err() {
            assert!(matches!(outcome, Err(Error::DiskFull { .. })), "{outcome:?}");
            assert!(
                matches!(store.write(&[vote(3)]), Err(Error::Failed)),
                "the store must be opened again"
            );
        }
        drop(store);
        let (mut store, restored) = open(folder.path());
        assert!(restored.entries.len() >= 3, "{space} bytes: durable entries stay");
        assert!(outcome.is_err() || restored.entries.len() == 6);
        let next = restored.entries.len() as u64 + 1;
        store
            .write(&[append(next..=next, 3)])
            .expect("the disk has space again");
    }
}

/// Guards against old segments that are never removed, and against a removal of entries that are still needed.
#[test]
fn old_segments_are_removed_after_compaction() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let (mut store, _) = open(folder.path());
    let large_entry = |index| log::Entry {
        position: log::Position { term: 1, index },
        payload: log::Payload::Command(vec![0; 1_000_000].into()),
    };
    store.write(&[vote(1)]).expect("the disk has space");
    for index in 1..=30 {
        let kind = write::Kind::Append {
            entries: vec![large_entry(index)],
            commit: index,
        };
        store
            .write(&[write::Write {
                sequence: index,
                kind,
            }])
            .expect("the disk has space");
    }
    assert!(store.segments() >= 3, "{} segments", store.segments());
    let kind = write::Kind::Compact {
        snapshot: snapshot_at(29, 1),
        first: 28,
    };
    store
        .write(&[write::Write { sequence: 31, kind }])
        .expect("the disk has space");
    assert_eq!(store.segments(), 1);
    drop(store);
    let (_, restored) = open(folder.path());
    assert_eq!(
        restored.snapshot.map(|snapshot| snapshot.position.index),
        Some(29)
    );
    let held: Vec<_> = restored
        .entries
        .iter()
        .map(|entry| entry.position.index)
        .collect();
    assert!(held.contains(&28) && held.contains(&30), "{held:?}");
}

/// Guards against two processes that write to the same folder.
#[test]
fn second_process_is_refused() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let (store, _) = open(folder.path());
    assert!(matches!(
        Store::open(folder.path(), GROUP),
        Err(Error::Locked { .. })
    ));
    assert!(
        Store::open(folder.path(), GroupId::Zone(1)).is_ok(),
        "each group has its own lock"
    );
    drop(store);
    open(folder.path());
}

/// Guards against I/O errors that are mapped to the wrong variant.
#[yare::parameterized(
    full = { std::io::ErrorKind::StorageFull, "the disk is full" },
    read_only = { std::io::ErrorKind::ReadOnlyFilesystem, "writing is not allowed" },
    denied = { std::io::ErrorKind::PermissionDenied, "writing is not allowed" },
)]
fn io_errors_are_classified(kind: std::io::ErrorKind, expected: &str) {
    let error = Error::from_io(Path::new("vote"), kind.into());
    assert_eq!(error.to_string(), format!("vote: {expected}"));
}
