//! System tests of six `bronzespoked` processes under load, in which processes are killed, stopped, paused or damaged.
//!
//! The tests check the cell against independent records: the ledger of the stand-in workers, the counts of the stand-in
//! targets and the outcomes that the callers saw.

mod system;

use std::{collections::BTreeSet, os::unix::process::CommandExt, path::Path, time::Duration};

use bronzespoke_model::{id, job};
use bronzespoke_standin::target::Behaviour;
use rustix::process::Signal;
use system::{
    NAMES,
    client::{spec, wait_until},
    fleet::{Fleet, Load, Outcome, send_request},
    process::{Cell, Process, is_ready},
    run,
};
use tokio::task::JoinSet;
use yare::parameterized;

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];
/// Number of requests that must be answered before and after a fault, so that the fault occurs under load.
const REQUESTS_UNDER_LOAD: usize = 60;
/// Time for which a leader is paused; longer than the lease of a worker (10 s) and every other lease.
const LEADER_PAUSE: Duration = Duration::from_secs(11);

/// Starts a cell with stand-ins, and waits until every group has all its voters.
async fn start_cell() -> (Cell, Fleet) {
    let mut cell = Cell::start().await;
    cell.client.set_up().await;
    let fleet = Fleet::start(&cell.client).await;
    cell.client.wait_serving(&ALL).await;
    for group in ["root", "zone 1", "zone 2", "zone 3"] {
        cell.client.wait_membership(group).await;
    }
    (cell, fleet)
}

/// Waits until `more` further requests have been answered.
async fn wait_answered(load: &Load, more: usize) {
    let from = load.answered();
    wait_until("callers are answered", async || load.answered() >= from + more).await;
}

/// Submits six jobs at the given VMs in turn; their submission ids spread them over the zones.
async fn submit_jobs(cell: &Cell, numbers: &[usize], name: &str) -> Vec<id::JobId> {
    let mut jobs = Vec::new();
    for count in 0..6 {
        let number = numbers[count % numbers.len()];
        let candidates = [&[number], numbers].concat();
        let spec = spec(job::Kind::Batch, 12, 1, "sleep 700");
        let submission = format!("{name}-{count}");
        jobs.push(cell.client.submit(&candidates, &submission, &spec).await);
    }
    let different: BTreeSet<_> = jobs.iter().collect();
    assert_eq!(
        different.len(),
        jobs.len(),
        "each submission is a job of its own: {jobs:?}"
    );
    jobs
}

/// Waits until jobs have succeeded, and checks the workers' ledger.
async fn assert_finished(cell: &Cell, fleet: &Fleet, number: usize, jobs: &[id::JobId]) {
    for job in jobs {
        cell.client.wait_succeeded(number, *job).await;
        assert_eq!(
            fleet.ledger.succeeded(*job),
            12,
            "tasks of job {job} that succeeded"
        );
    }
    fleet.check_tasks();
}

/// Returns the numbers of all VMs except one.
fn all_except(number: usize) -> Vec<usize> {
    ALL.into_iter().filter(|other| *other != number).collect()
}

/// Checks that only callers of the killed VM saw interrupted requests or failed connections.
fn assert_interrupted_only_at(outcomes: &[(usize, Vec<Outcome>)], number: usize) {
    for (at, attempts) in outcomes {
        let interrupted = attempts
            .iter()
            .any(|outcome| matches!(outcome, Outcome::Interrupted(_) | Outcome::NoConnection));
        // A non-repeatable request is resent at the next VMs in turn, so its attempts can also reach the killed VM.
        assert!(
            !interrupted || *at == number || attempts.len() > 1,
            "VM {at} interrupted a request: {attempts:?}"
        );
    }
}

