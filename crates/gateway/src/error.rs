//! Refusals and failures as callers see them.

use std::time::Duration;

use bronzespoke_request::attempt;
use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;

use crate::{body, control};

/// What a caller is told about a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Execution {
    /// It certainly did not run.
    #[serde(rename = "not run")]
    NotRun,
    /// It may have run.
    #[serde(rename = "unknown")]
    Unknown,
    /// It ran.
    #[serde(rename = "run")]
    Run,
}

/// A refusal or failure.
#[derive(Debug, Clone)]
pub struct Error {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable code for programs.
    pub code: &'static str,
    /// One sentence for people; names the value at fault and what is allowed.
    pub message: Box<str>,
    /// Field, header or path segment at fault.
    pub field: Option<Box<str>>,
    /// What is known about a run.
    pub run: Execution,
    /// When to try again.
    pub retry_after: Option<Duration>,
    /// Where to go instead.
    pub location: Option<Box<str>>,
    /// Methods that the path allows.
    pub allow: Option<&'static str>,
}

#[derive(Serialize)]
struct Page<'a> {
    error: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    code: &'a str,
    message: &'a str,
    field: Option<&'a str>,
    run: Execution,
}

impl Error {
    /// Returns a fault that refuses before anything was sent.
    pub fn not_run(status: StatusCode, code: &'static str, message: impl Into<Box<str>>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            field: None,
            run: Execution::NotRun,
            retry_after: None,
            location: None,
            allow: None,
        }
    }

    /// Returns a fault after which a run is possible.
    pub fn unknown(status: StatusCode, code: &'static str, message: impl Into<Box<str>>) -> Self {
        Self {
            run: Execution::Unknown,
            ..Self::not_run(status, code, message)
        }
    }

    /// Returns a 400 fault for a field.
    pub fn field(field: impl Into<Box<str>>, message: impl Into<Box<str>>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, "invalid", message).with_field(field)
    }

    /// Names the field at fault.
    pub fn with_field(mut self, field: impl Into<Box<str>>) -> Self {
        self.field = Some(field.into());
        self
    }

    /// Says when to try again.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets what is known about a run.
    pub const fn with_run(mut self, known: attempt::Execution) -> Self {
        self.run = match known {
            attempt::Execution::NotRun => Execution::NotRun,
            // An answer that began but was cut short does not prove that the work was finished.
            attempt::Execution::Unknown | attempt::Execution::Run => Execution::Unknown,
        };
        self
    }

    /// Returns the fault for a refusal by control.
    pub fn refused(refusal: control::Refusal, path: &str) -> Self {
        match refusal {
            control::Refusal::Redirect(address) => Self {
                location: Some(format!("http://{address}{path}").into()),
                ..Self::not_run(
                    StatusCode::TEMPORARY_REDIRECT,
                    "redirect",
                    "another VM has to be asked",
                )
            },
            control::Refusal::Unavailable(message) => {
                Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "unavailable", message)
                    .with_retry_after(Duration::from_secs(1))
            }
            control::Refusal::Unknown(message) => {
                Self::unknown(StatusCode::GATEWAY_TIMEOUT, "unknown", message)
            }
            control::Refusal::Invalid { field, message } => Self::field(field, message),
            control::Refusal::NotFound => {
                Self::not_run(StatusCode::NOT_FOUND, "not_found", "there is no such thing")
            }
            control::Refusal::Impossible(reason) => Self::not_run(
                StatusCode::UNPROCESSABLE_ENTITY,
                "impossible",
                format!("the job can never run: {reason:?}"),
            ),
        }
    }

    /// Returns the HTTP answer.
    pub fn into_response(self) -> http::Response<body::Body> {
        let page = Page {
            error: Detail {
                code: self.code,
                message: &self.message,
                field: self.field.as_deref(),
                run: self.run,
            },
        };
        let body = serde_json::to_vec(&page).expect("the page is plain data");
        let mut response = http::Response::new(body::Body::full(Bytes::from(body)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = self.retry_after {
            let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Some(location) = self.location.and_then(|text| HeaderValue::from_str(&text).ok()) {
            headers.insert(header::LOCATION, location);
        }
        if let Some(allow) = self.allow {
            headers.insert(header::ALLOW, HeaderValue::from_static(allow));
        }
        response
    }
}
