//! The edge to one platform.

use std::fmt;

use bytes::Bytes;
use http::{Request, Response, request};

use crate::{advice, call, directive, settings};

/// Translates between one platform's interface and the types of this package. It does no I/O and keeps no state.
pub trait Adapter: fmt::Debug + Send + Sync {
    /// Decodes the text of a settings file; all faults are returned at once.
    fn settings(&self, text: &str) -> Result<settings::Settings, Vec<String>>;

    /// Decodes a request of a caller.
    fn caller(&self, head: &request::Parts, body: &Bytes) -> Result<call::Job, Error>;

    /// How long a caller waits for its reply, if it says so.
    fn timeout(&self, head: &request::Parts) -> Option<std::time::Duration>;

    /// Decodes a request of an operator or worker.
    fn control(&self, head: &request::Parts, body: &Bytes) -> Result<call::Call, Error>;

    /// Whether a request asks for readiness.
    fn is_probe(&self, head: &request::Parts) -> bool;

    /// Encodes the reply to a call of either kind.
    fn reply(&self, reply: &call::Reply) -> Response<Bytes>;

    /// Encodes the refusal of a request that was not decoded.
    fn error(&self, error: &Error) -> Response<Bytes>;

    /// Encodes an order to a worker.
    fn directive(
        &self,
        worker: &str,
        token: directive::Token,
        directive: &directive::Directive,
    ) -> Request<Bytes>;

    /// Decodes a worker's answer to an order.
    fn answer(
        &self,
        directive: &directive::Directive,
        status: http::StatusCode,
        body: &Bytes,
    ) -> directive::Answer;

    /// Encodes a question to the eligibility service.
    fn query(&self, query: &advice::Query) -> Request<Bytes>;

    /// Decodes the answer of the eligibility service.
    fn eligibility(&self, status: http::StatusCode, body: &Bytes) -> advice::Answer;
}

/// Why a request was not decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No such path.
    NotFound,
    /// The method is not allowed there.
    Method,
    /// The content is wrong; the sentence names the field.
    Content(String),
}
