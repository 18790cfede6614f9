//! What operators and callers do with a cell, whichever way it was started.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bronzespoke_language::answer::{Answer, Code};
use bronzespoke_model::{id, job, resource, vm};
use bronzespoke_rpc::{OperatorClient, command};
use bronzespoke_standin::caller;
use http::{Method, StatusCode};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};

/// Safety limit of every wait; no bound of the design depends on it.
pub const LIMIT: Duration = Duration::from_secs(50);
/// Pause between two looks.
const POLL: Duration = Duration::from_millis(25);
/// Service of the tests.
pub const SERVICE: &str = "reconciliations";
/// Open queue of the tests.
pub const QUEUE: &str = "open-desk";
/// Upper limit of processors of the team, in cores.
pub const CPU: u32 = 2_000;

/// Addresses of a cell, and the key of its team.
#[derive(Debug, Clone)]
pub struct Contact {
    pub http: Vec<SocketAddr>,
    pub rpc: Vec<SocketAddr>,
    pub key: String,
}

/// Waits until a condition holds; a test fails after the safety limit.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < LIMIT, "{what} did not happen within {LIMIT:?}");
        tokio::time::sleep(POLL).await;
    }
}

/// A job of small tasks.
pub fn spec(kind: job::Kind, tasks: u32, cpu: u32, command: &str) -> job::Spec {
    job::Spec {
        kind,
        priority: job::Priority::Normal,
        tasks,
        size: resource::Amount::new(cpu * 1000, 1024, 0),
        accelerator: 0,
        run_time: Duration::from_millis(200),
        checkpoint: false,
        command: String::from(command),
    }
}

impl Contact {
    /// Returns the contact of a cell that nobody has set up yet.
    pub fn new(http: Vec<SocketAddr>, rpc: Vec<SocketAddr>) -> Self {
        let key = String::new();
        Self { http, rpc, key }
    }

    fn client(&self, number: usize) -> HttpClient {
        HttpClientBuilder::default()
            .request_timeout(Duration::from_secs(5))
            .build(format!("http://{}", self.rpc[number]))
            .expect("an address is a valid URL")
    }

    /// Executes a line once.
    pub async fn execute(&self, number: usize, line: &str, id: Option<u128>) -> Answer {
        let call = self
            .client(number)
            .execute(String::from(line), id.map(command::Id))
            .await;
        call.unwrap_or_else(|error| Answer::error(Code::Unconfirmed, error.to_string()))
    }

    /// Executes a line under one command id until the cell answers it.
    pub async fn insist(&self, number: usize, line: &str) -> Answer {
        let id = rand::random();
        let start = Instant::now();
        loop {
            match self.execute(number, line, Some(id)).await {
                Answer::Error(error) if error.code.is_retryable() => {
                    assert!(start.elapsed() < LIMIT, "{line}: {}", error.message);
                    tokio::time::sleep(POLL).await;
                }
                Answer::Error(error) => panic!("{line}: {:?} {}", error.code, error.message),
                answer => return answer,
            }
        }
    }

    /// Rows of a table, each cell as JSON.
    pub async fn rows(&self, number: usize, line: &str) -> Vec<Vec<serde_json::Value>> {
        let answer = self.execute(number, line, None).await;
        let value = serde_json::to_value(answer).expect("an answer is plain data");
        serde_json::from_value(value["rows"].clone()).unwrap_or_default()
    }

    /// The VMs that a daemon lists.
    pub async fn directory(&self, number: usize) -> Vec<vm::Vm> {
        self.client(number).directory().await.unwrap_or_default()
    }

    /// Events of a process, the oldest kept first.
    pub async fn events(&self, number: usize) -> Vec<bronzespoke_model::event::Event> {
        let (mut events, mut after) = (Vec::new(), 0);
        while let Ok(page) = self.client(number).timeline(after, 2_000).await {
            if page.events.is_empty() {
                break;
            }
            after = page.next;
            events.extend(page.events);
        }
        events
    }

    /// Number of the VM that says that it leads a group, such as `root` or `zone 1`.
    pub async fn leader(&self, group: &str) -> Option<usize> {
        for number in 0..self.http.len() {
            let name = super::NAMES[number];
            let rows = self.rows(number, "show members").await;
            if rows
                .iter()
                .any(|row| row[0] == group && row[2] == name && row[3] == "leader")
            {
                return Some(number);
            }
        }
        None
    }