/// Kills the leader of a group under load and restarts it.
fn kill_leader(group: &str) {
    run(async {
        let (mut cell, fleet) = start_cell().await;
        let leader = cell.client.wait_membership(group).await;
        let load = Load::start(&cell.client, &ALL);
        wait_answered(&load, REQUESTS_UNDER_LOAD).await;
        let before = submit_jobs(&cell, &ALL, "before").await;
        cell.kill(leader);
        let rest = all_except(leader);
        let during = submit_jobs(&cell, &rest, "during").await;
        cell.client
            .execute_until_accepted(rest[0], "set config retry_percent=12 expect 0")
            .await;
        wait_answered(&load, REQUESTS_UNDER_LOAD).await;
        if let Some(zone) = group.strip_prefix("zone ") {
            // The witness may win the election, but the scheduler runs only on VMs of the zone.
            let zone: usize = zone.parse().expect("a number");
            wait_until("a VM of the zone leads its group", async || {
                cell.client
                    .leader(group)
                    .await
                    .is_some_and(|leads| leads / 2 + 1 == zone)
            })
            .await;
        }
        cell.spawn(leader);
        cell.wait_ready(leader).await;
        wait_until("the restarted VM catches up", async || {
            cell.client.version(leader).await == Some(1)
        })
        .await;
        cell.client.wait_serving(&[leader]).await;
        assert_finished(&cell, &fleet, leader, &[before, during].concat()).await;
        assert_interrupted_only_at(&load.check(&fleet).await, leader);
        cell.client.wait_membership(group).await;
    });
}

/// Guards against jobs, claims and answers that only the leader of a zone holds and that are lost with it.
#[test]
fn the_leader_of_a_zone_is_killed() {
    kill_leader("zone 1");
}

/// Guards against configuration and keys that only the leader of the root group holds and that are lost with it.
#[test]
fn the_leader_of_the_root_group_is_killed() {
    kill_leader("root");
}

/// Changes the configuration `count` times. Returns the last version.
///
/// Each change is sent once the previous one is applied, without waiting for its answer: while a VM is down, a change
/// is answered only after 3.5 s, when the daemon stops waiting for that VM.
async fn change_config(cell: &Cell, number: usize, from: u64, count: u64) -> u64 {
    let mut answers = JoinSet::new();
    for version in from..from + count {
        let client = cell.client.clone();
        let line = format!("set config retry_percent={} expect {version}", version % 100);
        answers.spawn(async move { client.execute_until_accepted(number, &line).await });
        wait_until("a change is applied", async || {
            cell.client.version(number).await == Some(version + 1)
        })
        .await;
    }
    answers.join_all().await;
    from + count
}

/// Copies a folder recursively.
fn copy_folder(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("a folder");
    for entry in from.read_dir().expect("a folder") {
        let entry = entry.expect("an entry");
        let target = to.join(entry.file_name());
        if entry.file_type().expect("a type").is_dir() {
            copy_folder(&entry.path(), &target);
        } else {
            std::fs::copy(entry.path(), target).expect("a copy");
        }
    }
}

/// Returns the newest log segment of a group.
fn newest_segment(folder: &Path) -> std::path::PathBuf {
    let entries = folder
        .read_dir()
        .expect("a folder")
        .flatten()
        .map(|entry| entry.path());
    let segments = entries.filter(|path| path.to_string_lossy().contains("segment-"));
    segments.max().expect("a segment")
}

/// Guards against a VM that, restarted after hundreds of changes, keeps or serves its old state, and against one that
/// returns under another id although it has its data folder.
#[test]
fn a_vm_with_a_data_folder_restarts() {
    run(async {
        let (mut cell, fleet) = start_cell().await;
        let number = 2;
        let id = std::fs::read_to_string(cell.data(number).join("vm-id")).expect("an id");
        let withdrawn = cell.client.grant_key().await;
        let prefix = {
            use sha2::Digest;
            let hash = sha2::Sha256::digest(withdrawn.as_bytes());
            bronzespoke_language::encode_hex(&hash)
        };
        cell.kill(number);
        let load = Load::start(&cell.client, &all_except(number));
        cell.client
            .execute_until_accepted(0, &format!("withdraw key {}", &prefix[..16]))
            .await;
        let version = change_config(&cell, 0, 0, 300).await;
        cell.spawn(number);
        cell.wait_ready(number).await;
        // A VM that is ready must not serve the state from before the restart.
        let outcome = send_request(cell.client.http[number], &withdrawn, None, "stale").await;
        assert_ne!(
            outcome,
            Outcome::Answered,
            "a withdrawn key works after a restart"
        );
        wait_until("the restarted VM has all changes", async || {
            cell.client.version(number).await == Some(version)
        })
        .await;
        assert_eq!(
            std::fs::read_to_string(cell.data(number).join("vm-id")).expect("an id"),
            id
        );
        let first = submit_jobs(&cell, &[number], "first").await;
        assert_finished(&cell, &fleet, number, &first).await;

        load.check(&fleet).await;
        for group in ["root", "zone 2"] {
            cell.client.wait_membership(group).await;
        }
    });
}

