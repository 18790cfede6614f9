//! Scheduling decisions of the leader of a fleet, without I/O: where and when tasks start, which directives workers
//! receive, how long their leases last, and which queries are sent to the eligibility service.
//!
//! The caller feeds the time, committed commands, and the answers of workers and of the eligibility service into
//! [`dispatch::Dispatch`] and carries out its outputs. A leader creates a new `Dispatch` from the replicated state
//! when its term begins and drops it when the term ends.

pub mod admission;
pub mod calendar;
pub mod directory;
pub mod dispatch;
pub mod ends;
pub mod estimate;
pub mod lane;
pub mod orphan;
pub mod pace;
pub mod place;
pub mod progress;
pub mod query_queue;
pub mod rank;
pub mod recent;
pub mod reserve;
pub mod room;
pub mod share;
pub mod slowness;
pub mod speed;
pub mod usage;
pub mod work;
pub mod worker;
