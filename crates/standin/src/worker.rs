//! A stand-in worker, which registers, reports, and simulates tasks with timers.
//!
//! The command of a task selects its behaviour: `sleep MS` succeeds after that time, `fail MS` fails after that time,
//! and `serve` runs until it is stopped.
//!
//! Reports are sent in the binary encoding over HTTP/2. A report is a delta to the last acknowledged one. After a
//! report without a reply, the next one is a full report.

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

/// Time limit for the reply to a report; afterwards the worker reports to another entry VM.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before the next call after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Minimum time between two reports that are sent only because runs ended. It must stay well below the 1.6 s within
/// which urgent work starts, because that work may need the resources of a run that ended.
const MIN_END_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of tokens of ended runs that are kept, so that a late directive does not start them again.
const MAX_ENDED_TOKENS: usize = 4096;

/// Configuration of a stand-in worker.
#[derive(Debug, Clone)]
pub struct Options {
    /// Registration that the worker sends.
    pub registration: worker::Registration,
    /// HTTP addresses of entry VMs, which are tried in order.
    pub entries: Vec<SocketAddr>,
    /// Whether every task fails immediately.
    pub fail_all: bool,
}

#[derive(Debug)]
struct Run {
    token: id::Token,
    granted: resource::Amount,
    cancel: CancellationToken,
}

/// The content of a sent report, to which a later report can be a delta.
struct SentReport {
    sequence: u64,
    usage: HashMap<id::Token, resource::Amount>,
}

struct Worker {
    options: Options,
    ledger: Arc<ledger::Ledger>,
    client: client::Client,
    entry: usize,
    /// Address of the last VM that replied, which is used before the entry VMs.
    leader: Option<SocketAddr>,
    sequence: u64,
    /// Latest report that was sent.
    sent: Option<SentReport>,
    /// Latest acknowledged report, if no later one failed.
    base: Option<SentReport>,
    running: HashMap<task::Ref, Run>,
    /// Ended runs that are not acknowledged, with the sequence number of the first report that contains each.
    ended: Vec<(u64, worker::Ended)>,
    ended_tokens: VecDeque<id::Token>,
    completed: mpsc::UnboundedSender<Completion>,
}

/// The end of a run.
struct Completion {
    task: task::Ref,
    token: id::Token,
    outcome: task::Outcome,
}

/// Reason why a report got no directives.
enum Failure {
    Unregistered,
    /// The report was rejected, for example a delta to a report that a new leader does not have.
    Rejected,
    Unreachable,
}

type ReportResult = Result<(worker::Reply, Option<SocketAddr>), Failure>;

/// Runs a stand-in worker until `cancel`, then stops its tasks.
pub async fn run(options: Options, ledger: Arc<ledger::Ledger>, cancel: CancellationToken) {
    let (completed, mut completions) = mpsc::unbounded_channel();
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
        ended_tokens: VecDeque::new(),
        completed,
    };
    tokio::select! {
        () = cancel.cancelled() => {}
        () = worker.serve(&mut completions) => {}
    }
    worker.stop_all();
}

