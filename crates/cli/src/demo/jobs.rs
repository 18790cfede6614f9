//! Demo steps for batch, service, gang and urgent jobs.

use std::time::{Duration, Instant};

use bronzespoke_model::{id, job, resource};
use bronzespoke_standin::caller;
use http::{Method, StatusCode};

use crate::demo::{Demo, cell};

/// Timeout for a job of the demo.
const JOB_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time from the submission of urgent work to its start.
const URGENT_LIMIT: Duration = Duration::from_millis(1_600);

/// Returns the specification of a job; each task gets `cpu` cores and 1 GiB of memory for each core.
pub(super) fn spec(kind: job::Kind, tasks: u32, cpu: u32, command: &str) -> job::Spec {
    job::Spec {
        kind,
        priority: job::Priority::Normal,
        tasks,
        size: resource::Amount::new(cpu * 1000, cpu * 1024, 0),
        accelerator: 0,
        run_time: Duration::from_millis(200),
        checkpoint: true,
        command: String::from(command),
    }
}

impl Demo {
    /// Submits a job of the first team at a VM. Returns the id once the job is accepted.
    pub(super) async fn submit(&self, number: usize, spec: &job::Spec) -> Result<id::JobId, String> {
        self.submit_with(&self.key, number, spec).await
    }

    /// Submits a job with `key` at a VM. Returns the id once the job is accepted.
    pub(super) async fn submit_with(
        &self,
        key: &str,
        number: usize,
        spec: &job::Spec,
    ) -> Result<id::JobId, String> {
        let body = serde_json::to_vec(spec).map_err(|error| error.to_string())?;
        let key = format!("Bearer {key}");
        let headers = [
            ("authorization", key.as_str()),
            ("content-type", "application/json"),
        ];
        let response = caller::send(self.cell.http(number), Method::POST, "/v2/jobs", &headers, body)
            .await
            .map_err(|error| error.to_string())?;
        if response.status != StatusCode::ACCEPTED {
            return Err(format!(
                "a job was not accepted: {} {}",
                response.status,
                response.text()
            ));
        }
        response.json()["job"]
            .as_u64()
            .ok_or_else(|| format!("no job id in {}", response.text()))
    }

    /// Reads the status of a job at a VM. Returns `None` if the request fails.
    pub(super) async fn job(&self, number: usize, job: id::JobId) -> Option<serde_json::Value> {
        let key = format!("Bearer {}", self.key);
        let headers = [("authorization", key.as_str())];
        let path = format!("/v2/jobs/{job}");
        let response = caller::send(self.cell.http(number), Method::GET, &path, &headers, "")
            .await
            .ok()?;
        (response.status == StatusCode::OK).then(|| response.json())
    }

    /// Waits until a job has succeeded, and records it as completed if the workers' ledger has all its tasks as
    /// succeeded.
    pub(super) async fn wait_for_job(
        &mut self,
        kind: &'static str,
        number: usize,
        job: id::JobId,
        tasks: u32,
    ) {
        let start = Instant::now();
        let mut done = false;
        while !done && start.elapsed() < JOB_TIMEOUT {
            let status = self.job(number, job).await;
            done = status.is_some_and(|status| status["state"] == "succeeded");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let ran = self.fleet.ledger.succeeded(job) == tasks as usize;
        self.counters.record(kind, done && ran, start.elapsed());
    }

    pub(super) async fn jobs(&mut self) -> Result<(), String> {
        println!("Jobs: batch, service, all at once, urgent.");
        let workers = cell::wait_until(JOB_TIMEOUT, || self.registered_workers() == 12).await;
        workers.ok_or("not all workers registered")?;
        let batch = self
            .submit(0, &spec(job::Kind::Batch, 40, 4, "sleep 200"))
            .await?;
        let service = self.submit(1, &spec(job::Kind::Service, 6, 2, "serve")).await?;
        let gang = self.submit(4, &spec(job::Kind::Gang, 8, 16, "sleep 300")).await?;
        self.wait_for_job("batch job", 3, batch, 40).await;
        self.wait_for_job("gang job", 5, gang, 8).await;
        let start = Instant::now();
        let serving = cell::wait_until(JOB_TIMEOUT, || self.fleet.ledger.running(service).len() == 6).await;
        self.counters
            .record("service job", serving.is_some(), start.elapsed());
        self.urgent_job().await
    }

    /// Fills a zone, then submits an urgent job that has to preempt other tasks.
    async fn urgent_job(&mut self) -> Result<(), String> {
        let filler = self
            .submit(0, &spec(job::Kind::Batch, 64, 4, "sleep 60000"))
            .await?;
        let home = id::job_zone(filler);
        let full = cell::wait_until(JOB_TIMEOUT, || self.fleet.ledger.running(filler).len() >= 58).await;
        full.ok_or("the zone was not filled")?;
        let mut urgent = spec(job::Kind::Batch, 4, 8, "sleep 100");
        urgent.priority = job::Priority::Urgent;
        let number = (usize::from(home) - 1) * 2;
        let start = Instant::now();
        let job = self.submit(number, &urgent).await?;
        let started = cell::wait_until(JOB_TIMEOUT, || self.fleet.ledger.started(job) == 4).await;
        let elapsed = start.elapsed();
        println!("  Urgent tasks started after {} ms.", elapsed.as_millis());
        self.counters.check(
            started.is_some() && elapsed <= URGENT_LIMIT,
            "urgent work starts within 1.6 s",
        );
        self.wait_for_job("urgent job", number, job, 4).await;
        let path = format!("/v2/jobs/{filler}");
        let key = format!("Bearer {}", self.key);
        let headers = [("authorization", key.as_str())];
        let cancelled = caller::send(self.cell.http(3), Method::DELETE, &path, &headers, "").await;
        let ended = cell::wait_until(JOB_TIMEOUT, || self.fleet.ledger.running(filler).is_empty()).await;
        let cancelled = cancelled.is_ok_and(|response| response.status.is_success()) && ended.is_some();
        self.counters.check(cancelled, "a cancelled job stops everywhere");
        Ok(())
    }

    fn registered_workers(&self) -> usize {
        let registered = |event: &bronzespoke_model::event::Event| {
            matches!(
                event.kind,
                bronzespoke_model::event::Kind::WorkerRegistered { .. }
            )
        };
        self.cell
            .events()
            .iter()
            .filter(|event| registered(event))
            .count()
    }

    /// Submits a small batch job and waits until it has succeeded.
    pub(super) async fn run_small_job(&mut self, number: usize) -> Result<(), String> {
        let job = self
            .submit(number, &spec(job::Kind::Batch, 4, 1, "sleep 100"))
            .await?;
        self.wait_for_job("batch job", number, job, 4).await;
        Ok(())
    }

    /// Submits a job whose tasks run for 1.5 s, so that a failure can be injected while they run.
    pub(super) async fn submit_long_job(&mut self, number: usize) -> Result<id::JobId, String> {
        self.submit(number, &spec(job::Kind::Batch, 20, 1, "sleep 1500"))
            .await
    }
}
