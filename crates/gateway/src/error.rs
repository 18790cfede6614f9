//! Error responses to callers.

use std::time::Duration;

use bronzespoke_request::attempt;
use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;

use crate::{body, control};

/// Whether the request was run, as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Execution {
    /// The request did not run.
    #[serde(rename = "not run")]
    NotRun,
    /// The request may have run.
    #[serde(rename = "unknown")]
    Unknown,
    /// The request ran.
    #[serde(rename = "run")]
    Run,
}

/// Error response to a request.
#[derive(Debug, Clone)]
pub struct Error {
    /// HTTP status code.
    pub status: StatusCode,
    /// Stable code for programs to match.
    pub code: &'static str,
    /// One sentence for people, which names the invalid value and what is allowed.
    pub message: Box<str>,
    /// Invalid field, header or path segment.
    pub field: Option<Box<str>>,
    /// Whether the request was run.
    pub run: Execution,
    /// Time after which the caller may retry (`Retry-After`).
    pub retry_after: Option<Duration>,
    /// URL to send the request to instead (`Location`).
    pub location: Option<Box<str>>,
    /// Methods that the path allows (`Allow`).
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
    /// Creates an error for a request that was not run.
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

    /// Creates an error for a request that may have run.
    pub fn unknown(status: StatusCode, code: &'static str, message: impl Into<Box<str>>) -> Self {
        Self {
            run: Execution::Unknown,
            ..Self::not_run(status, code, message)
        }
    }

    /// Creates an error with status 400 for an invalid field.
    pub fn field(field: impl Into<Box<str>>, message: impl Into<Box<str>>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, "invalid", message).with_field(field)
    }

    /// Sets the name of the invalid field.
    pub fn with_field(mut self, field: impl Into<Box<str>>) -> Self {
        self.field = Some(field.into());
        self
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets whether the request was run.
    pub const fn with_execution(mut self, known: attempt::Execution) -> Self {
        self.run = match known {
            attempt::Execution::NotRun => Execution::NotRun,
            // A truncated response does not prove that the request ran to its end.
            attempt::Execution::Unknown | attempt::Execution::Run => Execution::Unknown,
        };
        self
    }

    /// Converts a refusal by control; `path` is the path of the request, for redirects.
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

    /// Returns the HTTP response with a JSON body.
    pub fn into_response(self) -> http::Response<body::Body> {
        let page = Page {
            error: Detail {
                code: self.code,
                message: &self.message,
                field: self.field.as_deref(),
                run: self.run,
            },
        };
        let body = serde_json::to_vec(&page).expect("the page serializes to JSON");
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
