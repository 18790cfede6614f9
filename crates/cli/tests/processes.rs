//! Six `bronzespoked` processes under load, and what may happen to a process.
//!
//! Every test checks the cell against books that it does not keep itself: the ledger of the stand-in workers, the
//! counts of the stand-in targets and the outcomes of the callers.

mod system;

use std::{collections::BTreeSet, os::unix::process::CommandExt, path::Path, time::Duration};

use bronzespoke_model::{id, job};
use bronzespoke_standin::target::Behaviour;
use rustix::process::Signal;
use system::{
    NAMES,
    contact::{spec, until},
    fleet::{Fleet, Known, Load, ask},
    process::{Cell, Process, is_ready},
    run,
};
use tokio::task::JoinSet;
use yare::parameterized;

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];
/// Requests that have to be answered before and after a fault, so that the fault falls under load.
const SOME: usize = 60;
/// A pause longer than the lease of a worker (10 s) and than every other lease.
const PAUSE: Duration = Duration::from_secs(11);

/// A cell with stand-ins, in which every group is whole.
async fn cell() -> (Cell, Fleet) {
    let mut cell = Cell::start().await;
    cell.contact.set_up().await;
    let fleet = Fleet::start(&cell.contact).await;
    cell.contact.settle(&ALL).await;
    for group in ["root", "zone 1", "zone 2", "zone 3"] {
        cell.contact.whole(group).await;
    }
    (cell, fleet)
}

async fn answered(load: &Load, more: usize) {
    let from = load.answered();
    until("callers are answered", async || load.answered() >= from + more).await;
}

/// Submits six jobs at the given VMs in turn; their ids spread them over the zones.
async fn jobs(cell: &Cell, numbers: &[usize], name: &str) -> Vec<id::JobId> {
    let mut jobs = Vec::new();
    for count in 0..6 {
        let number = numbers[count % numbers.len()];
        let order = [&[number], numbers].concat();
        let spec = spec(job::Kind::Batch, 12, 1, "sleep 700");
        let submission = format!("{name}-{count}");
        jobs.push(cell.contact.submit(&order, &submission, &spec).await);
    }
    let different: BTreeSet<_> = jobs.iter().collect();
    assert_eq!(
        different.len(),
        jobs.len(),
        "each submission is a job of its own: {jobs:?}"
    );
    jobs
}

/// Waits for jobs, and checks the workers' ledger.
async fn finish(cell: &Cell, fleet: &Fleet, number: usize, jobs: &[id::JobId]) {
    for job in jobs {
        cell.contact.succeeded(number, *job).await;
        assert_eq!(
            fleet.ledger.succeeded(*job),
            12,
            "tasks of job {job} that succeeded"
        );
    }
    fleet.check_tasks();
}

/// Other VMs than one.
fn others(number: usize) -> Vec<usize> {
    ALL.into_iter().filter(|other| *other != number).collect()
}

/// Only the callers of the killed VM may see broken connections.
fn cut_only_at(outcomes: &[(usize, Vec<Known>)], number: usize) {
    for (at, known) in outcomes {
        let broken = known
            .iter()
            .any(|known| matches!(known, Known::Cut(_) | Known::NoConnection));
        // A resend of a request that must not be repeated goes round the cell, so it can reach the killed VM too.
        assert!(
            !broken || *at == number || known.len() > 1,
            "VM {at} broke off: {known:?}"
        );
    }
}

