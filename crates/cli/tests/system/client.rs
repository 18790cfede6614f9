//! Client of a cell for operators and callers; works with in-process cells and with cells of processes.

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

/// Timeout of every wait, so that a failing test ends. It is not a latency bound of the system.
pub const WAIT_LIMIT: Duration = Duration::from_secs(50);
/// Interval at which a condition is evaluated.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Name of the service that the tests use.
pub const SERVICE: &str = "reconciliations";
/// Name of the open queue that the tests use.
pub const QUEUE: &str = "open-desk";
/// The team's upper limit of processors, in cores.
pub const TEAM_CORES: u32 = 2_000;

/// Addresses of a cell, and the key of its team; indexed by VM number.
#[derive(Debug, Clone)]
pub struct Client {
    pub http: Vec<SocketAddr>,
    pub rpc: Vec<SocketAddr>,
    pub key: String,
}

/// Waits until `condition` holds; fails the test after [`WAIT_LIMIT`].
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(
            start.elapsed() < WAIT_LIMIT,
            "{what} did not happen within {WAIT_LIMIT:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the specification of a job whose tasks use `cpu` cores and 1 GiB of memory each.
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

impl Client {
    /// Returns a client without a key; see [`Client::set_up`].
    pub fn new(http: Vec<SocketAddr>, rpc: Vec<SocketAddr>) -> Self {
        let key = String::new();
        Self { http, rpc, key }
    }

    fn rpc_client(&self, number: usize) -> HttpClient {
        HttpClientBuilder::default()
            .request_timeout(Duration::from_secs(5))
            .build(format!("http://{}", self.rpc[number]))
            .expect("an address is a valid URL")
    }

    /// Executes a statement once. A connection failure becomes an error answer.
    pub async fn execute(&self, number: usize, line: &str, id: Option<u128>) -> Answer {
        let call = self
            .rpc_client(number)
            .execute(String::from(line), id.map(command::Id))
            .await;
        call.unwrap_or_else(|error| Answer::error(Code::Unconfirmed, error.to_string()))
    }

    /// Executes a statement, and resends it under the same command id on retryable errors; fails the test on others.
    pub async fn execute_until_accepted(&self, number: usize, line: &str) -> Answer {
        let id = rand::random();
        let start = Instant::now();
        loop {
            match self.execute(number, line, Some(id)).await {
                Answer::Error(error) if error.code.is_retryable() => {
                    assert!(start.elapsed() < WAIT_LIMIT, "{line}: {}", error.message);
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                Answer::Error(error) => panic!("{line}: {:?} {}", error.code, error.message),
                answer => return answer,
            }
        }
    }

    /// Returns the rows of the table that a query gives, as JSON values; empty on an error.
    pub async fn rows(&self, number: usize, line: &str) -> Vec<Vec<serde_json::Value>> {
        let answer = self.execute(number, line, None).await;
        let value = serde_json::to_value(answer).expect("an answer is plain data");
        serde_json::from_value(value["rows"].clone()).unwrap_or_default()
    }

    /// Returns the VMs in the directory of a daemon; empty on an error.
    pub async fn directory(&self, number: usize) -> Vec<vm::Vm> {
        self.rpc_client(number).directory().await.unwrap_or_default()
    }

    /// Returns the events that a process has kept, oldest first.
    pub async fn events(&self, number: usize) -> Vec<bronzespoke_model::event::Event> {
        let (mut events, mut after) = (Vec::new(), 0);
        while let Ok(page) = self.rpc_client(number).timeline(after, 2_000).await {
            if page.events.is_empty() {
                break;
            }
            after = page.next;
            events.extend(page.events);
        }
        events
    }

    /// Returns the number of the VM that reports itself as leader of a group, such as `root` or `zone 1`.
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

    /// Waits until a group has a leader and three live voters. Returns the number of the leader.
    pub async fn wait_membership(&self, group: &str) -> usize {
        let mut leader = None;
        wait_until(&format!("three voters of {group}"), async || {
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
        self.execute_until_accepted(
            0,
            &format!(
                "create team federations weight=1 cpu={TEAM_CORES} memory=4000GiB accelerators=0 requests=2000"
            ),
        )
        .await;
        self.execute_until_accepted(0, &format!("create service {SERVICE}"))
            .await;
        self.execute_until_accepted(0, &format!("create queue {QUEUE} service={SERVICE} requests=200"))
            .await;
        self.key = self.grant_key().await;
    }

    /// Grants a further key to the team and returns it.
    pub async fn grant_key(&self) -> String {
        let Answer::Text(text) = self
            .execute_until_accepted(0, "grant key to team federations")
            .await
        else {
            panic!("a granted key was not shown");
        };
        let key = text.text.split_whitespace().find(|word| word.len() > 40);
        String::from(key.expect("a key in the answer").trim_end_matches('.'))
    }

    /// Waits until the given VMs serve keyed requests.
    pub async fn wait_serving(&self, numbers: &[usize]) {
        for number in numbers {
            wait_until(&format!("VM {number} serves keyed requests"), async || {
                let response = caller::request(self.http[*number], SERVICE, &self.key, None, "ping").await;
                response.is_ok_and(|response| response.status == StatusCode::OK)
            })
            .await;
        }
    }

    /// Submits a job under a submission id, at the given VMs in turn, until one accepts it. Returns the job id. The
    /// submission id decides which zone becomes the home of the job.
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
            let response = caller::send(
                self.http[*number],
                Method::POST,
                "/v2/jobs",
                &headers,
                body.clone(),
            );
            match tokio::time::timeout(Duration::from_secs(6), response).await {
                Ok(Ok(response)) if response.status == StatusCode::ACCEPTED => {
                    return response.json()["job"].as_u64().expect("a job id");
                }
                other => assert!(
                    start.elapsed() < WAIT_LIMIT,
                    "job {submission} is not accepted: {other:?}"
                ),
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        unreachable!("the numbers repeat")
    }

    /// Submits a job without a submission id. The home of such a job is the zone of the VM if the job fits there.
    pub async fn submit_here(&self, number: usize, spec: &job::Spec) -> id::JobId {
        let body = serde_json::to_vec(spec).expect("a job is plain data");
        let key = format!("Bearer {}", self.key);
        let headers = [("authorization", key.as_str())];
        let response = caller::send(self.http[number], Method::POST, "/v2/jobs", &headers, body).await;
        let job = response.expect("a response").json()["job"]
            .as_u64()
            .expect("a job id");
        assert_eq!(
            usize::from(id::job_zone(job)),
            number / 2 + 1,
            "the home of the job"
        );
        job
    }

    /// Returns the state of a job, or `None` if the request fails.
    pub async fn job_state(&self, number: usize, job: id::JobId) -> Option<String> {
        let key = format!("Bearer {}", self.key);
        let headers = [("authorization", key.as_str())];
        let path = format!("/v2/jobs/{job}");
        let response = caller::send(self.http[number], Method::GET, &path, &headers, "")
            .await
            .ok()?;
        response.json()["state"].as_str().map(String::from)
    }

    /// Waits until a job has succeeded.
    pub async fn wait_succeeded(&self, number: usize, job: id::JobId) {
        wait_until(&format!("job {job} succeeds"), async || {
            self.job_state(number, job).await.as_deref() == Some("succeeded")
        })
        .await;
    }

    /// Returns the configuration version that a VM applies.
    pub async fn version(&self, number: usize) -> Option<u64> {
        let answer = self.execute(number, "show config", None).await;
        let value = serde_json::to_value(answer).ok()?;
        value["title"].as_str()?.rsplit(' ').next()?.parse().ok()
    }
}
