//! Stand-in targets and workers, and callers that keep their own books.

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

use super::contact::{Contact, SERVICE};

/// Slots of a target.
const SLOTS: u32 = 8;
/// Targets and workers in each zone.
const TARGETS: u64 = 3;
const WORKERS: u64 = 4;
/// How long a target runs a request.
const RUN: Duration = Duration::from_millis(20);
/// A call without an answer for this long is given up; the caller then does not know what happened.
const GIVE_UP: Duration = Duration::from_secs(8);

/// The stand-ins; they stop when this is dropped.
pub struct Fleet {
    cancel: CancellationToken,
    pub ledger: Arc<ledger::Ledger>,
    /// Targets with their zone, from 1.
    pub targets: Vec<(usize, Arc<target::Target>)>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl Fleet {
    /// Starts targets and workers in each zone of a cell of two VMs a zone.
    pub async fn start(contact: &Contact) -> Self {
        let mut fleet = Self {
            cancel: CancellationToken::new(),
            ledger: Arc::default(),
            targets: Vec::new(),
        };
        for (index, entries) in contact.http.chunks(2).enumerate() {
            let zone = index + 1;
            for number in 0..TARGETS {
                // Each target announces at both entry VMs of its zone, so that the loss of one does not hide it.
                let running = target::Target::start(SLOTS, target::Behaviour::Echo(RUN)).await;
                let running = Arc::new(running.expect("a loopback port"));
                let announcement = running.announcement(zone as u64 * 100 + number, SERVICE, SLOTS);
                let cancel = fleet.cancel.child_token();
                tokio::spawn(announce(announcement, entries.to_vec(), cancel));
                fleet.targets.push((zone, running));
            }
            for number in 0..WORKERS {
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

    /// How often a request with this body ran, over all targets.
    pub fn runs_of(&self, body: &str) -> u32 {
        let runs = |(_, target): &(usize, Arc<target::Target>)| target.runs_of(body.as_bytes());
        self.targets.iter().map(runs).sum()
    }

    /// Checks what the workers themselves recorded: nothing ran twice, nowhere was overfilled.
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

/// Announces a target once a second, at the first entry VM of its zone that answers.
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
        if !matches!(sent, Ok(Ok(answer)) if answer.status.is_success()) {
            entry += 1;
        }
        tokio::select! {
            () = cancel.cancelled() => {}
            () = tokio::time::sleep(Duration::from_secs(1)) => {}
        }
    }
}

/// What a caller knows of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Known {
    /// Whole answer.
    Answered,
    /// Refused, and certainly not run.
    NotRun,
    /// The cell says that it may have run.
    Unknown(String),
    /// No connection.
    NoConnection,
    /// Broken off without a whole answer.
    Cut(String),
    /// A whole answer to something else.
    Foreign(String),
}

fn known(body: &str, result: Result<caller::Response, caller::Error>) -> Known {
    match result {
        Ok(answer) if answer.status == StatusCode::OK && answer.body == body.as_bytes() => Known::Answered,
        Ok(answer) if answer.status == StatusCode::OK => Known::Foreign(answer.text()),
        Ok(answer) if answer.json()["error"]["run"] == "not run" => Known::NotRun,
        Ok(answer) => Known::Unknown(answer.text()),
        Err(caller::Error::Connect(_)) => Known::NoConnection,
        Err(error) => Known::Cut(error.to_string()),
    }
}

/// Sends one request once.
pub async fn ask(address: SocketAddr, key: &str, id: Option<&str>, body: &str) -> Known {
    let call = caller::request(address, SERVICE, key, id, String::from(body));
    match tokio::time::timeout(GIVE_UP, call).await {
        Ok(result) => known(body, result),
        Err(_) => Known::Cut(String::from("no answer in time")),
    }
}

type Book = Arc<Mutex<BTreeMap<String, (usize, Vec<Known>)>>>;

/// Callers that send requests at a set of VMs until they are stopped.
pub struct Load {
    book: Book,
    cancel: CancellationToken,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts two callers at each VM: one of plain requests, and one of requests that must not be repeated, which it
    /// resends at the next VM until it has an answer.
    pub fn start(contact: &Contact, numbers: &[usize]) -> Self {
        let book = Book::default();
        let cancel = CancellationToken::new();
        let mut callers = Vec::new();
        for number in numbers {
            for once in [false, true] {
                let task = call(contact.clone(), *number, once, Arc::clone(&book), cancel.clone());
                callers.push(tokio::spawn(task));
            }
        }
        Self {
            book,
            cancel,
            callers,
        }
    }

    /// Number of requests that were answered so far.
    pub fn answered(&self) -> usize {
        let book = self.book.lock().expect("no caller panics");
        let answered = |(_, known): &&(usize, Vec<Known>)| known.last() == Some(&Known::Answered);
        book.values().filter(answered).count()
    }

    /// Stops the callers and checks their books against the targets' own counts; returns the outcomes by VM.
    pub async fn check(mut self, fleet: &Fleet) -> Vec<(usize, Vec<Known>)> {
        self.cancel.cancel();
        for caller in self.callers.drain(..) {
            caller.await.expect("no caller panics");
        }
        let book = self.book.lock().expect("no caller panics");
        let mut outcomes = Vec::new();
        for (body, (number, known)) in book.iter() {
            let runs = fleet.runs_of(body);
            for known in known {
                let foreign = matches!(known, Known::Foreign(_));
                assert!(!foreign, "{body} got the answer to something else: {known:?}");
            }
            if known
                .iter()
                .all(|known| matches!(known, Known::NotRun | Known::NoConnection))
            {
                assert_eq!(runs, 0, "{body} was refused with `not run` and ran: {known:?}");
            }
            if known.last() == Some(&Known::Answered) {
                assert!(runs >= 1, "{body} was answered and did not run: {known:?}");
            }
            if body.starts_with("once") {
                assert!(runs <= 1, "{body} ran {runs} times: {known:?}");
            }
            outcomes.push((*number, known.clone()));
        }
        assert!(!outcomes.is_empty(), "callers sent something");
        outcomes
    }
}

async fn call(contact: Contact, number: usize, once: bool, book: Book, cancel: CancellationToken) {
    for count in 0.. {
        if cancel.is_cancelled() {
            return;
        }
        let kind = if once { "once" } else { "plain" };
        let body = format!("{kind}-{number}-{count}");
        let mut outcomes = Vec::new();
        // Resends go round the cell; the cell answers them with the first outcome.
        for attempt in 0..if once { 8 } else { 1 } {
            let at = (number + attempt) % contact.http.len();
            let outcome = ask(
                contact.http[at],
                &contact.key,
                once.then_some(body.as_str()),
                &body,
            )
            .await;
            let done = outcome == Known::Answered;
            outcomes.push(outcome);
            if done {
                break;
            }
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        book.lock()
            .expect("no caller panics")
            .insert(body, (number, outcomes));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