/// Kills the leader of a group under load and restarts it.
fn kill_leader(group: &str) {
    run(async {
        let (mut cell, fleet) = cell().await;
        let leader = cell.contact.whole(group).await;
        let load = Load::start(&cell.contact, &ALL);
        answered(&load, SOME).await;
        let before = jobs(&cell, &ALL, "before").await;
        cell.kill(leader);
        let rest = others(leader);
        let during = jobs(&cell, &rest, "during").await;
        cell.contact
            .insist(rest[0], "set config retry_percent=12 expect 0")
            .await;
        answered(&load, SOME).await;
        if let Some(zone) = group.strip_prefix("zone ") {
            // The witness may win the election, but the scheduler runs only in the zone.
            let zone: usize = zone.parse().expect("a number");
            until("a VM of the zone leads its group", async || {
                cell.contact
                    .leader(group)
                    .await
                    .is_some_and(|leads| leads / 2 + 1 == zone)
            })
            .await;
        }
        cell.spawn(leader);
        cell.wait_ready(leader).await;
        until("the restarted VM catches up", async || {
            cell.contact.version(leader).await == Some(1)
        })
        .await;
        cell.contact.settle(&[leader]).await;
        finish(&cell, &fleet, leader, &[before, during].concat()).await;
        cut_only_at(&load.check(&fleet).await, leader);
        cell.contact.whole(group).await;
    });
}

/// Guards against jobs, claims and answers that only the leader of a zone knew.
#[test]
fn the_leader_of_a_zone_is_killed() {
    kill_leader("zone 1");
}

/// Guards against configuration and keys that only the leader of the root group knew.
#[test]
fn the_leader_of_the_root_group_is_killed() {
    kill_leader("root");
}

/// Sets many configurations; returns the last version.
///
/// Each change is sent once the one before is applied, not once it is in force: while a VM is down, a change is
/// answered only after 3.5 s, when the daemon stops waiting for that VM.
async fn change_often(cell: &Cell, number: usize, from: u64, count: u64) -> u64 {
    let mut answers = JoinSet::new();
    for version in from..from + count {
        let contact = cell.contact.clone();
        let line = format!("set config retry_percent={} expect {version}", version % 100);
        answers.spawn(async move { contact.insist(number, &line).await });
        until("a change is applied", async || {
            cell.contact.version(number).await == Some(version + 1)
        })
        .await;
    }
    answers.join_all().await;
    from + count
}

fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("a folder");
    for entry in from.read_dir().expect("a folder") {
        let entry = entry.expect("an entry");
        let target = to.join(entry.file_name());
        if entry.file_type().expect("a type").is_dir() {
            copy(&entry.path(), &target);
        } else {
            std::fs::copy(entry.path(), target).expect("a copy");
        }
    }
}

/// The newest log segment of a group.
fn newest_segment(folder: &Path) -> std::path::PathBuf {
    let entries = folder
        .read_dir()
        .expect("a folder")
        .flatten()
        .map(|entry| entry.path());
    let segments = entries.filter(|path| path.to_string_lossy().contains("segment-"));
    segments.max().expect("a segment")
}

/// Guards against a VM that comes back with an old state after hundreds of changes, serves it, or comes back under
/// another id although it has its data folder.
#[test]
fn a_vm_with_a_data_folder_restarts() {
    run(async {
        let (mut cell, fleet) = cell().await;
        let number = 2;
        let id = std::fs::read_to_string(cell.data(number).join("vm-id")).expect("an id");
        let withdrawn = cell.contact.grant_key().await;
        let prefix = {
            use sha2::Digest;
            let hash = sha2::Sha256::digest(withdrawn.as_bytes());
            bronzespoke_language::encode_hex(&hash)
        };
        cell.kill(number);
        let load = Load::start(&cell.contact, &others(number));
        cell.contact
            .insist(0, &format!("withdraw key {}", &prefix[..16]))
            .await;
        let version = change_often(&cell, 0, 0, 300).await;
        cell.spawn(number);
        cell.wait_ready(number).await;
        // Whatever a ready VM answers, it is not the state from before the stop.
        let outcome = ask(cell.contact.http[number], &withdrawn, None, "stale").await;
        assert_ne!(outcome, Known::Answered, "a withdrawn key works after a restart");
        until("the restarted VM has all changes", async || {
            cell.contact.version(number).await == Some(version)
        })
        .await;
        assert_eq!(
            std::fs::read_to_string(cell.data(number).join("vm-id")).expect("an id"),
            id
        );
        let first = jobs(&cell, &[number], "first").await;
        finish(&cell, &fleet, number, &first).await;

        load.check(&fleet).await;
        for group in ["root", "zone 2"] {
            cell.contact.whole(group).await;
        }
    });
}

