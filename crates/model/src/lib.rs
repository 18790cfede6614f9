//! Domain types that every other package shares.
//!
//! The package defines data only. Policies are implemented by the packages that depend on it, so a change of policy
//! does not change stored or transmitted data.

pub mod compact;
pub mod config;
pub mod event;
pub mod id;
pub mod job;
pub mod resource;
pub mod service;
pub mod stamp;
pub mod target;
pub mod task;
pub mod team;
pub mod vm;
pub mod worker;
