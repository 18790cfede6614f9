//! A cell whose zones or regions cannot reach each other, on the in-process cell of the demo.

mod system;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bronzespoke_cli::demo::cell::Cell;
use bronzespoke_language::answer::{Answer, Code};
use bronzespoke_model::{event::Kind, id, job};
use bronzespoke_standin::caller;
use http::{Method, StatusCode};
use system::{
    contact::{CPU, Contact, QUEUE, spec, until},
    fleet::{Fleet, Known, ask},
};

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];
/// The zone that is cut off, its VMs, and a VM on the other side.
const CUT: u16 = 3;
const INSIDE: [usize; 2] = [4, 5];
const OUTSIDE: usize = 0;

/// A cell in this process. Daemons own runtimes, which may be neither started nor dropped inside another one.
struct Harness {
    cell: Cell,
    contact: Contact,
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
        let mut contact = Contact::new(http, rpc);
        let fleet = runtime.block_on(async {
            until("the cell is ready", async || cell.is_ready()).await;
            contact.set_up().await;
            let fleet = Fleet::start(&contact).await;
            contact.settle(&ALL).await;
            for group in ["root", "zone 1", "zone 2", "zone 3"] {
                contact.whole(group).await;
            }
            fleet
        });
        Self {
            cell,
            contact,
            fleet: Some(fleet),
            runtime: Some(runtime),
            _folder: folder,
        }
    }

    fn fleet(&self) -> &Fleet {
        self.fleet.as_ref().expect("the fleet runs")
    }

    fn wait<T>(&self, test: impl Future<Output = T>) -> T {
        self.runtime.as_ref().expect("the runtime runs").block_on(test)
    }

    /// Waits until a VM refuses keyed work because its view is stale; open queues do not end with it.
    async fn stale(&self, number: usize) {
        until("keyed work is refused", async || {
            ask(self.contact.http[number], &self.contact.key, None, "stale?").await == Known::NotRun
        })
        .await;
    }

    /// Sends one request to the open queue.
    async fn open(&self, number: usize, body: &'static str) -> bool {
        let path = format!("/v2/queues/{QUEUE}/requests");
        let answer = caller::send(self.contact.http[number], Method::POST, &path, &[], body).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK && answer.body == body)
    }

    /// After a heal: every VM has the version, serves keyed requests, and groups are whole.
    async fn healed(&self, version: u64) {
        for number in ALL {
            until("a VM has all changes", async || {
                self.contact.version(number).await == Some(version)
            })
            .await;
        }
        self.contact.settle(&ALL).await;
        for group in ["root", "zone 1", "zone 2", "zone 3"] {
            self.contact.whole(group).await;
        }
        // A version never goes back in a process.
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

    fn finish(&self, number: usize, job: id::JobId, tasks: usize) {
        self.wait(self.contact.succeeded(number, job));
        assert_eq!(self.fleet().ledger.succeeded(job), tasks);
        self.fleet().check_tasks();
    }
}

fn is_conflict(answer: &Answer) -> bool {
    matches!(answer, Answer::Error(error) if error.code == Code::Conflict)
}

/// Resends requests at every VM; none may have run twice.
async fn at_most_once(contact: &Contact, fleet: &Fleet, bodies: &[String]) {
    for body in bodies {
        for address in &contact.http {
            let outcome = ask(*address, &contact.key, Some(body), body).await;
            assert!(!matches!(outcome, Known::Foreign(_)), "{outcome:?}");
        }
        assert!(
            fleet.runs_of(body) <= 1,
            "{body} ran {} times",
            fleet.runs_of(body)
        );
    }
}

