//! Soft state dissemination: targets, load and liveness of processes.
//!
//! Every VM publishes entries of its own and relays those of others. Nothing here is durable: a VM that restarts
//! publishes again. The package has no I/O and reads no clock.

mod exchange;
pub mod gossip;
pub mod key;
mod links;
pub mod message;
mod origin;

pub use gossip::{Config, Entry, Error, Gossip, Member, Rules};
pub use key::{Key, Value};
pub use message::Message;
