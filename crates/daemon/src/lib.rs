//! The daemon: control thread, traffic runtime, links to peers and external interfaces.
//!
//! The other packages make the decisions; this one feeds them time, messages and files, and executes their outputs.

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
