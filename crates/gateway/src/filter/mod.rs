//! Filters that a request passes before it is forwarded, in this order: head, key, deadline, request id, body.
//!
//! Filters are stateless functions that return a value or an [`crate::error::Error`].

pub(crate) mod body;
pub(crate) mod deadline;
pub(crate) mod head;
pub(crate) mod json;
pub(crate) mod key;
pub(crate) mod request_id;
pub(crate) mod version_one;
