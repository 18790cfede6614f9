//! Filters that a request passes before it is sent, in this order: size, key, deadline, request id, body.
//!
//! Each filter takes what it needs and returns a value or a [`crate::error::Error`]; none of them holds state.

pub(crate) mod body;
pub(crate) mod deadline;
pub(crate) mod identity;
pub(crate) mod json;
pub(crate) mod key;
pub(crate) mod size;
pub(crate) mod version_one;
