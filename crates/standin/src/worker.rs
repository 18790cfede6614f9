//! A stand-in worker.
//!
//! It registers, reports, and runs tasks as timers. The command of a task says how it behaves: `sleep MS` ends with
//! success after that time, `fail MS` ends with failure, `serve` runs until it is stopped.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bronzespoke_model::{id, resource, task, worker};
use bytes::Bytes;
use http::{Method, StatusCode};
use tokio::{sync::mpsc, time::Instant};
use tokio_util::sync::CancellationToken;

use crate::{client, ledger};

/// Time after which a report without an answer is sent to another entry VM.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Tokens of ended runs that are remembered, so that a late directive does not start them again.
const REMEMBERED_TOKENS: usize = 4096;

/// How a stand-in worker is set up.
#[derive(Debug, Clone)]
pub struct Options {
    /// What it registers as.
    pub registration: worker::Registration,
    /// HTTP addresses of entry VMs, tried in turn.
    pub entries: Vec<SocketAddr>,
    /// Whether every task fails at once.
    pub fails_everything: bool,
}

#[derive(Debug)]
struct Run {
    token: id::Token,
    granted: resource::Amount,
    ends: CancellationToken,
}

struct Worker {
    options: Options,
    ledger: Arc<ledger::Ledger>,
    client: client::Client,
    entry: usize,
    sequence: u64,
    running: HashMap<task::Ref, Run>,
    ended: Vec<(u64, worker::Ended)>,
    forgotten: VecDeque<id::Token>,
    finished: mpsc::UnboundedSender<Finish>,
}

struct Finish {
    task: task::Ref,
    token: id::Token,
    outcome: task::Outcome,
}

/// Why a report was not answered with directives.
enum Failure {
    Unregistered,
    Unreachable,
}

/// Runs a stand-in worker until `cancel`; its tasks end with it.
pub async fn run(options: Options, ledger: Arc<ledger::Ledger>, cancel: CancellationToken) {
    let (finished, mut endings) = mpsc::unbounded_channel();
    let entry = options.registration.worker as usize;
    let mut worker = Worker {
        options,
        ledger,
        client: client::Client::new(),
        entry,
        sequence: 0,
        running: HashMap::new(),
        ended: Vec::new(),
        forgotten: VecDeque::new(),
        finished,
    };
    tokio::select! {
        () = cancel.cancelled() => {}
        () = worker.serve(&mut endings) => {}
    }
    worker.stop_all();
}

impl Worker {
    async fn serve(&mut self, finishes: &mut mpsc::UnboundedReceiver<Finish>) {
        self.register().await;
        let mut lease_end = Instant::now();
        loop {
            let sent = Instant::now();
            self.sequence += 1;
            let report = self.report();
            let call = send_report(self.client.clone(), self.address(), report);
            tokio::select! {
                answer = call => match answer {
                    Ok(reply) => {
                        lease_end = sent + Duration::from_millis(reply.lease_ms);
                        // A late answer may come from a leader that has been replaced since.
                        if Instant::now() < lease_end {
                            self.accept(reply);
                        }
                    }
                    Err(failure) => self.recover(&failure).await,
                },
                Some(finish) = finishes.recv() => self.finish(finish),
                () = tokio::time::sleep_until(lease_end), if !self.running.is_empty() => self.stop_all(),
            }
        }
    }

    fn address(&self) -> SocketAddr {
        self.options.entries[self.entry % self.options.entries.len()]
    }

