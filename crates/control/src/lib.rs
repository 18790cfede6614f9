//! Replicated control state: the state machines of the cell, the root group and the zone groups.
//!
//! The package applies committed log entries to state and serves reads of it. It performs no I/O and reads no clock:
//! the leader that proposes a command attaches the wall time, so that every replica reaches the same state.

pub mod batch;
pub mod cell;
pub mod dedupe;
pub mod demand;
pub mod envelope;
pub mod error;
pub mod escrow;
mod id_bytes;
mod memory;
pub mod request_id;
pub mod root;
pub mod shared;
pub mod zone;
