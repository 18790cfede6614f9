//! Request decisions: admission, queues, routing, retries, and at-most-once requests.
//!
//! Nothing here reads a clock or a socket: the gateway feeds in what happened and does what the decisions say, so
//! that the same code is driven by sockets in a daemon and by virtual time in the policy measurements.

pub mod admission;
pub mod allotment;
pub mod attempt;
pub mod ejection;
pub mod retry;
pub mod router;
pub mod rules;
