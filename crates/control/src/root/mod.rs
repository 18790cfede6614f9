//! State of the root group: what holds for the whole cell.

mod apply;
mod command;
mod memory;
mod parts;
mod state;
mod view;

pub use command::{Command, Lost, Outcome, Refusal, Subject};
pub use parts::{Demand, Grant, Part, rebalance};
pub use state::{Rules, State, Zone, Zones};
pub use view::View;

/// A root command with its envelope.
pub type Envelope = crate::envelope::Envelope<Command>;