/// Guards against a VM that forgot its votes and votes as its old self, and against a repair that never ends.
#[test]
fn a_vm_without_a_data_folder_comes_back_as_a_new_member() {
    run(async {
        let (mut cell, fleet) = cell().await;
        let number = 3;
        let id_of = async |cell: &Cell| {
            let listed = cell.contact.directory(0).await;
            let same: Vec<_> = listed.iter().filter(|vm| vm.name == NAMES[number]).collect();
            (same.len() == 1).then(|| same[0].id)
        };
        let old = id_of(&cell).await.expect("the VM is listed once");
        let load = Load::start(&cell.contact, &others(number));
        let jobs = jobs(&cell, &others(number), "job").await;
        cell.kill(number);
        answered(&load, SOME).await;
        cell.spawn(number);
        cell.wait_ready(number).await;
        until("the VM is listed under a new id", async || {
            id_of(&cell).await.is_some_and(|new| new != old)
        })
        .await;
        let new = id_of(&cell).await.expect("the VM is listed once");
        until("the new member replaces the old one", async || {
            let Some(leader) = cell.contact.leader("zone 2").await else {
                return false;
            };
            let rows = cell.contact.rows(leader, "show members").await;
            let has = |vm: u64, learner: bool| {
                let mut members = rows.iter().filter(|row| row[0] == "zone 2" && row[1] == vm);
                members.any(|row| learner || row[3] != "learner")
            };
            has(new, false) && !has(old, true)
        })
        .await;
        finish(&cell, &fleet, number, &jobs).await;
        cut_only_at(&load.check(&fleet).await, number);
    });
}

