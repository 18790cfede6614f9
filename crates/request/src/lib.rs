//! Request decisions: admission control, queueing, target selection, outlier ejection and retries.
//!
//! Nothing here reads a clock or a socket: the gateway passes in events with their time and carries out the
//! decisions. The same code therefore runs on sockets in a daemon and in virtual time in the policy measurements.

pub mod admission;
pub mod allotment;
pub mod attempt;
pub mod ejection;
pub mod retry;
pub mod router;
pub mod rules;
