//! Requests and responses of the deprecated version-1 API.
//!
//! `POST /v1/request` takes `{"key", "service", "id"?, "timeout"?, "body"}`: the key, the service name, the request
//! id of a request that must not run twice, the time limit in seconds, and the body as text. The response is
//! `{"status": "done", "code", "body"}` with the target's status code and body.
//!
//! `POST /v1/job` takes `{"key", "kind"?, "tasks"?, "cpu"?, "memory"?, "seconds"?, "command"}`: `kind` is `batch`
//! (default), `gang` or `service`, `cpu` is in cores and `memory` in MiB per task. The response is `{"job"}`.
//!
//! `GET /v1/job/{job}` takes the key in `X-Key`. The response is `{"job", "state"}`.

use std::time::Duration;

use bronzespoke_model::{id, job, resource};
use http::{HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};

use crate::{body, error};

/// Date of the deprecation, 1 January 2025, as the value of `Deprecation` (RFC 9745).
const DEPRECATED_SINCE: &str = "@1735689600";
/// Date from which the API may be switched off, as the value of `Sunset` (RFC 8594).
const SUNSET: &str = "Thu, 31 Dec 2026 23:59:59 GMT";
/// Maximum number of cores per task; a larger number in thousandths of a core does not fit the model's `u32`.
const MAX_CORES: f64 = 4_000_000.0;
/// Header that carries the key in `GET /v1/job/{job}`.
pub(crate) const KEY_HEADER: &str = "x-key";

/// Body of `POST /v1/request`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Request {
    pub key: String,
    pub service: String,
    #[serde(default)]
    pub id: Option<String>,
    #[serde(default)]
    pub timeout: Option<f64>,
    pub body: String,
}

/// Response to `POST /v1/request`.
#[derive(Debug, Serialize)]
pub(crate) struct Done<'a> {
    pub status: &'static str,
    pub code: u16,
    pub body: &'a str,
}

/// Body of `POST /v1/job`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Job {
    pub key: String,
    #[serde(default)]
    pub kind: Option<job::Kind>,
    #[serde(default)]
    pub tasks: Option<u32>,
    #[serde(default)]
    pub cpu: Option<f64>,
    #[serde(default)]
    pub memory: Option<u32>,
    #[serde(default)]
    pub seconds: Option<u32>,
    pub command: String,
}

/// Response to `POST /v1/job`.
#[derive(Debug, Serialize)]
pub(crate) struct Accepted {
    pub job: id::JobId,
}

/// Response to `GET /v1/job/{job}`.
#[derive(Debug, Serialize)]
pub(crate) struct State {
    pub job: id::JobId,
    pub state: &'static str,
}

impl Request {
    /// Returns the time limit, which is capped at `max_ms`, also the default.
    pub(crate) fn time_limit(&self, max_ms: u32) -> Result<Duration, error::Error> {
        let max = Duration::from_millis(u64::from(max_ms));
        match self.timeout {
            None => Ok(max),
            Some(seconds) if seconds > 0.0 && seconds.is_finite() => {
                Ok(Duration::from_secs_f64(seconds.min(max.as_secs_f64())))
            }
            Some(seconds) => Err(error::Error::field(
                "timeout",
                format!("`{seconds}` is not a wait; seconds above 0 are allowed"),
            )),
        }
    }
}

impl Job {
    /// Converts the job to the form of version 2.
    pub(crate) fn spec(&self) -> Result<job::Spec, error::Error> {
        let cores = self.cpu.unwrap_or(1.0);
        if !(cores > 0.0 && cores <= MAX_CORES) {
            let message = format!("`{cores}` is not a number of cores; above 0 to {MAX_CORES} are allowed");
            return Err(error::Error::field("cpu", message));
        }
        Ok(job::Spec {
            kind: self.kind.unwrap_or(job::Kind::Batch),
            priority: job::Priority::Normal,
            tasks: self.tasks.unwrap_or(1),
            size: resource::Amount::new((cores * 1000.0).ceil() as u32, self.memory.unwrap_or(512), 0),
            accelerator: 0,
            run_time: Duration::from_secs(u64::from(self.seconds.unwrap_or(0))),
            checkpoint: false,
            command: self.command.clone(),
        })
    }
}

/// Returns the version-1 name of a job state.
pub(crate) const fn state_name(state: job::State) -> &'static str {
    match state {
        job::State::Waiting => "waiting",
        job::State::Running => "running",
        job::State::Succeeded => "done",
        job::State::Failed => "failed",
        job::State::Cancelled => "cancelled",
        job::State::Impossible(_) => "impossible",
    }
}

/// Returns an error if the API is switched off.
pub(crate) fn check_enabled(enabled: bool) -> Result<(), error::Error> {
    if enabled {
        return Ok(());
    }
    Err(error::Error::not_run(
        StatusCode::GONE,
        "version_one_off",
        "the version-1 interface is switched off; use /v2",
    ))
}

/// Counts a call per team, so that operators see who still uses the API.
pub(crate) fn count(team: &str, route: &'static str) {
    metrics::counter!("bronzespoke_version_one_total", "team" => team.to_owned(), "route" => route)
        .increment(1);
}

/// Adds the headers that mark the API as deprecated.
pub(crate) fn add_deprecation_headers(response: &mut Response<body::Body>) {
    let headers = response.headers_mut();
    headers.insert("deprecation", HeaderValue::from_static(DEPRECATED_SINCE));
    headers.insert("sunset", HeaderValue::from_static(SUNSET));
    headers.insert(
        header::LINK,
        HeaderValue::from_static("</v2>; rel=\"successor-version\""),
    );
}