/// Guards against a VM that has lost its votes and votes again under its old id, and against a replacement of the
/// member that never completes.
#[test]
fn a_vm_without_a_data_folder_comes_back_as_a_new_member() {
    run(async {
        let (mut cell, fleet) = start_cell().await;
        let number = 3;
        let id_of = async |cell: &Cell| {
            let listed = cell.client.directory(0).await;
            let same: Vec<_> = listed.iter().filter(|vm| vm.name == NAMES[number]).collect();
            (same.len() == 1).then(|| same[0].id)
        };
        let old = id_of(&cell).await.expect("the VM is listed once");
        let load = Load::start(&cell.client, &all_except(number));
        let jobs = submit_jobs(&cell, &all_except(number), "job").await;
        cell.kill(number);
        wait_answered(&load, REQUESTS_UNDER_LOAD).await;
        cell.spawn(number);
        cell.wait_ready(number).await;
        wait_until("the VM is listed under a new id", async || {
            id_of(&cell).await.is_some_and(|new| new != old)
        })
        .await;
        let new = id_of(&cell).await.expect("the VM is listed once");
        wait_until("the new member replaces the old one", async || {
            let Some(leader) = cell.client.leader("zone 2").await else {
                return false;
            };
            let rows = cell.client.rows(leader, "show members").await;
            let has = |vm: u64, learner: bool| {
                let mut members = rows.iter().filter(|row| row[0] == "zone 2" && row[1] == vm);
                members.any(|row| learner || row[3] != "learner")
            };
            has(new, false) && !has(old, true)
        })
        .await;
        assert_finished(&cell, &fleet, number, &jobs).await;
        assert_interrupted_only_at(&load.check(&fleet).await, number);
    });
}

