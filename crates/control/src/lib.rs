//! Replicated control state: root group and zone group state machines.
//!
//! The package applies committed log entries to state and answers reads of it. It has no I/O and reads no clock:
//! wall time comes with each command, set by the leader that proposed it, so that every replica reaches the same state.

pub mod batch;
pub mod cell;
pub mod dedupe;
pub mod demand;
pub mod envelope;
pub mod error;
pub mod escrow;
mod memory;
mod name;
pub mod request_id;
pub mod root;
pub mod shared;

pub mod zone;
