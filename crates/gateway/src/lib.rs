//! The entry path: HTTP filter chain, connection pool and streaming towards targets.
//!
//! The gateway runs on the traffic runtime. It reads control state through immutable views and asks control to
//! change state through a bounded channel of typed calls, so that no request waits on a lock that control holds.

mod attempt;
pub mod body;
mod calls;
pub mod control;
pub mod error;
mod filter;
mod gate;
mod pool;
mod routes;
pub mod server;
pub mod settings;
