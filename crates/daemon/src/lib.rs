//! The daemon: control thread, traffic runtime, peers and outside interfaces.
