//! A gateway with a fake control task, shared by the tests of this package.

#![allow(dead_code, reason = "each test binary uses only some items of this module")]

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bronzespoke_gateway::{control, server, settings};
use bronzespoke_model::{job, resource, service, target, team, vm};
use bronzespoke_standin::target as standin;
use sha2::Digest;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

pub const KEY: &str = "dojo-key";
pub const PLACE: vm::Place = vm::Place { region: 0, zone: 0 };

/// Calls recorded by the fake control task.
#[derive(Default)]
pub struct Control {
    pub claims: Mutex<HashMap<(u32, String), Option<control::Completion>>>,
    pub calls: AtomicU32,
    pub announced: Mutex<Vec<target::Announcement>>,
}

pub struct Cell {
    pub server: server::Server,
    pub control: Arc<Control>,
    pub view: watch::Sender<Arc<control::View>>,
    pub targets: watch::Sender<Arc<control::Targets>>,
    pub freshness: control::Freshness,
    pub cancel: CancellationToken,
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

pub fn view() -> control::View {
    let mut view = control::View::default();
    let team = team::Team {
        id: 7,
        name: "dojo".to_owned(),
        quota: team::Quota {
            weight: 1,
            limit: resource::Amount::new(1000, 1000, 0),
            requests: 1000,
        },
    };
    view.keys.insert(sha2::Sha256::digest(KEY).into(), team.id);
    view.teams.insert(team.id, Arc::new(team));
    let service = service::Service {
        id: 1,
        name: "lineage".to_owned(),
    };
    view.services.insert(service.name.clone(), service);
    let queue = service::Queue {
        id: 2,
        name: "diplomas".to_owned(),
        service: 1,
        requests: 100,
    };
    view.queues.insert(queue.name.clone(), queue);
    view
}

pub fn status(target: &standin::Target, id: u64) -> target::Status {
    target::Status {
        announcement: target.announcement(id, "lineage", 8),
        place: PLACE,
        departing: false,
        in_flight: 0,
    }
}

pub async fn cell(targets: &[&standin::Target]) -> Cell {
    cell_with(targets, settings::Settings::default(), view()).await
}

pub async fn cell_with(
    targets: &[&standin::Target],
    settings: settings::Settings,
    view: control::View,
) -> Cell {
    // Far in the future, so that the view does not become stale on a slow machine.
    start(targets, settings, view, Some(Duration::from_hours(1))).await
}

/// A cell whose view is never fresh.
pub async fn stale(targets: &[&standin::Target]) -> Cell {
    start(targets, settings::Settings::default(), view(), None).await
}

async fn start(
    targets: &[&standin::Target],
    settings: settings::Settings,
    view: control::View,
    complete_until: Option<Duration>,
) -> Cell {
    let (cell, receiver) = start_manual(targets, settings, view, complete_until).await;
    tokio::spawn(answer_calls(receiver, Arc::clone(&cell.control)));
    cell
}

/// A cell whose calls the test answers itself, with a short call timeout.
pub async fn manual(targets: &[&standin::Target]) -> (Cell, mpsc::Receiver<control::Call>) {
    let settings = settings::Settings {
        call_timeout: Duration::from_millis(200),
        ..settings::Settings::default()
    };
    start_manual(targets, settings, view(), Some(Duration::from_hours(1))).await
}

/// A cell without targets whose calls the test answers itself, with the default call timeout of several seconds.
pub async fn manual_workers() -> (Cell, mpsc::Receiver<control::Call>) {
    start_manual(&[], settings::Settings::default(), view(), None).await
}

async fn start_manual(
    targets: &[&standin::Target],
    settings: settings::Settings,
    view: control::View,
    complete_until: Option<Duration>,
) -> (Cell, mpsc::Receiver<control::Call>) {
    let (calls, receiver) = mpsc::channel(control::CALL_QUEUE_CAPACITY);
    let usable = targets
        .iter()
        .zip(1..)
        .map(|(target, id)| status(target, id))
        .collect();
    let (view, view_receiver) = watch::channel(Arc::new(view));
    let (targets, targets_receiver) = watch::channel(Arc::new(control::Targets { usable }));
    let origin = bronzespoke_clock::Origin::now()
        .checked_sub(Duration::from_secs(1))
        .expect("the VM has run for a second");
    let freshness = control::Freshness::new(origin);
    let handle = control::Handle {
        calls,
        view: view_receiver,
        targets: targets_receiver,
        freshness: freshness.clone(),
        place: PLACE,
    };
    if let Some(complete_until) = complete_until {
        freshness.advance(complete_until);
    }
    let control = Arc::new(Control::default());
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback binds");
    let cancel = CancellationToken::new();
    let render: server::MetricsRenderer = Arc::new(|| "bronzespoke_up 1\n".to_owned());
    let server =
        server::Server::start(listener, settings, handle, render, cancel.clone()).expect("the server starts");
    server.set_ready(true);
    let cell = Cell {
        server,
        control,
        view,
        targets,
        freshness,
        cancel,
    };
    (cell, receiver)
}

async fn answer_calls(mut receiver: mpsc::Receiver<control::Call>, control: Arc<Control>) {
    while let Some(call) = receiver.recv().await {
        control.calls.fetch_add(1, Ordering::Relaxed);
        answer_call(call, &control);
    }
}

fn answer_call(call: control::Call, control: &Control) {
    let status = |team, job| control::JobStatus {
        job,
        team,
        state: job::State::Running,
        waiting: 0,
        running: 1,
        succeeded: 0,
        results: Vec::new(),
    };
    match call {
        control::Call::Claim(claim, reply) => {
            let mut claims = control
                .claims
                .lock()
                .expect("no test panics while it holds the lock");
            let key = (claim.team, claim.request);
            let claimed = match claims.get(&key) {
                None | Some(Some(control::Completion::NotRun)) => {
                    claims.insert(key, None);
                    control::Claimed::Granted(1)
                }
                Some(None) => control::Claimed::InProgress,
                Some(Some(control::Completion::Answered(answer))) => {
                    control::Claimed::Answered(answer.clone())
                }
                Some(Some(control::Completion::Unknown)) => control::Claimed::Unknown,
            };
            drop(reply.send(claimed));
        }
        control::Call::Complete(claim, _, completion, _) => {
            let mut claims = control
                .claims
                .lock()
                .expect("no test panics while it holds the lock");
            claims.insert((claim.team, claim.request), Some(completion));
        }
        control::Call::Submit(_, _, spec, reply) => {
            let answer = if spec.size.cpu_milli > 64_000 {
                Err(control::Refusal::Impossible(job::Impossible::LargerThanAnyWorker))
            } else {
                Ok(42)
            };
            drop(reply.send(answer));
        }
        control::Call::Job(team, job, _, reply) | control::Call::Cancel(team, job, reply) => {
            let answer = if job == 42 {
                Ok(status(team, job))
            } else {
                Err(control::Refusal::NotFound)
            };
            drop(reply.send(answer));
        }
        control::Call::Announce(announcement, reply) => {
            let mut announced = control
                .announced
                .lock()
                .expect("no test panics while it holds the lock");
            announced.push(announcement);
            drop(reply.send(Ok(Duration::from_secs(1))));
        }
        control::Call::Depart(_, _, reply) | control::Call::Register(_, reply) => drop(reply.send(Ok(()))),
        control::Call::Report(report, reply) => {
            let leader = "127.0.0.1:9".parse().expect("the address is valid");
            drop(reply.send(if report.sequence == 0 {
                Err(control::Refusal::Redirect(leader))
            } else {
                Ok(bronzespoke_model::worker::Reply {
                    acknowledged: report.sequence,
                    lease_ms: 10_000,
                    directives: Vec::new(),
                })
            }));
        }
        control::Call::Load(..) | control::Call::Event(_) => {}
    }
}

/// Waits until `condition` holds. The limit of 30 s only keeps a failing test from hanging.
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..3000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("not the case within 30 s: {what}");
}
