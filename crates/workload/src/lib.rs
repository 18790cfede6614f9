//! Types of a fleet whose workers run what a leader directs them to run.
//!
//! A platform provides jobs of dependent steps, a configuration of queues and teams, and workers that accept
//! directives. The types of this package define these independently of any platform. [`adapter::Adapter`] is the
//! interface to one platform: it converts between bytes and these types, and holds no state.

pub mod adapter;
pub mod call;
pub mod catalog;
pub mod directive;
pub mod eligibility;
pub mod job;
pub mod settings;
pub mod worker;