/// Guards against a shutdown that interrupts a request, that leaves its leaderships to time out as after a crash, or
/// that ends with an error.
#[test]
fn sigterm_under_load_cuts_no_request() {
    run(async {
        let (mut cell, fleet) = start_cell().await;
        let number = cell.client.wait_membership("zone 1").await;
        let jobs = submit_jobs(&cell, &ALL, "job").await;
        let load = Load::start(&cell.client, &all_except(number));
        // Slow targets keep requests running when the signal arrives. The callers below keep sending until `/readyz`
        // fails, as a load balancer does.
        for (_, target) in &fleet.targets {
            target.set(Behaviour::Echo(Duration::from_millis(300)));
        }
        let address = cell.client.http[number];
        let key = cell.client.key.clone();
        let callers: Vec<_> = (0..8)
            .map(|caller| {
                let key = key.clone();
                tokio::spawn(async move {
                    let mut outcomes = Vec::new();
                    let mut count = 0;
                    while is_ready(address).await {
                        count += 1;
                        let body = format!("drained-{caller}-{count}");
                        outcomes.push(
                            send_request(address, &key, (caller % 2 == 0).then_some(&body), &body).await,
                        );
                    }
                    // A load balancer reacts late, so one more request arrives after `/readyz` has failed.
                    let body = format!("drained-{caller}-late");
                    outcomes.push(send_request(address, &key, None, &body).await);
                    outcomes
                })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(700)).await;
        cell.process(number).signal(Signal::TERM);
        for caller in callers {
            let outcomes = caller.await.expect("no caller panics");
            let complete = outcomes.iter().all(|outcome| *outcome == Outcome::Answered);
            assert!(
                complete && outcomes.len() > 1,
                "a request was interrupted: {outcomes:?}"
            );
        }
        let status = cell.process(number).wait();
        assert_eq!(status.code(), Some(0), "a graceful end has status 0");
        wait_answered(&load, REQUESTS_UNDER_LOAD).await;
        assert_finished(&cell, &fleet, all_except(number)[0], &jobs).await;
        let outcomes = load.check(&fleet).await;
        // Resends may fail to connect to the stopped VM, but no request may be interrupted.
        let interrupted = outcomes
            .iter()
            .flat_map(|(_, attempts)| attempts)
            .find(|outcome| matches!(outcome, Outcome::Interrupted(_)));
        assert_eq!(interrupted, None, "a request was interrupted");
        cell.spawn(number);
        cell.wait_ready(number).await;
        cell.client.wait_membership("zone 1").await;
    });
}

/// Guards against a paused leader that, when it resumes, serves outdated state or starts tasks again.
#[test]
fn a_paused_leader_resumes() {
    run(async {
        let (mut cell, fleet) = start_cell().await;
        let paused = cell.client.wait_membership("zone 1").await;
        let rest = all_except(paused);
        let service = spec(job::Kind::Service, 6, 2, "serve");
        let service = cell.client.submit(&[paused], "service", &service).await;
        wait_until("the service runs", async || {
            fleet.ledger.running(service).len() == 6
        })
        .await;
        let running = submit_jobs(&cell, &ALL, "before").await;
        let key = cell.client.grant_key().await;
        let hash = {
            use sha2::Digest;
            let hash = sha2::Sha256::digest(key.as_bytes());
            bronzespoke_language::encode_hex(&hash)
        };
        let address = cell.client.http[paused];
        wait_until("the second key works", async || {
            send_request(address, &key, None, "second key").await == Outcome::Answered
        })
        .await;
        wait_until("the others know the second key", async || {
            send_request(cell.client.http[rest[0]], &key, None, "second key elsewhere").await
                == Outcome::Answered
        })
        .await;
        let load = Load::start(&cell.client, &rest);
        cell.process(paused).signal(Signal::STOP);
        let pause = tokio::time::sleep(LEADER_PAUSE);
        cell.client
            .execute_until_accepted(rest[0], &format!("withdraw key {}", &hash[..16]))
            .await;
        let version = change_config(&cell, rest[0], 0, 20).await;
        let during = submit_jobs(&cell, &rest, "during").await;
        assert_finished(&cell, &fleet, rest[0], &[running, during].concat()).await;
        pause.await;
        cell.process(paused).signal(Signal::CONT);
        let stale: Vec<_> = (0..8)
            .map(|count| {
                let key = key.clone();
                tokio::spawn(
                    async move { send_request(address, &key, None, &format!("stale-{count}")).await },
                )
            })
            .collect();
        for stale in stale {
            let outcome = stale.await.expect("no caller panics");
            assert_ne!(
                outcome,
                Outcome::Answered,
                "a key withdrawn during the pause works"
            );
        }
        wait_until("the resumed VM has all changes", async || {
            cell.client.version(paused).await == Some(version)
        })
        .await;
        cell.client.wait_serving(&[paused]).await;
        let after = submit_jobs(&cell, &ALL, "after").await;
        assert_finished(&cell, &fleet, paused, &after).await;
        assert_eq!(
            fleet.ledger.running(service).len(),
            6,
            "the service still runs, once"
        );
        load.check(&fleet).await;
        cell.client.wait_membership("zone 1").await;
    });
}

/// How a voter loses the end of a log that it has acknowledged.
#[derive(Clone, Copy, PartialEq)]
enum Loss {
    /// The last segment of each group is truncated.
    Torn,
    /// The data folder is replaced by an older copy.
    OlderCopy,
}

/// Cell whose VM `c-1` has restarted without the end of its logs, with the work that it accepted before.
struct Damaged {
    cell: Cell,
    fleet: Fleet,
    number: usize,
    accepted: Vec<id::JobId>,
    version: u64,
}

/// Starts a cell, lets VM `c-1` accept work, and restarts the VM without the end of its logs.
async fn restart_without_log_end(loss: Loss) -> Damaged {
    let (mut cell, fleet) = start_cell().await;
    let number = 4;
    let kept = cell.folder.path().join("copy");
    cell.kill(number);
    copy_folder(&cell.data(number), &kept);
    cell.spawn(number);
    cell.wait_ready(number).await;
    cell.client.wait_serving(&[number]).await;
    let accepted = submit_jobs(&cell, &[number], "before").await;
    let version = change_config(&cell, 0, 0, 50).await;
    assert_finished(&cell, &fleet, number, &accepted).await;
    cell.client.wait_membership("zone 3").await;
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
            copy_folder(&kept, &cell.data(number));
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

/// Guards against accepted work that is lost because one VM has lost the end of its logs. Such a loss is not detected;
/// it is harmless while the other voters, which hold the accepted entries, are a majority.
#[parameterized(torn = { Loss::Torn }, older_copy = { Loss::OlderCopy })]
fn a_lost_end_of_a_log_takes_nothing_back(loss: Loss) {
    run(async {
        let Damaged {
            cell,
            fleet,
            number,
            accepted,
            version,
        } = restart_without_log_end(loss).await;
        // A resend finds the first submission, also when it goes to the damaged VM first.
        let again = submit_jobs(&cell, &ALL.map(|at| (number + at) % 6), "before").await;
        assert_eq!(again, accepted, "a resent submission is the first job");
        for job in &accepted {
            assert_eq!(cell.client.job_state(0, *job).await.as_deref(), Some("succeeded"));
        }
        assert_eq!(cell.client.version(0).await, Some(version));
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
        } = restart_without_log_end(loss).await;
        wait_until("the damaged VM has all changes", async || {
            cell.client.version(number).await == Some(version)
        })
        .await;
        cell.client.wait_serving(&[number]).await;
        for group in ["root", "zone 3"] {
            cell.client.wait_membership(group).await;
        }
        assert_finished(&cell, &fleet, number, &accepted).await;
    });
}

/// Starts the first VM alone on a data folder. Returns its exit status and its log.
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
        // Permissions of a folder do not restrict root.
        command.uid(65_534).gid(65_534);
    }
    let status = Process::start(command, &log).wait();
    (status.code(), std::fs::read_to_string(&log).expect("a log"))
}