/// Guards against a zone that stops with its links, goes on with withdrawn keys, or runs a request on both sides.
#[test]
fn a_zone_is_cut_off_and_healed() {
    let mut harness = Harness::start();
    let running = harness.wait(async {
        let spec = spec(job::Kind::Batch, 16, 8, "sleep 4000");
        harness.contact.submit_here(INSIDE[0], &spec).await
    });
    let answered = harness.wait(async {
        let id = Some("answered-before");
        ask(
            harness.contact.http[OUTSIDE],
            &harness.contact.key,
            id,
            "answered-before",
        )
        .await
    });
    assert_eq!(answered, Known::Answered);
    harness.cell.cut(CUT);
    let once: Vec<String> = (0..24).map(|number| format!("once-{number}")).collect();
    harness.wait(async {
        // During the first seconds the view is still fresh; the same ids arrive on both sides of the cut.
        let mut callers = Vec::new();
        for body in &once {
            for number in [INSIDE[1], OUTSIDE] {
                let (address, key, body) = (
                    harness.contact.http[number],
                    harness.contact.key.clone(),
                    body.clone(),
                );
                callers.push(tokio::spawn(async move {
                    ask(address, &key, Some(&body), &body).await
                }));
            }
        }
        for caller in callers {
            caller.await.expect("no caller panics");
        }
        for number in INSIDE {
            harness.stale(number).await;
            let at = harness.contact.http[number];
            assert_eq!(
                ask(at, &harness.contact.key, None, "never-1").await,
                Known::NotRun
            );
            assert_eq!(
                ask(at, &harness.contact.key, Some("never-2"), "never-2").await,
                Known::NotRun
            );
            assert!(
                harness.open(number, "open during the cut").await,
                "open queues go on"
            );
        }
        let line = "set config retry_percent=7 expect 0";
        let refused = harness.contact.execute(INSIDE[0], line, None).await;
        assert!(
            matches!(refused, Answer::Error(_)),
            "the minority accepts no configuration: {refused:?}"
        );
        harness
            .contact
            .insist(OUTSIDE, "set config retry_percent=8 expect 0")
            .await;
        until("the job of the cut zone ends inside", async || {
            harness.fleet().ledger.succeeded(running) == 16
        })
        .await;
    });
    harness.cell.heal();
    harness.wait(async {
        harness.healed(1).await;
        let fleet = harness.fleet();
        at_most_once(&harness.contact, fleet, &once).await;
        for body in ["never-1", "never-2"] {
            assert_eq!(fleet.runs_of(body), 0, "{body} was refused with `not run`");
        }
        let id = Some("answered-before");
        let again = ask(
            harness.contact.http[INSIDE[0]],
            &harness.contact.key,
            id,
            "answered-before",
        )
        .await;
        assert_eq!((again, fleet.runs_of("answered-before")), (Known::Answered, 1));
    });
    harness.finish(INSIDE[0], running, 16);
}

