//! A stand-in worker.
//!
//! It registers, reports, and runs tasks as timers. The command of a task says how it behaves: `sleep MS` ends with
//! success after that time, `fail MS` ends with failure, `serve` runs until it is stopped.
//!
//! It reports in the binary form over HTTP/2. A report names what changed since the last answered one, and everything
//! after a report that got no answer.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bronzespoke_model::{compact, id, resource, task, worker};
use bytes::Bytes;
use http::{Method, StatusCode};
use tokio::{sync::mpsc, time::Instant};
use tokio_util::sync::CancellationToken;

use crate::{client, ledger};

/// Time after which a report without an answer is sent to another entry VM.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Shortest time between two reports that only ends of runs call for. It must stay well below the 1.6 s in which urgent
/// work starts, because that may need the room of a run that ended.
const COLLECT: Duration = Duration::from_millis(500);
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
    pub fail_all: bool,
}

#[derive(Debug)]
struct Run {
    token: id::Token,
    granted: resource::Amount,
    ends: CancellationToken,
}

/// A report as it was sent, which a later one can be a change of.
struct Sent {
    sequence: u64,
    usage: HashMap<id::Token, resource::Amount>,
}

struct Worker {
    options: Options,
    ledger: Arc<ledger::Ledger>,
    client: client::Client,
    entry: usize,
    /// Who answered last, asked before the entries.
    leader: Option<SocketAddr>,
    sequence: u64,
    /// The report that was sent last.
    sent: Option<Sent>,
    /// The report that was answered last, when no later one failed.
    base: Option<Sent>,
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
    /// The request was wrong, such as a change of a report that a new leader does not know.
    Refused,
    Unreachable,
}

type Answer = Result<(worker::Reply, Option<SocketAddr>), Failure>;

/// Runs a stand-in worker until `cancel`; its tasks end with it.
pub async fn run(options: Options, ledger: Arc<ledger::Ledger>, cancel: CancellationToken) {
    let (finished, mut endings) = mpsc::unbounded_channel();
    let entry = options.registration.worker as usize;
    let mut worker = Worker {
        options,
        ledger,
        client: client::Client::new_http2(),
        entry,
        leader: None,
        sequence: 0,
        sent: None,
        base: None,
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
            // A report with ends is answered soon, so it is not replaced. Otherwise a worker whose runs keep ending
            // would get no answer at all, and its lease would run out.
            let replaceable = report.ended.is_empty();
            let mut replace_at = None;
            let call = send_report(self.client.clone(), self.address(), report);
            tokio::pin!(call);
            loop {
                tokio::select! {
                    answer = &mut call => {
                        self.answered(answer, sent, &mut lease_end).await;
                        break;
                    }
                    Some(finish) = finishes.recv() => {
                        self.finish(finish);
                        replace_at = replaceable.then_some(sent + COLLECT);
                    }
                    () = tokio::time::sleep_until(replace_at.unwrap_or(sent)), if replace_at.is_some() => break,
                    () = tokio::time::sleep_until(lease_end), if !self.running.is_empty() => {
                        self.stop_all();
                        break;
                    }
                }
            }
        }
    }

    async fn answered(&mut self, answer: Answer, sent: Instant, lease_end: &mut Instant) {
        let (reply, address) = match answer {
            Ok(answer) => answer,
            Err(failure) => return self.recover(&failure).await,
        };
        self.leader = address;
        self.base = self.sent.take();
        *lease_end = sent + Duration::from_millis(reply.lease_ms);
        // A late answer may come from a leader that has been replaced since.
        if Instant::now() < *lease_end {
            self.accept(reply);
        }
    }

    fn address(&self) -> SocketAddr {
        let entries = &self.options.entries;
        self.leader.unwrap_or(entries[self.entry % entries.len()])
    }

    /// Makes the next report a full one, because the last one may or may not have been taken.
    async fn recover(&mut self, failure: &Failure) {
        let change = self.base.take().is_some();
        match failure {
            Failure::Unregistered => self.register().await,
            Failure::Refused if change => {}
            Failure::Refused | Failure::Unreachable => self.move_on().await,
        }
    }

    /// Turns to another entry VM, over a new connection: the old one may be dead without a sign of it.
    ///
    /// A leader that was reached as the entry is not asked again at once: two reports without an answer would use up
    /// the lease.
    async fn move_on(&mut self) {
        self.client = client::Client::new_http2();
        let failed = self.address();
        self.leader = None;
        if self.address() == failed {
            self.entry += 1;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
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
            self.move_on().await;
        }
    }

    fn report(&mut self) -> worker::Report {
        let usage: HashMap<_, _> = self
            .running
            .values()
            .map(|run| (run.token, run.granted))
            .collect();
        let base = self.base.as_ref().filter(|base| self.explains(base, &usage));
        let running = self
            .running
            .iter()
            .filter(|(_, run)| base.is_none_or(|base| base.usage.get(&run.token) != Some(&run.granted)))
            .map(|(task, run)| worker::Running {
                task: *task,
                token: run.token,
                usage: run.granted,
            });
        let report = worker::Report {
            worker: self.options.registration.worker,
            incarnation: self.options.registration.incarnation,
            sequence: self.sequence,
            base: base.map(|base| base.sequence),
            running: running.collect(),
            ended: self.ended.iter().map(|(_, ended)| ended.clone()).collect(),
        };
        self.sent = Some(Sent {
            sequence: self.sequence,
            usage,
        });
        report
    }

    /// Tells whether an end is reported for every run of the base that runs no more.
    fn explains(&self, base: &Sent, usage: &HashMap<id::Token, resource::Amount>) -> bool {
        let ended = |token| self.ended.iter().any(|(_, ended)| ended.token == token);
        base.usage
            .keys()
            .all(|token| usage.contains_key(token) || ended(*token))
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
        let plan = if self.options.fail_all {
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

async fn send_report(client: client::Client, address: SocketAddr, report: worker::Report) -> Answer {
    let path = format!("/v2/workers/{}/report", report.worker);
    let body = postcard::to_stdvec(&compact::Report::from(report)).expect("a report is plain data");
    let headers = [
        ("content-type", compact::MEDIA_TYPE),
        ("accept", compact::MEDIA_TYPE),
    ];
    let response = client
        .call(
            Method::POST,
            address,
            &path,
            &headers,
            Bytes::from(body),
            REPORT_TIMEOUT,
        )
        .await
        .map_err(|_error| Failure::Unreachable)?;
    match response.status {
        StatusCode::NOT_FOUND => return Err(Failure::Unregistered),
        StatusCode::BAD_REQUEST => return Err(Failure::Refused),
        status if !status.is_success() => return Err(Failure::Unreachable),
        _ => {}
    }
    let reply: compact::Reply =
        postcard::from_bytes(&response.body).map_err(|_error| Failure::Unreachable)?;
    Ok((reply.into(), response.address))
}