    async fn recover(&mut self, failure: &Failure) {
        match failure {
            Failure::Unregistered => self.register().await,
            Failure::Unreachable => {
                self.entry += 1;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn register(&mut self) {
        let path = format!("/v2/workers/{}", self.options.registration.worker);
        let body = serde_json::to_vec(&self.options.registration).expect("a registration is plain data");
        let body = Bytes::from(body);
        loop {
            let call = self.client.call(
                Method::PUT,
                self.address(),
                &path,
                &[],
                body.clone(),
                REPORT_TIMEOUT,
            );
            if call.await.is_ok_and(|response| response.status.is_success()) {
                return;
            }
            self.entry += 1;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn report(&self) -> worker::Report {
        let running = self.running.iter().map(|(task, run)| worker::Running {
            task: *task,
            token: run.token,
            usage: run.granted,
        });
        worker::Report {
            worker: self.options.registration.worker,
            incarnation: self.options.registration.incarnation,
            sequence: self.sequence,
            running: running.collect(),
            ended: self.ended.iter().map(|(_, ended)| ended.clone()).collect(),
        }
    }

    fn accept(&mut self, reply: worker::Reply) {
        self.ended.retain(|(sequence, _)| *sequence > reply.acknowledged);
        for directive in reply.directives {
            self.obey(directive);
        }
    }

    fn obey(&mut self, directive: task::Directive) {
        match directive {
            task::Directive::Start {
                task,
                token,
                granted,
                command,
            } => self.start(task, token, granted, &command),
            task::Directive::Stop { task, token } => self.stop(task, token, task::Outcome::Stopped),
            task::Directive::Checkpoint { task, token } => {
                self.stop(task, token, task::Outcome::Checkpointed);
            }
            task::Directive::Throttle { .. } => {}
        }
    }

    fn start(&mut self, task: task::Ref, token: id::Token, granted: resource::Amount, command: &str) {
        let known = self.running.contains_key(&task) || self.forgotten.contains(&token);
        if known {
            return;
        }
        let registration = &self.options.registration;
        self.ledger.start(
            registration.worker,
            registration.capacity.amount,
            task,
            token,
            granted,
        );
        let ends = CancellationToken::new();
        self.running.insert(
            task,
            Run {
                token,
                granted,
                ends: ends.clone(),
            },
        );
        let plan = if self.options.fails_everything {
            (Duration::ZERO, false)
        } else {
            plan(command)
        };
        let finished = self.finished.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = ends.cancelled() => {}
                () = tokio::time::sleep(plan.0) => {
                    let outcome = if plan.1 {
                        task::Outcome::Succeeded(format!("task {} done", task.index))
                    } else {
                        task::Outcome::Failed
                    };
                    drop(finished.send(Finish { task, token, outcome }));
                }
            }
        });
    }

    /// Stops a run. A run that never started is reported as stopped, and a later start with its token is refused.
    fn stop(&mut self, task: task::Ref, token: id::Token, outcome: task::Outcome) {
        let known = self.running.get(&task).is_some_and(|run| run.token == token);
        if known {
            self.finish(Finish { task, token, outcome });
        } else if !self.forgotten.contains(&token) {
            let outcome = task::Outcome::Stopped;
            self.ended
                .push((self.sequence + 1, worker::Ended { task, token, outcome }));
            self.remember(token);
        }
    }

    fn remember(&mut self, token: id::Token) {
        self.forgotten.push_back(token);
        if self.forgotten.len() > REMEMBERED_TOKENS {
            self.forgotten.pop_front();
        }
    }

    fn finish(&mut self, finish: Finish) {
        let Finish { task, token, outcome } = finish;
        if self.running.get(&task).is_none_or(|run| run.token != token) {
            return;
        }
        if let Some(run) = self.running.remove(&task) {
            run.ends.cancel();
        }
        let succeeded = matches!(outcome, task::Outcome::Succeeded(_));
        self.ledger.end(task, token, succeeded);
        self.ended
            .push((self.sequence + 1, worker::Ended { task, token, outcome }));
        self.remember(token);
    }

    /// Stops every task, as a worker does whose lease ran out.
    fn stop_all(&mut self) {
        let all: Vec<_> = self
            .running
            .iter()
            .map(|(task, run)| (*task, run.token))
            .collect();
        for (task, token) in all {
            self.stop(task, token, task::Outcome::LeaseExpired);
        }
    }
}

/// Returns how long a command runs and whether it succeeds.
fn plan(command: &str) -> (Duration, bool) {
    let mut words = command.split_whitespace();
    let verb = words.next().unwrap_or("sleep");
    let millis = words.next().and_then(|word| word.parse().ok()).unwrap_or(100);
    match verb {
        "serve" => (Duration::from_hours(24), true),
        "fail" => (Duration::from_millis(millis), false),
        _ => (Duration::from_millis(millis), true),
    }
}

async fn send_report(
    client: client::Client,
    address: SocketAddr,
    report: worker::Report,
) -> Result<worker::Reply, Failure> {
    let path = format!("/v2/workers/{}/report", report.worker);
    let body = Bytes::from(serde_json::to_vec(&report).expect("a report is plain data"));
    let headers = [("content-type", "application/json")];
    let response = client
        .call(Method::POST, address, &path, &headers, body, REPORT_TIMEOUT)
        .await
        .map_err(|_error| Failure::Unreachable)?;
    if response.status == StatusCode::NOT_FOUND {
        return Err(Failure::Unregistered);
    }
    if !response.status.is_success() {
        return Err(Failure::Unreachable);
    }
    serde_json::from_slice(&response.body).map_err(|_error| Failure::Unreachable)
}
