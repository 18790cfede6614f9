//! The daemon: control thread, traffic runtime, peers and outside interfaces.
//!
//! The packages below decide; this one feeds them time, messages and files, and carries out what they ask for.

pub mod control;
pub mod daemon;
pub mod disk;
pub mod fleet;
pub mod identity;
pub mod logging;
pub mod metric;
pub mod peer;
pub mod rpc;
pub mod settings;
pub mod timeline;
