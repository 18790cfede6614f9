//! System tests with network partitions between zones and regions, on the in-process cell of the demo.

mod system;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bronzespoke_cli::demo::cell::Cell;
use bronzespoke_language::answer::{Answer, Code};
use bronzespoke_model::{event::Kind, id, job};
use bronzespoke_standin::caller;
use http::{Method, StatusCode};
use system::{
    client::{Client, QUEUE, TEAM_CORES, spec, wait_until},
    fleet::{Fleet, Outcome, send_request},
};

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];
/// Zone that is partitioned from the others.
const CUT_ZONE: u16 = 3;
/// VMs of the partitioned zone.
const INSIDE: [usize; 2] = [4, 5];
/// VM outside the partitioned zone.
const OUTSIDE: usize = 0;

/// Cell in this process, with its own runtime for the test. Daemons own runtimes, which must be neither started nor
/// dropped inside another runtime.
struct Harness {
    cell: Cell,
    client: Client,
    fleet: Option<Fleet>,
    runtime: Option<tokio::runtime::Runtime>,
    _folder: tempfile::TempDir,
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.fleet = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(Duration::from_secs(1));
        }
        self.cell.stop();
    }
}

impl Harness {
    fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let cell = Cell::start(folder.path(), 1).expect("the cell starts");
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let http = ALL.map(|number| cell.http(number)).to_vec();
        let rpc = cell.running().map(|daemon| daemon.vm().rpc).collect();
        let mut client = Client::new(http, rpc);
        let fleet = runtime.block_on(async {
            wait_until("the cell is ready", async || cell.is_ready()).await;
            client.set_up().await;
            let fleet = Fleet::start(&client).await;
            client.wait_serving(&ALL).await;
            for group in ["root", "zone 1", "zone 2", "zone 3"] {
                client.wait_membership(group).await;
            }
            fleet
        });
        Self {
            cell,
            client,
            fleet: Some(fleet),
            runtime: Some(runtime),
            _folder: folder,
        }
    }

    fn fleet(&self) -> &Fleet {
        self.fleet.as_ref().expect("the fleet runs")
    }

    fn block_on<T>(&self, test: impl Future<Output = T>) -> T {
        self.runtime.as_ref().expect("the runtime runs").block_on(test)
    }

    /// Waits until a VM refuses keyed work because its view is stale. Open queues are not affected.
    async fn wait_stale(&self, number: usize) {
        wait_until("keyed work is refused", async || {
            send_request(self.client.http[number], &self.client.key, None, "stale?").await == Outcome::NotRun
        })
        .await;
    }

    /// Sends one request to the open queue. Returns whether the response is complete.
    async fn send_open(&self, number: usize, body: &'static str) -> bool {
        let path = format!("/v2/queues/{QUEUE}/requests");
        let response = caller::send(self.client.http[number], Method::POST, &path, &[], body).await;
        response.is_ok_and(|response| response.status == StatusCode::OK && response.body == body)
    }

    /// Waits until, after a partition, every VM has the configuration version and serves keyed requests, and every
    /// group has all its voters. Checks that no process applied an older version after a newer one.
    async fn wait_healed(&self, version: u64) {
        for number in ALL {
            wait_until("a VM has all changes", async || {
                self.client.version(number).await == Some(version)
            })
            .await;
        }
        self.client.wait_serving(&ALL).await;
        for group in ["root", "zone 1", "zone 2", "zone 3"] {
            self.client.wait_membership(group).await;
        }
        let mut seen = std::collections::BTreeMap::new();
        for event in self.cell.events() {
            if let Kind::ConfigApplied { version } = event.kind {
                let before = seen.insert(event.process.clone(), version).unwrap_or(0);
                assert!(
                    before < version,
                    "{} went from {before} to {version}",
                    event.process
                );
            }
        }
    }

    /// Waits until a job has succeeded, and checks the workers' record.
    fn assert_finished(&self, number: usize, job: id::JobId, tasks: usize) {
        self.block_on(self.client.wait_succeeded(number, job));
        assert_eq!(self.fleet().ledger.succeeded(job), tasks);
        self.fleet().check_tasks();
    }
}

fn is_conflict(answer: &Answer) -> bool {
    matches!(answer, Answer::Error(error) if error.code == Code::Conflict)
}

