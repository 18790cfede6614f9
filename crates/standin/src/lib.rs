//! Stand-ins for targets, workers and callers, used by the demo and the tests.
//!
//! The platform's own machines are not part of this repository. The stand-ins speak the same HTTP interfaces over
//! real sockets and keep an independent record of what ran, so that checks do not trust the scheduler's books.

pub mod caller;
pub mod client;
pub mod fleet;
pub mod ledger;
pub mod target;
pub mod worker;