/// Guards against two sides that both accept configuration, or jobs that end with the link between the regions. The
/// region of zone 3 is parted; the witness of zone 3 stands across the cut, so this also cuts a witness.
#[test]
fn parted_regions_accept_configuration_on_one_side_only() {
    let mut harness = Harness::start();
    harness.cell.cut(CUT);
    let (one, other) = harness.wait(async {
        for number in INSIDE {
            harness.stale(number).await;
        }
        // Two operators start from the same version, one on each side, and two on the side of the majority.
        let lines = ["retry_percent=1", "retry_percent=2", "retry_percent=3"]
            .map(|change| format!("set config {change} expect 0"));
        let inside = harness.contact.execute(INSIDE[0], &lines[0], None);
        let one = harness.contact.execute(0, &lines[1], None);
        let other = harness.contact.execute(3, &lines[2], None);
        let (inside, one, other) = tokio::join!(inside, one, other);
        assert!(
            matches!(inside, Answer::Error(_)),
            "the minority refuses: {inside:?}"
        );
        let inside = [harness
            .contact
            .submit(&[2], "b", &spec(job::Kind::Batch, 4, 1, "sleep 300"))
            .await];
        harness.contact.succeeded(2, inside[0]).await;
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
        "the loser is told the winner: {}",
        error.message
    );
    harness.cell.heal();
    harness.wait(async {
        harness.healed(1).await;
        let late = harness
            .contact
            .execute(INSIDE[1], "set config retry_percent=4 expect 0", None)
            .await;
        assert!(
            is_conflict(&late),
            "the old version is refused after the heal: {late:?}"
        );
    });
    harness.fleet().check_tasks();
}

/// Guards against a zone that needs its witness, or a cell that needs the zone that founded it. Zone 1 holds the leader
/// of the root group and the witnesses of the other zones.
#[test]
fn zones_go_on_without_their_witness() {
    let mut harness = Harness::start();
    harness.cell.cut(1);
    harness.wait(async {
        harness.stale(0).await;
        harness.contact.settle(&[2, 3, 4, 5]).await;
        harness
            .contact
            .insist(2, "set config retry_percent=9 expect 0")
            .await;
        for number in [2, 4] {
            let job = harness
                .contact
                .submit_here(number, &spec(job::Kind::Batch, 4, 1, "sleep 300"))
                .await;
            harness.contact.succeeded(number, job).await;
        }
    });
    harness.cell.heal();
    harness.wait(harness.healed(1));
    harness.fleet().check_tasks();
}

/// Guards against a command that is done twice because its answer was lost, also when another leader answers.
#[test]
fn a_resent_command_gets_the_first_outcome() {
    let mut harness = Harness::start();
    let id = Some(0xfeed_u128);
    let line = "set config retry_percent=21 expect 0";
    let team = "create team dojos weight=1 cpu=10 memory=10GiB accelerators=0 requests=10";
    let leader = harness.wait(async {
        let first = harness.contact.execute(1, line, id).await;
        assert!(matches!(first, Answer::Text(_)), "{first:?}");
        assert_eq!(
            harness.contact.execute(5, line, id).await,
            first,
            "a resend at another VM"
        );
        let created = harness.contact.execute(2, team, Some(7)).await;
        assert_eq!(
            harness.contact.execute(4, team, Some(7)).await,
            created,
            "a resend of a creation"
        );
        harness.contact.whole("root").await
    });
    harness.cell.kill(leader);
    harness.wait(async {
        let others: Vec<_> = ALL.into_iter().filter(|number| *number != leader).collect();
        for number in others {
            until("a resend is answered after a change of the leader", async || {
                let again = harness.contact.execute(number, line, id).await;
                assert!(!is_conflict(&again), "a resend is done again: {again:?}");
                matches!(again, Answer::Text(_))
            })
            .await;
        }
        let fresh = harness.contact.execute((leader + 1) % 6, line, Some(8)).await;
        assert!(
            is_conflict(&fresh),
            "another command from the same version: {fresh:?}"
        );
    });
}

/// Processors that run for the team now, in thousandths.
fn used(harness: &Harness, jobs: &[id::JobId], each: u32) -> u32 {
    let running = |job: &id::JobId| harness.fleet().ledger.running(*job).len() as u32 * each;
    jobs.iter().map(running).sum()
}

/// Guards against a lower limit that is in force on one side of a cut while the other side still uses the old one,
/// with a sum above the old limit, and against a limit that is never reached.
#[test]
fn a_limit_lowered_during_a_cut_holds() {
    const TASK: u32 = 4;
    const LOWER: u32 = 120;
    let mut harness = Harness::start();
    // Three zones of 256 cores; the team may use 300 of them, and wants more in each zone.
    let limit = 300;
    let mut jobs = harness.wait(async {
        let line = format!("set team federations cpu={limit} memory=4000GiB");
        harness.contact.insist(0, &line).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let mut jobs = Vec::new();
        for number in [0, 2, 4] {
            let spec = spec(job::Kind::Service, 40, TASK, "serve");
            jobs.push(harness.contact.submit_here(number, &spec).await);
        }
        until("each zone runs something", async || {
            jobs.iter()
                .all(|job| !harness.fleet().ledger.running(*job).is_empty())
        })
        .await;
        jobs
    });
    let most = Arc::new(std::sync::atomic::AtomicU32::new(0));
    let watch = {
        let (ledger, jobs) = (Arc::clone(&harness.fleet().ledger), jobs.clone());
        let most = Arc::clone(&most);
        harness
            .runtime
            .as_ref()
            .expect("the runtime runs")
            .spawn(async move {
                loop {
                    let running: usize = jobs.iter().map(|job| ledger.running(*job).len()).sum();
                    most.fetch_max(running as u32 * TASK, std::sync::atomic::Ordering::AcqRel);
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            })
    };
    harness.cell.cut(CUT);
    harness.wait(async {
        harness.stale(INSIDE[0]).await;
        harness
            .contact
            .insist(0, &format!("set team federations cpu={LOWER}"))
            .await;
        let teams = harness.contact.rows(0, "show teams").await;
        let cut_off = used(&harness, &jobs[2..], TASK);
        if cut_off > LOWER {
            assert_eq!(
                teams[0][7], false,
                "a limit that the cut zone may exceed is not in force: {teams:?}"
            );
        }
    });
    harness.cell.heal();
    harness.wait(async {
        harness.contact.settle(&ALL).await;
        until("the lower limit is in force", async || {
            let teams = harness.contact.rows(0, "show teams").await;
            used(&harness, &jobs, TASK) <= LOWER && teams.iter().all(|team| team[7] == true)
        })
        .await;
    });
    watch.abort();
    let most = most.load(std::sync::atomic::Ordering::Acquire);
    assert!(
        most <= limit,
        "{most} cores ran, the upper limit was {limit} of {CPU}"
    );
    jobs.clear();
    harness.fleet().check_tasks();
}

/// Guards against a zone that loses its log or its majority when its second VM is lost right after the first was
/// replaced.
#[test]
fn both_vms_of_a_zone_are_lost_one_after_the_other() {
    let mut harness = Harness::start();
    let job = harness.wait(async {
        let spec = spec(job::Kind::Batch, 8, 1, "sleep 1500");
        harness.contact.submit(&[2], "job", &spec).await
    });
    // The VM without a data folder comes back as a new member, that is, it is replaced.
    harness.cell.kill(3);
    harness.cell.restart(3).expect("the replacement starts");
    harness.wait(async {
        until("the replacement is ready", async || harness.cell.is_ready()).await;
        until("the zone is whole with the replacement", async || {
            let new = harness.cell.running().nth(3).map(|daemon| daemon.vm().id);
            let rows = harness.contact.rows(2, "show members").await;
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
    harness.wait(async {
        let other = spec(job::Kind::Batch, 4, 1, "sleep 200");
        let second = harness.contact.submit(&[3], "second", &other).await;
        harness.contact.succeeded(3, second).await;
        let again = harness
            .contact
            .submit(&[3], "job", &spec(job::Kind::Batch, 8, 1, "sleep 1500"))
            .await;
        assert_eq!(again, job, "the replacement knows the first submission");
    });
    harness.finish(3, job, 8);
    harness.cell.restart(2).expect("the VM starts again");
    harness.wait(async {
        until("the cell is ready", async || harness.cell.is_ready()).await;
        harness.contact.whole("zone 2").await;
        harness.contact.settle(&ALL).await;
    });
    harness.fleet().check_tasks();
}
