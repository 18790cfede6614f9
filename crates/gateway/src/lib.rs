//! HTTP gateway of an entry VM: filters requests, forwards them to targets, and streams the responses back.
//!
//! The gateway runs on the traffic runtime. It reads control state through immutable views and requests changes
//! through a bounded channel of typed calls, so that no request waits for a lock that control holds.

mod attempt;
mod balancer;
pub mod body;
mod calls;
pub mod control;
pub mod error;
mod filter;
mod pool;
mod routes;
pub mod server;
pub mod settings;
