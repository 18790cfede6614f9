//! What the leader of a fleet decides, without I/O: where and when tasks start, what workers are told, how long they may
//! run without word, and which questions the eligibility service is asked.
//!
//! The shell feeds time, committed commands, answers of workers and of the eligibility service into
//! [`dispatch::Dispatch`] and carries out its outputs. A leader makes a new one from the replicated state when its term
//! begins and drops it when the term ends.

pub mod admission;
pub mod dispatch;
pub mod estimate;
pub mod orphan;
pub mod place;
pub mod progress;
pub mod query_queue;
pub mod rank;
pub mod reserve;
pub mod slowness;
pub mod usage;
pub mod worker;
