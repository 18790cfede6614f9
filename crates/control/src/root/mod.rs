//! Replicated state of the root group, which is shared by the entire cell: teams, keys, services, configuration, the VM
//! directory and the division of upper limits.

mod allotments;
mod apply;
mod command;
mod memory;
mod state;
mod view;

pub use allotments::{Allotment, Demand, Grant, rebalance};
pub use command::{Command, LossProof, Outcome, Refusal, Subject};
pub use state::{Rules, State, Zone, Zones};
pub use view::View;

/// Log entry payload of the root group: a root command with its id and time.
pub type Envelope = crate::envelope::Envelope<Command>;
