//! Soft state dissemination: targets, load and liveness of processes.