/// Guards against a shutdown that cuts a request, leaves its leads to time out as if lost, or ends with a fault.
#[test]
fn sigterm_under_load_cuts_no_request() {
    run(async {
        let (mut cell, fleet) = cell().await;
        let number = cell.contact.whole("zone 1").await;
        let jobs = jobs(&cell, &ALL, "job").await;
        let load = Load::start(&cell.contact, &others(number));
        // Requests that run when the signal comes, and callers that a balancer still sends here for a while.
        for (_, target) in &fleet.targets {
            target.set(Behaviour::Echo(Duration::from_millis(300)));
        }
        let address = cell.contact.http[number];
        let key = cell.contact.key.clone();
        let callers: Vec<_> = (0..8)
            .map(|caller| {
                let key = key.clone();
                tokio::spawn(async move {
                    let mut outcomes = Vec::new();
                    let mut count = 0;
                    while is_ready(address).await {
                        count += 1;
                        let body = format!("drained-{caller}-{count}");
                        outcomes.push(ask(address, &key, (caller % 2 == 0).then_some(&body), &body).await);
                    }
                    // The balancer notices late; these requests come after readiness is off.
                    let body = format!("drained-{caller}-late");
                    outcomes.push(ask(address, &key, None, &body).await);
                    outcomes
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(700)).await;
        cell.process(number).signal(Signal::TERM);
        for caller in callers {
            let outcomes = caller.await.expect("no caller panics");
            let whole = outcomes.iter().all(|outcome| *outcome == Known::Answered);
            assert!(whole && outcomes.len() > 1, "a request was cut: {outcomes:?}");
        }
        let status = cell.process(number).wait();
        assert_eq!(status.code(), Some(0), "a graceful end has status 0");
        answered(&load, SOME).await;
        finish(&cell, &fleet, others(number)[0], &jobs).await;
        let outcomes = load.check(&fleet).await;
        // Resends go round the cell and may find the stopped VM gone, but nothing is broken off.
        let cut = outcomes
            .iter()
            .flat_map(|(_, known)| known)
            .find(|known| matches!(known, Known::Cut(_)));
        assert_eq!(cut, None, "a request was cut");
        cell.spawn(number);
        cell.wait_ready(number).await;
        cell.contact.whole("zone 1").await;
    });
}

/// Guards against a paused leader that, when it resumes, serves what changed meanwhile or starts tasks again.
#[test]
fn a_paused_leader_resumes() {
    run(async {
        let (mut cell, fleet) = cell().await;
        let paused = cell.contact.whole("zone 1").await;
        let rest = others(paused);
        let service = spec(job::Kind::Service, 6, 2, "serve");
        let service = cell.contact.submit(&[paused], "service", &service).await;
        until("the service runs", async || {
            fleet.ledger.running(service).len() == 6
        })
        .await;
        let running = jobs(&cell, &ALL, "before").await;
        let key = cell.contact.grant_key().await;
        let hash = {
            use sha2::Digest;
            let hash = sha2::Sha256::digest(key.as_bytes());
            bronzespoke_language::encode_hex(&hash)
        };
        let address = cell.contact.http[paused];
        until("the second key works", async || {
            ask(address, &key, None, "second key").await == Known::Answered
        })
        .await;
        until("the others know the second key", async || {
            ask(cell.contact.http[rest[0]], &key, None, "second key elsewhere").await == Known::Answered
        })
        .await;
        let load = Load::start(&cell.contact, &rest);
        cell.process(paused).signal(Signal::STOP);
        let pause = tokio::time::sleep(PAUSE);
        cell.contact
            .insist(rest[0], &format!("withdraw key {}", &hash[..16]))
            .await;
        let version = change_often(&cell, rest[0], 0, 20).await;
        let during = jobs(&cell, &rest, "during").await;
        finish(&cell, &fleet, rest[0], &[running, during].concat()).await;
        pause.await;
        cell.process(paused).signal(Signal::CONT);
        let stale: Vec<_> = (0..8)
            .map(|count| {
                let key = key.clone();
                tokio::spawn(async move { ask(address, &key, None, &format!("stale-{count}")).await })
            })
            .collect();
        for stale in stale {
            let outcome = stale.await.expect("no caller panics");
            assert_ne!(outcome, Known::Answered, "a key withdrawn during the pause works");
        }
        until("the resumed VM has all changes", async || {
            cell.contact.version(paused).await == Some(version)
        })
        .await;
        cell.contact.settle(&[paused]).await;
        let after = jobs(&cell, &ALL, "after").await;
        finish(&cell, &fleet, paused, &after).await;
        assert_eq!(
            fleet.ledger.running(service).len(),
            6,
            "the service still runs, once"
        );
        load.check(&fleet).await;
        cell.contact.whole("zone 1").await;
    });
}

/// Damage to the end of a log that a voter has acknowledged.
#[derive(Clone, Copy, PartialEq)]
enum Loss {
    /// The last segment of each group is shorter.
    Torn,
    /// The folder is an older copy of itself.
    OlderCopy,
}

/// A cell whose VM `c-1` has restarted without the end of its logs, with what it accepted before.
struct Damaged {
    cell: Cell,
    fleet: Fleet,
    number: usize,
    accepted: Vec<id::JobId>,
    version: u64,
}

async fn damaged(loss: Loss) -> Damaged {
    let (mut cell, fleet) = cell().await;
    let number = 4;
    let kept = cell.folder.path().join("copy");
    cell.kill(number);
    copy(&cell.data(number), &kept);
    cell.spawn(number);
    cell.wait_ready(number).await;
    cell.contact.settle(&[number]).await;
    let accepted = jobs(&cell, &[number], "before").await;
    let version = change_often(&cell, 0, 0, 50).await;
    finish(&cell, &fleet, number, &accepted).await;
    cell.contact.whole("zone 3").await;
    cell.kill(number);
    match loss {
        Loss::Torn => {
            for group in ["root", "zone-3"] {
                let segment = newest_segment(&cell.data(number).join(group));
                let length = segment.metadata().expect("a file").len();
                let file = std::fs::File::options()
                    .write(true)
                    .open(&segment)
                    .expect("a segment");
                file.set_len(length - 7).expect("a shorter segment");
            }
        }
        Loss::OlderCopy => {
            std::fs::remove_dir_all(cell.data(number)).expect("the folder is removed");
            copy(&kept, &cell.data(number));
        }
    }
    cell.spawn(number);
    cell.wait_ready(number).await;
    Damaged {
        cell,
        fleet,
        number,
        accepted,
        version,
    }
}

/// Guards against a data folder without the end of its logs that takes accepted work back. Such a loss is not
/// detected; it is harmless while the other voters, which hold what was accepted, are a majority.
#[parameterized(torn = { Loss::Torn }, older_copy = { Loss::OlderCopy })]
fn a_lost_end_of_a_log_takes_nothing_back(loss: Loss) {
    run(async {
        let Damaged {
            cell,
            fleet,
            number,
            accepted,
            version,
        } = damaged(loss).await;
        // A resend finds the first submission, also when it goes to the damaged VM first.
        let again = jobs(&cell, &ALL.map(|at| (number + at) % 6), "before").await;
        assert_eq!(again, accepted, "a resent submission is the first job");
        for job in &accepted {
            assert_eq!(
                cell.contact.job_state(0, *job).await.as_deref(),
                Some("succeeded")
            );
        }
        assert_eq!(cell.contact.version(0).await, Some(version));
        fleet.check_tasks();
    });
}

/// Guards against a voter that, after it lost the end of its log, never receives entries again.
#[parameterized(torn = { Loss::Torn }, older_copy = { Loss::OlderCopy })]
fn a_voter_that_lost_the_end_of_its_log_catches_up(loss: Loss) {
    run(async {
        let Damaged {
            cell,
            fleet,
            number,
            accepted,
            version,
        } = damaged(loss).await;
        until("the damaged VM has all changes", async || {
            cell.contact.version(number).await == Some(version)
        })
        .await;
        cell.contact.settle(&[number]).await;
        for group in ["root", "zone 3"] {
            cell.contact.whole(group).await;
        }
        finish(&cell, &fleet, number, &accepted).await;
    });
}

/// Starts the first VM alone on a data folder; returns its status and what it wrote.
fn start_on(data: &Path, unprivileged: bool) -> (Option<i32>, String) {
    let folder = tempfile::tempdir().expect("a folder");
    let log = folder.path().join("log");
    let mut command = std::process::Command::new(system::process::binary());
    command
        .env_clear()
        .args(["--name", "a-1", "--region", "1", "--zone", "1", "--found"]);
    for flag in ["--peer", "--http", "--rpc"] {
        command.args([flag, "127.0.0.1:0"]);
    }
    command.args(["--log-level", "error"]).arg("--data").arg(data);
    if unprivileged && rustix::process::geteuid().is_root() {
        // The rights of a folder do not stop the administrator.
        command.uid(65_534).gid(65_534);
    }
    let status = Process::start(command, &log).wait();
    (status.code(), std::fs::read_to_string(&log).expect("a log"))
}

fn one_clear_error(status: Option<i32>, log: &str, data: &Path) {
    assert_eq!(status, Some(1), "{log}");
    assert_eq!(log.lines().count(), 1, "{log}");
    assert!(
        log.contains("--data") && log.contains(&*data.to_string_lossy()),
        "{log}"
    );
}

/// Guards against a daemon that starts without the durable state that it was told to keep.
#[test]
fn a_read_only_data_folder_is_one_clear_error() {
    use std::os::unix::fs::PermissionsExt;
    let folder = tempfile::tempdir().expect("a folder");
    let set = |mode| std::fs::set_permissions(folder.path(), std::fs::Permissions::from_mode(mode));
    set(0o555).expect("rights can be set");
    let (status, log) = start_on(folder.path(), true);
    set(0o755).expect("rights can be set");
    one_clear_error(status, &log, folder.path());
}

/// Guards against a voter that goes on without the log that it promised to hold, and then votes as if it were new.
#[test]
fn a_damaged_log_is_one_clear_error() {
    run(async {
        let mut cell = Cell::start().await;
        cell.contact.whole("root").await;
        cell.kill(0);
        let segment = newest_segment(&cell.data(0).join("root"));
        let mut bytes = std::fs::read(&segment).expect("a segment");
        bytes[40] ^= 0x10;
        std::fs::write(&segment, bytes).expect("a damaged segment");
        let (status, log) = start_on(&cell.data(0), false);
        one_clear_error(status, &log, &cell.data(0));
    });
}
