//! Stand-in targets and workers, and callers that record the outcomes of their requests.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bronzespoke_model::{resource, worker};
use bronzespoke_standin::{caller, ledger, target, worker as standin};
use http::StatusCode;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::client::{Client, SERVICE};

/// Number of requests that a target runs concurrently.
const TARGET_SLOTS: u32 = 8;
/// Number of targets in each zone.
const TARGETS_PER_ZONE: u64 = 3;
/// Number of workers in each zone.
const WORKERS_PER_ZONE: u64 = 4;
/// Time that a target takes to run a request.
const RUN_TIME: Duration = Duration::from_millis(20);
/// Timeout of a request; after it the outcome is unknown to the caller.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);

/// Stand-in targets and workers; they stop on drop.
pub struct Fleet {
    cancel: CancellationToken,
    pub ledger: Arc<ledger::Ledger>,
    /// Targets with the numbers of their zones, which start at 1.
    pub targets: Vec<(usize, Arc<target::Target>)>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl Fleet {
    /// Starts targets and workers in each zone of a cell that has two VMs in each zone.
    pub async fn start(client: &Client) -> Self {
        let mut fleet = Self {
            cancel: CancellationToken::new(),
            ledger: Arc::default(),
            targets: Vec::new(),
        };
        for (index, entries) in client.http.chunks(2).enumerate() {
            let zone = index + 1;
            for number in 0..TARGETS_PER_ZONE {
                // A target announces itself at the other entry VM of its zone if one fails, so that it stays known.
                let running = target::Target::start(TARGET_SLOTS, target::Behaviour::Echo(RUN_TIME)).await;
                let running = Arc::new(running.expect("a loopback port"));
                let announcement = running.announcement(zone as u64 * 100 + number, SERVICE, TARGET_SLOTS);
                let cancel = fleet.cancel.child_token();
                tokio::spawn(announce(announcement, entries.to_vec(), cancel));
                fleet.targets.push((zone, running));
            }
            for number in 0..WORKERS_PER_ZONE {
                let registration = worker::Registration {
                    worker: zone as u64 * 1000 + number,
                    incarnation: 1,
                    rack: number as u16 / 2,
                    capacity: resource::Capacity {
                        amount: resource::Amount::new(64_000, 128 * 1024, 0),
                        accelerator: 0,
                    },
                };
                let options = standin::Options {
                    registration,
                    entries: entries.to_vec(),
                    fail_all: false,
                };
                let ledger = Arc::clone(&fleet.ledger);
                tokio::spawn(standin::run(options, ledger, fleet.cancel.child_token()));
            }
        }
        fleet
    }

    /// Returns how often a request with this body ran, summed over all targets.
    pub fn runs_of(&self, body: &str) -> u32 {
        let runs = |(_, target): &(usize, Arc<target::Target>)| target.runs_of(body.as_bytes());
        self.targets.iter().map(runs).sum()
    }

    /// Checks the record of the workers: no task ran twice, and no worker exceeded its capacity.
    pub fn check_tasks(&self) {
        let totals = self.ledger.totals();
        assert_eq!(totals.overlapping, 0, "tasks that ran in two places: {totals:?}");
        assert_eq!(totals.reruns, 0, "tasks that ran again after success: {totals:?}");
        assert_eq!(
            totals.over_capacity, 0,
            "workers that held more than they have: {totals:?}"
        );
    }
}

/// Announces a target once a second at an entry VM of its zone, and switches to the next one on an error.
async fn announce(
    announcement: bronzespoke_model::target::Announcement,
    entries: Vec<SocketAddr>,
    cancel: CancellationToken,
) {
    let path = format!("/v2/targets/{}", announcement.target);
    let body = serde_json::to_vec(&announcement).expect("an announcement is plain data");
    let mut entry = announcement.target as usize;
    while !cancel.is_cancelled() {
        let address = entries[entry % entries.len()];
        let call = caller::send(address, http::Method::PUT, &path, &[], body.clone());
        let sent = tokio::time::timeout(Duration::from_secs(1), call).await;
        if !matches!(sent, Ok(Ok(response)) if response.status.is_success()) {
            entry += 1;
        }
        tokio::select! {
            () = cancel.cancelled() => {}
            () = tokio::time::sleep(Duration::from_secs(1)) => {}
        }
    }
}

/// Outcome of one attempt of a request, as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Complete and correct response.
    Answered,
    /// Refused with `not run`.
    NotRun,
    /// Error response after which the request may have run.
    Unknown(String),
    /// No connection was established.
    NoConnection,
    /// The connection ended or the timeout passed before a complete response.
    Interrupted(String),
    /// Complete response to another request.
    WrongResponse(String),
}