/// Resends requests at every VM, and checks that none has run twice.
async fn assert_at_most_once(client: &Client, fleet: &Fleet, bodies: &[String]) {
    for body in bodies {
        for address in &client.http {
            let outcome = send_request(*address, &client.key, Some(body), body).await;
            assert!(!matches!(outcome, Outcome::WrongResponse(_)), "{outcome:?}");
        }
        assert!(
            fleet.runs_of(body) <= 1,
            "{body} ran {} times",
            fleet.runs_of(body)
        );
    }
}

/// Guards against a partitioned zone that stops its jobs and open queues, that accepts keyed work without knowing of
/// withdrawn keys, or that runs a request that also runs on the other side.
#[test]
fn a_zone_is_cut_off_and_healed() {
    let mut harness = Harness::start();
    let running = harness.block_on(async {
        let spec = spec(job::Kind::Batch, 16, 8, "sleep 4000");
        harness.client.submit_here(INSIDE[0], &spec).await
    });
    let answered = harness.block_on(async {
        let id = Some("answered-before");
        send_request(
            harness.client.http[OUTSIDE],
            &harness.client.key,
            id,
            "answered-before",
        )
        .await
    });
    assert_eq!(answered, Outcome::Answered);
    harness.cell.cut(CUT_ZONE);
    let once: Vec<String> = (0..24).map(|number| format!("once-{number}")).collect();
    harness.block_on(async {
        // The view stays fresh for the first seconds; the same request ids arrive on both sides of the partition.
        let mut callers = Vec::new();
        for body in &once {
            for number in [INSIDE[1], OUTSIDE] {
                let (address, key, body) = (
                    harness.client.http[number],
                    harness.client.key.clone(),
                    body.clone(),
                );
                callers.push(tokio::spawn(async move {
                    send_request(address, &key, Some(&body), &body).await
                }));
            }
        }
        for caller in callers {
            caller.await.expect("no caller panics");
        }
        for number in INSIDE {
            harness.wait_stale(number).await;
            let at = harness.client.http[number];
            assert_eq!(
                send_request(at, &harness.client.key, None, "never-1").await,
                Outcome::NotRun
            );
            assert_eq!(
                send_request(at, &harness.client.key, Some("never-2"), "never-2").await,
                Outcome::NotRun
            );
            assert!(
                harness.send_open(number, "open during the cut").await,
                "open queues continue"
            );
        }
        let line = "set config retry_percent=7 expect 0";
        let refused = harness.client.execute(INSIDE[0], line, None).await;
        assert!(
            matches!(refused, Answer::Error(_)),
            "the minority accepts no configuration: {refused:?}"
        );
        harness
            .client
            .execute_until_accepted(OUTSIDE, "set config retry_percent=8 expect 0")
            .await;
        wait_until("the job of the cut zone ends inside", async || {
            harness.fleet().ledger.succeeded(running) == 16
        })
        .await;
    });
    harness.cell.heal();
    harness.block_on(async {
        harness.wait_healed(1).await;
        let fleet = harness.fleet();
        assert_at_most_once(&harness.client, fleet, &once).await;
        for body in ["never-1", "never-2"] {
            assert_eq!(fleet.runs_of(body), 0, "{body} was refused with `not run`");
        }
        let id = Some("answered-before");
        let again = send_request(
            harness.client.http[INSIDE[0]],
            &harness.client.key,
            id,
            "answered-before",
        )
        .await;
        assert_eq!((again, fleet.runs_of("answered-before")), (Outcome::Answered, 1));
    });
    harness.assert_finished(INSIDE[0], running, 16);
}