/// Checks that the daemon failed with exactly one log line, which names the flag and the folder.
fn assert_single_error(status: Option<i32>, log: &str, data: &Path) {
    assert_eq!(status, Some(1), "{log}");
    assert_eq!(log.lines().count(), 1, "{log}");
    assert!(
        log.contains("--data") && log.contains(&*data.to_string_lossy()),
        "{log}"
    );
}

/// Guards against a daemon that starts without the durable state that its settings require.
#[test]
fn a_read_only_data_folder_is_one_clear_error() {
    use std::os::unix::fs::PermissionsExt;
    let folder = tempfile::tempdir().expect("a folder");
    let set = |mode| std::fs::set_permissions(folder.path(), std::fs::Permissions::from_mode(mode));
    set(0o555).expect("permissions can be set");
    let (status, log) = start_on(folder.path(), true);
    set(0o755).expect("permissions can be set");
    assert_single_error(status, &log, folder.path());
}

/// Guards against a voter that continues without the log entries that it has acknowledged, and then votes like a new
/// member.
#[test]
fn a_damaged_log_is_one_clear_error() {
    run(async {
        let mut cell = Cell::start().await;
        cell.client.wait_membership("root").await;
        cell.kill(0);
        let segment = newest_segment(&cell.data(0).join("root"));
        let mut bytes = std::fs::read(&segment).expect("a segment");
        bytes[40] ^= 0x10;
        std::fs::write(&segment, bytes).expect("a damaged segment");
        let (status, log) = start_on(&cell.data(0), false);
        assert_single_error(status, &log, &cell.data(0));
    });
}
