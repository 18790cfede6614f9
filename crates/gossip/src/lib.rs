//! Gossip protocol for soft state: targets, their load, and the liveness of VMs.
//!
//! Each VM publishes its own entries and relays those of other VMs. Nothing is durable: a VM publishes its entries
//! again after a restart. The package performs no I/O and reads no clock.

mod exchange;
pub mod gossip;
pub mod key;
pub mod message;
mod origin;
mod topology;

pub use gossip::{Config, Entry, Error, Gossip, Member, Rules};
pub use key::{Key, Value};
pub use message::Message;
