//! Raft consensus without I/O: leader election, log replication, membership changes and snapshots.
//!
//! [`replica::Replica`] is one member of one group. [`feed`] distributes committed entries to VMs that are not members.
//! Both are deterministic state machines driven by `(now, input)`: they read no clock, start no thread and own no
//! socket or file, so a test can reproduce any order of events from a seed.

pub mod feed;
pub mod log;
pub mod membership;
pub mod message;
pub mod replica;
pub mod rules;
pub mod snapshot;
pub mod write;
