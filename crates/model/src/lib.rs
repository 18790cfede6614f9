//! Domain types that every other package shares.
//!
//! The package holds data only. Decisions live in the packages above it, so that a change of policy never
//! changes what is stored or sent.

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
