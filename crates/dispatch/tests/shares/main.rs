//! Shares of the teams when the fleet is full, without a network.

mod burst;
mod fleet;
mod past;
mod policy;