/// Guards against both sides of a partition accepting configuration, and against jobs that fail with the link between
/// the regions. The partition isolates the region of zone 3 and also separates zone 3 from its witness.
#[test]
fn parted_regions_accept_configuration_on_one_side_only() {
    let mut harness = Harness::start();
    harness.cell.cut(CUT_ZONE);
    let (one, other) = harness.block_on(async {
        for number in INSIDE {
            harness.wait_stale(number).await;
        }
        // Three changes from the same version: one on the minority side, two on the majority side.
        let lines = ["retry_percent=1", "retry_percent=2", "retry_percent=3"]
            .map(|change| format!("set config {change} expect 0"));
        let inside = harness.client.execute(INSIDE[0], &lines[0], None);
        let one = harness.client.execute(0, &lines[1], None);
        let other = harness.client.execute(3, &lines[2], None);
        let (inside, one, other) = tokio::join!(inside, one, other);
        assert!(
            matches!(inside, Answer::Error(_)),
            "the minority refuses: {inside:?}"
        );
        let inside = [harness
            .client
            .submit(&[2], "b", &spec(job::Kind::Batch, 4, 1, "sleep 300"))
            .await];
        harness.client.wait_succeeded(2, inside[0]).await;
        (one, other)
    });
    let accepted = |answer: &Answer| matches!(answer, Answer::Text(_));
    let one_wins = (accepted(&one) && is_conflict(&other)) || (accepted(&other) && is_conflict(&one));
    assert!(
        one_wins,
        "exactly one change from version 0 is accepted: {one:?}, {other:?}"
    );
    let ((Answer::Error(error), _) | (_, Answer::Error(error))) = (&one, &other) else {
        unreachable!("one of the two is a conflict");
    };
    assert!(
        error.message.contains("version 1"),
        "the conflict names the accepted version: {}",
        error.message
    );
    harness.cell.heal();
    harness.block_on(async {
        harness.wait_healed(1).await;
        let late = harness
            .client
            .execute(INSIDE[1], "set config retry_percent=4 expect 0", None)
            .await;
        assert!(
            is_conflict(&late),
            "the old version is refused after the heal: {late:?}"
        );
    });
    harness.fleet().check_tasks();
}

/// Guards against a zone that depends on its witness, and against a cell that depends on the zone that bootstrapped it.
/// Zone 1 holds the leader of the root group and the witnesses of the other zones.
#[test]
fn zones_go_on_without_their_witness() {
    let mut harness = Harness::start();
    harness.cell.cut(1);
    harness.block_on(async {
        harness.wait_stale(0).await;
        harness.client.wait_serving(&[2, 3, 4, 5]).await;
        harness
            .client
            .execute_until_accepted(2, "set config retry_percent=9 expect 0")
            .await;
        for number in [2, 4] {
            let job = harness
                .client
                .submit_here(number, &spec(job::Kind::Batch, 4, 1, "sleep 300"))
                .await;
            harness.client.wait_succeeded(number, job).await;
        }
    });
    harness.cell.heal();
    harness.block_on(harness.wait_healed(1));
    harness.fleet().check_tasks();
}

/// Guards against a command that is executed twice because its answer was lost, also after a change of the leader.
#[test]
fn a_resent_command_gets_the_first_outcome() {
    let mut harness = Harness::start();
    let id = Some(0xfeed_u128);
    let line = "set config retry_percent=21 expect 0";
    let team = "create team dojos weight=1 cpu=10 memory=10GiB accelerators=0 requests=10";
    let leader = harness.block_on(async {
        let first = harness.client.execute(1, line, id).await;
        assert!(matches!(first, Answer::Text(_)), "{first:?}");
        assert_eq!(
            harness.client.execute(5, line, id).await,
            first,
            "a resend at another VM"
        );
        let created = harness.client.execute(2, team, Some(7)).await;
        assert_eq!(
            harness.client.execute(4, team, Some(7)).await,
            created,
            "a resend of a creation"
        );
        harness.client.wait_membership("root").await
    });
    harness.cell.kill(leader);
    harness.block_on(async {
        let others: Vec<_> = ALL.into_iter().filter(|number| *number != leader).collect();
        for number in others {
            let mut last = None;
            wait_until("a resend is answered after a change of the leader", async || {
                let again = harness.client.execute(number, line, id).await;
                assert!(!is_conflict(&again), "a resend is executed again: {again:?}");
                // Shown only if the test fails.
                if last.as_ref() != Some(&again) {
                    println!("VM {number} without VM {leader}: {again:?}");
                }
                let is_answered = matches!(again, Answer::Text(_));
                last = Some(again);
                is_answered
            })
            .await;
        }
        let other = harness.client.execute((leader + 1) % 6, line, Some(8)).await;
        assert!(
            is_conflict(&other),
            "another command from the same version: {other:?}"
        );
    });
}

/// Returns the processors that the jobs use now, if each task uses `each`.
fn used(harness: &Harness, jobs: &[id::JobId], each: u32) -> u32 {
    let running = |job: &id::JobId| harness.fleet().ledger.running(*job).len() as u32 * each;
    jobs.iter().map(running).sum()
}