fn classify(body: &str, result: Result<caller::Response, caller::Error>) -> Outcome {
    match result {
        Ok(response) if response.status == StatusCode::OK && response.body == body.as_bytes() => {
            Outcome::Answered
        }
        Ok(response) if response.status == StatusCode::OK => Outcome::WrongResponse(response.text()),
        Ok(response) if response.json()["error"]["run"] == "not run" => Outcome::NotRun,
        Ok(response) => Outcome::Unknown(response.text()),
        Err(caller::Error::Connect(_)) => Outcome::NoConnection,
        Err(error) => Outcome::Interrupted(error.to_string()),
    }
}

/// Sends a request once. A request with an id must not run twice.
pub async fn send_request(address: SocketAddr, key: &str, id: Option<&str>, body: &str) -> Outcome {
    let call = caller::request(address, SERVICE, key, id, String::from(body));
    match tokio::time::timeout(REQUEST_TIMEOUT, call).await {
        Ok(result) => classify(body, result),
        Err(_) => Outcome::Interrupted(String::from("no answer in time")),
    }
}

/// For each body: the VM of the caller, and the outcomes of all attempts.
type Record = Arc<Mutex<BTreeMap<String, (usize, Vec<Outcome>)>>>;

/// Callers that send requests to a set of VMs until they are stopped.
pub struct Load {
    record: Record,
    cancel: CancellationToken,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts two callers for each VM: one sends repeatable requests; the other sends non-repeatable requests, and
    /// resends them at the next VM until it gets a response.
    pub fn start(client: &Client, numbers: &[usize]) -> Self {
        let record = Record::default();
        let cancel = CancellationToken::new();
        let mut callers = Vec::new();
        for number in numbers {
            for once in [false, true] {
                let task = call(client.clone(), *number, once, Arc::clone(&record), cancel.clone());
                callers.push(tokio::spawn(task));
            }
        }
        Self {
            record,
            cancel,
            callers,
        }
    }

    /// Returns the number of requests answered so far.
    pub fn answered(&self) -> usize {
        let record = self.record.lock().expect("no caller panics");
        let answered = |(_, attempts): &&(usize, Vec<Outcome>)| attempts.last() == Some(&Outcome::Answered);
        record.values().filter(answered).count()
    }

    /// Stops the callers and checks their records against the counts of the targets. Returns for each request the VM of
    /// its caller and the outcomes of all attempts.
    pub async fn check(mut self, fleet: &Fleet) -> Vec<(usize, Vec<Outcome>)> {
        self.cancel.cancel();
        for caller in self.callers.drain(..) {
            caller.await.expect("no caller panics");
        }
        let record = self.record.lock().expect("no caller panics");
        let mut outcomes = Vec::new();
        for (body, (number, attempts)) in record.iter() {
            let runs = fleet.runs_of(body);
            for outcome in attempts {
                let wrong = matches!(outcome, Outcome::WrongResponse(_));
                assert!(!wrong, "{body} got the response to another request: {outcome:?}");
            }
            if attempts
                .iter()
                .all(|outcome| matches!(outcome, Outcome::NotRun | Outcome::NoConnection))
            {
                assert_eq!(runs, 0, "{body} was refused with `not run` and ran: {attempts:?}");
            }
            if attempts.last() == Some(&Outcome::Answered) {
                assert!(runs >= 1, "{body} was answered and did not run: {attempts:?}");
            }
            if body.starts_with("once") {
                assert!(runs <= 1, "{body} ran {runs} times: {attempts:?}");
            }
            outcomes.push((*number, attempts.clone()));
        }
        assert!(!outcomes.is_empty(), "callers sent something");
        outcomes
    }
}

/// Sends requests from one caller until cancelled.
async fn call(client: Client, number: usize, once: bool, record: Record, cancel: CancellationToken) {
    for count in 0.. {
        if cancel.is_cancelled() {
            return;
        }
        let kind = if once { "once" } else { "plain" };
        let body = format!("{kind}-{number}-{count}");
        let mut outcomes = Vec::new();
        // Resends go to the VMs in turn; the cell responds to them with the first outcome.
        for attempt in 0..if once { 8 } else { 1 } {
            let at = (number + attempt) % client.http.len();
            let outcome =
                send_request(client.http[at], &client.key, once.then_some(body.as_str()), &body).await;
            let done = outcome == Outcome::Answered;
            outcomes.push(outcome);
            if done {
                break;
            }
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        record
            .lock()
            .expect("no caller panics")
            .insert(body, (number, outcomes));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
