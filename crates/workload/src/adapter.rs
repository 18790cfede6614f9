//! Interface to one platform.

use std::fmt;

use bytes::Bytes;
use http::{Request, Response, request};

use crate::{call, directive, eligibility, settings};

/// Translates between one platform's interface and the types of this package. It does no I/O and keeps no state.
pub trait Adapter: fmt::Debug + Send + Sync {
    /// Decodes the text of a settings file. On failure, returns every error that was found.
    fn settings(&self, text: &str) -> Result<settings::Settings, Vec<String>>;

    /// Decodes a request of a caller.
    fn caller(&self, head: &request::Parts, body: &Bytes) -> Result<call::Job, Error>;

    /// Returns how long a caller waits for its reply, if the request states it.
    fn timeout(&self, head: &request::Parts) -> Option<std::time::Duration>;

    /// Decodes a request of an operator or a worker.
    fn control(&self, head: &request::Parts, body: &Bytes) -> Result<call::Call, Error>;

    /// Returns whether a request is a readiness probe.
    fn is_probe(&self, head: &request::Parts) -> bool;

    /// Encodes the reply to a call of a caller, an operator or a worker.
    fn reply(&self, reply: &call::Reply) -> Response<Bytes>;

    /// Encodes the response to a request that could not be decoded.
    fn error(&self, error: &Error) -> Response<Bytes>;

    /// Encodes a directive to a worker.
    fn directive(
        &self,
        worker: &str,
        token: directive::Token,
        directive: &directive::Directive,
    ) -> Request<Bytes>;

    /// Decodes a worker's answer to a directive.
    fn answer(
        &self,
        directive: &directive::Directive,
        status: http::StatusCode,
        body: &Bytes,
    ) -> directive::Answer;

    /// Encodes a query to the eligibility service.
    fn query(&self, query: &eligibility::Query) -> Request<Bytes>;

    /// Decodes the answer of the eligibility service.
    fn eligibility(&self, status: http::StatusCode, body: &Bytes) -> eligibility::Answer;
}

/// Why a request could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The path does not exist.
    NotFound,
    /// The path does not allow the method.
    Method,
    /// The content is invalid; the message names the field.
    Content(String),
    /// The head of the request is too large; the message names the limit.
    HeadTooLarge(String),
    /// The body is too large; the message names the limit.
    TooLarge(String),
    /// The request did not arrive in time; the message names the limit.
    Timeout(String),
    /// The daemon cannot take the request now; it has not been executed.
    Overload {
        /// Reason, for the caller.
        reason: String,
        /// Delay after which the caller may retry.
        retry_after: std::time::Duration,
    },
}