    /// Waits until a group has three voters, all alive, and a leader; returns the leader's number.
    pub async fn whole(&self, group: &str) -> usize {
        let mut leader = None;
        until(&format!("three voters of {group}"), async || {
            leader = self.leader(group).await;
            let Some(number) = leader else {
                return false;
            };
            let rows = self.rows(number, "show members").await;
            let voters: Vec<_> = rows
                .iter()
                .filter(|row| row[0] == group && row[3] != "learner")
                .collect();
            voters.len() == 3 && voters.iter().all(|row| row[4] == true)
        })
        .await;
        leader.expect("the wait ended with a leader")
    }

    /// Creates a team with a key, a service and an open queue.
    pub async fn set_up(&mut self) {
        self.insist(
            0,
            &format!(
                "create team federations weight=1 cpu={CPU} memory=4000GiB accelerators=0 requests=2000"
            ),
        )
        .await;
        self.insist(0, &format!("create service {SERVICE}")).await;
        self.insist(0, &format!("create queue {QUEUE} service={SERVICE} requests=200"))
            .await;
        self.key = self.grant_key().await;
    }

    /// Grants a further key of the team.
    pub async fn grant_key(&self) -> String {
        let Answer::Text(text) = self.insist(0, "grant key to team federations").await else {
            panic!("a granted key was not shown");
        };
        let key = text.text.split_whitespace().find(|word| word.len() > 40);
        String::from(key.expect("a key in the answer").trim_end_matches('.'))
    }

    /// Waits until the given VMs serve keyed requests.
    pub async fn settle(&self, numbers: &[usize]) {
        for number in numbers {
            until(&format!("VM {number} serves keyed requests"), async || {
                let answer = caller::request(self.http[*number], SERVICE, &self.key, None, "ping").await;
                answer.is_ok_and(|answer| answer.status == StatusCode::OK)
            })
            .await;
        }
    }

    /// Submits a job under an id until a VM accepts it; returns the job.
    pub async fn submit(&self, numbers: &[usize], submission: &str, spec: &job::Spec) -> id::JobId {
        let body = serde_json::to_vec(spec).expect("a job is plain data");
        let key = format!("Bearer {}", self.key);
        let headers = [
            ("authorization", key.as_str()),
            ("content-type", "application/json"),
            ("idempotency-key", submission),
        ];
        let start = Instant::now();
        for number in numbers.iter().cycle() {
            let answer = caller::send(
                self.http[*number],
                Method::POST,
                "/v2/jobs",
                &headers,
                body.clone(),
            );
            match tokio::time::timeout(Duration::from_secs(6), answer).await {
                Ok(Ok(answer)) if answer.status == StatusCode::ACCEPTED => {
                    return answer.json()["job"].as_u64().expect("a job id");
                }
                other => assert!(
                    start.elapsed() < LIMIT,
                    "job {submission} is not accepted: {other:?}"
                ),
            }
            tokio::time::sleep(POLL).await;
        }
        unreachable!("the numbers repeat")
    }

    /// Reads the state of a job.
    pub async fn job_state(&self, number: usize, job: id::JobId) -> Option<String> {
        let key = format!("Bearer {}", self.key);
        let headers = [("authorization", key.as_str())];
        let path = format!("/v2/jobs/{job}");
        let answer = caller::send(self.http[number], Method::GET, &path, &headers, "")
            .await
            .ok()?;
        answer.json()["state"].as_str().map(String::from)
    }

    /// Waits until a job has succeeded.
    pub async fn succeeded(&self, number: usize, job: id::JobId) {
        until(&format!("job {job} succeeds"), async || {
            self.job_state(number, job).await.as_deref() == Some("succeeded")
        })
        .await;
    }

    /// Configuration version that a VM has in force.
    pub async fn version(&self, number: usize) -> Option<u64> {
        let answer = self.execute(number, "show config", None).await;
        let value = serde_json::to_value(answer).ok()?;
        value["title"].as_str()?.rsplit(' ').next()?.parse().ok()
    }
}
