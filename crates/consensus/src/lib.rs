//! Replicated log: elections, replication, membership and snapshots, without I/O.
//!
//! [`replica::Replica`] is one member of one group. [`feed`] carries committed entries to VMs that are not members.
//! Both are functions of `(now, input)`: they read no clock, start no thread and own no socket or file, so that a
//! test can drive every order of events from a seed.

pub mod feed;
pub mod log;
pub mod membership;
pub mod message;
pub mod replica;
pub mod rules;
pub mod snapshot;
pub mod write;
