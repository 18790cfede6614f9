//! State of the root group: what holds for the whole cell.

mod allotments;
mod apply;
mod command;
mod memory;
mod state;
mod view;

pub use allotments::{Allotment, Demand, Grant, rebalance};
pub use command::{Command, Lost, Outcome, Refusal, Subject};
pub use state::{Rules, State, Zone, Zones};
pub use view::View;

/// A root command with its envelope.
pub type Envelope = crate::envelope::Envelope<Command>;