/// Guards against a lowered limit that takes effect on one side of a partition while the other side still uses the old
/// one, so that the sum exceeds the old limit, and against a lowered limit that never takes effect.
#[test]
fn a_limit_lowered_during_a_cut_holds() {
    const TASK: u32 = 4;
    const LOWER: u32 = 120;
    let mut harness = Harness::start();
    // Three zones of 256 cores each; the limit of the team is 300 cores, and its demand in the three zones is 480.
    let limit = 300;
    let mut jobs = harness.block_on(async {
        let line = format!("set team federations cpu={limit} memory=4000GiB");
        harness.client.execute_until_accepted(0, &line).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let mut jobs = Vec::new();
        for number in [0, 2, 4] {
            let spec = spec(job::Kind::Service, 40, TASK, "serve");
            jobs.push(harness.client.submit_here(number, &spec).await);
        }
        wait_until("each zone runs something", async || {
            jobs.iter()
                .all(|job| !harness.fleet().ledger.running(*job).is_empty())
        })
        .await;
        jobs
    });
    let max_used = Arc::new(std::sync::atomic::AtomicU32::new(0));
    let watch = {
        let (ledger, jobs) = (Arc::clone(&harness.fleet().ledger), jobs.clone());
        let max_used = Arc::clone(&max_used);
        harness
            .runtime
            .as_ref()
            .expect("the runtime runs")
            .spawn(async move {
                loop {
                    let running: usize = jobs.iter().map(|job| ledger.running(*job).len()).sum();
                    max_used.fetch_max(running as u32 * TASK, std::sync::atomic::Ordering::AcqRel);
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            })
    };
    harness.cell.cut(CUT_ZONE);
    harness.block_on(async {
        harness.wait_stale(INSIDE[0]).await;
        harness
            .client
            .execute_until_accepted(0, &format!("set team federations cpu={LOWER}"))
            .await;
        let teams = harness.client.rows(0, "show teams").await;
        let cut_off = used(&harness, &jobs[2..], TASK);
        if cut_off > LOWER {
            assert_eq!(
                teams[0][7], false,
                "a limit that the cut zone may exceed is not in force: {teams:?}"
            );
        }
    });
    harness.cell.heal();
    harness.block_on(async {
        harness.client.wait_serving(&ALL).await;
        wait_until("the lower limit is in force", async || {
            let teams = harness.client.rows(0, "show teams").await;
            used(&harness, &jobs, TASK) <= LOWER && teams.iter().all(|team| team[7] == true)
        })
        .await;
    });
    watch.abort();
    let max_used = max_used.load(std::sync::atomic::Ordering::Acquire);
    assert!(
        max_used <= limit,
        "{max_used} cores ran, the upper limit was {limit} of {TEAM_CORES}"
    );
    jobs.clear();
    harness.fleet().check_tasks();
}

/// Guards against a zone that loses its log or its majority if its second VM fails right after the first one was
/// replaced.
#[test]
fn both_vms_of_a_zone_are_lost_one_after_the_other() {
    let mut harness = Harness::start();
    let job = harness.block_on(async {
        let spec = spec(job::Kind::Batch, 8, 1, "sleep 1500");
        harness.client.submit(&[2], "job", &spec).await
    });
    // A VM without a data folder returns as a new member, which replaces the old one.
    harness.cell.kill(3);
    harness.cell.restart(3).expect("the replacement starts");
    harness.block_on(async {
        wait_until("the replacement is ready", async || harness.cell.is_ready()).await;
        wait_until("the replacement is a voter of the zone", async || {
            let new = harness.cell.running().nth(3).map(|daemon| daemon.vm().id);
            let rows = harness.client.rows(2, "show members").await;
            let voters: BTreeSet<_> = rows
                .iter()
                .filter(|row| row[0] == "zone 2" && row[3] != "learner")
                .filter_map(|row| row[1].as_u64())
                .collect();
            voters.len() == 3 && new.is_some_and(|new| voters.contains(&new))
        })
        .await;
    });
    harness.cell.kill(2);
    harness.block_on(async {
        let other = spec(job::Kind::Batch, 4, 1, "sleep 200");
        let second = harness.client.submit(&[3], "second", &other).await;
        harness.client.wait_succeeded(3, second).await;
        let again = harness
            .client
            .submit(&[3], "job", &spec(job::Kind::Batch, 8, 1, "sleep 1500"))
            .await;
        assert_eq!(again, job, "the replacement knows the first submission");
    });
    harness.assert_finished(3, job, 8);
    harness.cell.restart(2).expect("the VM starts again");
    harness.block_on(async {
        wait_until("the cell is ready", async || harness.cell.is_ready()).await;
        harness.client.wait_membership("zone 2").await;
        harness.client.wait_serving(&ALL).await;
    });
    harness.fleet().check_tasks();
}