impl Worker {
    async fn serve(&mut self, completions: &mut mpsc::UnboundedReceiver<Completion>) {
        self.register().await;
        let mut lease_end = Instant::now();
        loop {
            let sent = Instant::now();
            self.sequence += 1;
            let report = self.report();
            // The reply to a report with ended runs is sent soon, so such a report is not replaced by a newer one.
            // Otherwise a worker whose runs keep ending would never get a reply, and its lease would expire.
            let replaceable = report.ended.is_empty();
            let mut replace_at = None;
            let call = send_report(self.client.clone(), self.address(), report);
            tokio::pin!(call);
            loop {
                tokio::select! {
                    result = &mut call => {
                        self.handle_result(result, sent, &mut lease_end).await;
                        break;
                    }
                    Some(completion) = completions.recv() => {
                        self.complete(completion);
                        replace_at = replaceable.then_some(sent + MIN_END_REPORT_INTERVAL);
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

    async fn handle_result(&mut self, result: ReportResult, sent: Instant, lease_end: &mut Instant) {
        let (reply, address) = match result {
            Ok(reply) => reply,
            Err(failure) => return self.recover(&failure).await,
        };
        self.leader = address;
        self.base = self.sent.take();
        *lease_end = sent + Duration::from_millis(reply.lease_ms);
        // A late reply may come from a leader that has been replaced.
        if Instant::now() < *lease_end {
            self.handle_reply(reply);
        }
    }

    fn address(&self) -> SocketAddr {
        let entries = &self.options.entries;
        self.leader.unwrap_or(entries[self.entry % entries.len()])
    }

    /// Makes the next report a full one, because it is unknown whether the failed one was processed.
    async fn recover(&mut self, failure: &Failure) {
        let was_delta = self.base.take().is_some();
        match failure {
            Failure::Unregistered => self.register().await,
            Failure::Rejected if was_delta => {}
            Failure::Rejected | Failure::Unreachable => self.switch_entry().await,
        }
    }

    /// Switches to another entry VM and a new connection, because the old connection may have failed silently.
    ///
    /// If the leader was reached as the entry VM, the next entry VM is used: a second report without a reply would let
    /// the lease expire.
    async fn switch_entry(&mut self) {
        self.client = client::Client::new_http2();
        let failed = self.address();
        self.leader = None;
        if self.address() == failed {
            self.entry += 1;
        }
        tokio::time::sleep(RETRY_DELAY).await;
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
            self.switch_entry().await;
        }
    }

    /// Returns the next report, as a delta if possible.
    fn report(&mut self) -> worker::Report {
        let usage: HashMap<_, _> = self
            .running
            .values()
            .map(|run| (run.token, run.granted))
            .collect();
        let base = self
            .base
            .as_ref()
            .filter(|base| self.reports_all_ends(base, &usage));
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
        self.sent = Some(SentReport {
            sequence: self.sequence,
            usage,
        });
        report
    }

    /// Returns whether the end of every run that the base contains and that no longer runs is reported. Otherwise the
    /// report must be a full one.
    fn reports_all_ends(&self, base: &SentReport, usage: &HashMap<id::Token, resource::Amount>) -> bool {
        let ended = |token| self.ended.iter().any(|(_, ended)| ended.token == token);
        base.usage
            .keys()
            .all(|token| usage.contains_key(token) || ended(*token))
    }

    fn handle_reply(&mut self, reply: worker::Reply) {
        self.ended.retain(|(sequence, _)| *sequence > reply.acknowledged);
        for directive in reply.directives {
            self.execute(directive);
        }
    }

    fn execute(&mut self, directive: task::Directive) {
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
        let known = self.running.contains_key(&task) || self.ended_tokens.contains(&token);
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
        let cancel = CancellationToken::new();
        self.running.insert(
            task,
            Run {
                token,
                granted,
                cancel: cancel.clone(),
            },
        );
        let (run_time, succeeds) = if self.options.fail_all {
            (Duration::ZERO, false)
        } else {
            parse_command(command)
        };
        let completed = self.completed.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = tokio::time::sleep(run_time) => {
                    let outcome = if succeeds {
                        task::Outcome::Succeeded(format!("task {} done", task.index))
                    } else {
                        task::Outcome::Failed
                    };
                    drop(completed.send(Completion { task, token, outcome }));
                }
            }
        });
    }

    /// Stops a run. A run that never started is reported as stopped, and a later start with its token is ignored.
    fn stop(&mut self, task: task::Ref, token: id::Token, outcome: task::Outcome) {
        let known = self.running.get(&task).is_some_and(|run| run.token == token);
        if known {
            self.complete(Completion { task, token, outcome });
        } else if !self.ended_tokens.contains(&token) {
            let outcome = task::Outcome::Stopped;
            self.ended
                .push((self.sequence + 1, worker::Ended { task, token, outcome }));
            self.record_ended_token(token);
        }
    }

    fn record_ended_token(&mut self, token: id::Token) {
        self.ended_tokens.push_back(token);
        if self.ended_tokens.len() > MAX_ENDED_TOKENS {
            self.ended_tokens.pop_front();
        }
    }

    fn complete(&mut self, completion: Completion) {
        let Completion { task, token, outcome } = completion;
        if self.running.get(&task).is_none_or(|run| run.token != token) {
            return;
        }
        if let Some(run) = self.running.remove(&task) {
            run.cancel.cancel();
        }
        let succeeded = matches!(outcome, task::Outcome::Succeeded(_));
        self.ledger.end(task, token, succeeded);
        self.ended
            .push((self.sequence + 1, worker::Ended { task, token, outcome }));
        self.record_ended_token(token);
    }

    /// Stops every task, as a worker does when its lease expires.
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

/// Returns the run time of a command and whether it succeeds.
fn parse_command(command: &str) -> (Duration, bool) {
    let mut words = command.split_whitespace();
    let verb = words.next().unwrap_or("sleep");
    let millis = words.next().and_then(|word| word.parse().ok()).unwrap_or(100);
    match verb {
        "serve" => (Duration::from_hours(24), true),
        "fail" => (Duration::from_millis(millis), false),
        _ => (Duration::from_millis(millis), true),
    }
}

async fn send_report(client: client::Client, address: SocketAddr, report: worker::Report) -> ReportResult {
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
        StatusCode::BAD_REQUEST => return Err(Failure::Rejected),
        status if !status.is_success() => return Err(Failure::Unreachable),
        _ => {}
    }
    let reply: compact::Reply =
        postcard::from_bytes(&response.body).map_err(|_error| Failure::Unreachable)?;
    Ok((reply.into(), response.address))
}
