//! Types of a fleet whose workers are told what to run.
//!
//! A platform sends jobs of dependent steps, a configuration of queues and teams, and workers that take orders. The
//! types here say what each of them means to the product. [`adapter::Adapter`] is the edge to one platform: it
//! translates bytes into these types and back, and holds no state.

pub mod adapter;
pub mod advice;
pub mod call;
pub mod catalog;
pub mod directive;
pub mod job;
pub mod settings;
pub mod worker;
