//! Commands of this leader that wait to be proposed or committed, with the receivers of their outcomes; without I/O.

use std::{collections::HashMap, time::Duration};

use bronzespoke_control::cell;
use bronzespoke_model::id;
use bronzespoke_workload::{call, job};
use tokio::sync::oneshot;

use crate::fleet::wire;

/// How long a command waits for others to share its log entry.
const SHARING_DELAY: Duration = Duration::from_millis(2);

/// Receiver of the outcome of a command.
#[derive(Debug)]
pub enum Responder {
    /// No receiver; the command was not issued by a call.
    Discard,
    /// A caller that is connected to this daemon.
    Local(oneshot::Sender<call::Reply>),
    /// A call that another daemon forwarded.
    Remote {
        /// Daemon that forwarded the call.
        endpoint: wire::Endpoint,
        /// Number of the call at that daemon.
        number: u64,
    },
}

/// A command that waits to be proposed or committed.
#[derive(Debug)]
pub struct Pending {
    /// Command to apply.
    pub command: cell::Command,
    /// Receiver of the outcome.
    pub responder: Responder,
}

/// Commands that are not committed yet.
#[derive(Debug, Default)]
pub struct Commands {
    batch: Vec<Pending>,
    batch_since: Option<Duration>,
    proposed: HashMap<u64, Vec<Pending>>,
}

impl Responder {
    /// Returns the daemon that forwarded the call, and the number of the call there; copies of a call share both.
    pub const fn forwarded(&self) -> Option<(id::VmId, u64)> {
        match self {
            Self::Remote { endpoint, number } => Some((endpoint.vm, *number)),
            Self::Local(_) | Self::Discard => None,
        }
    }
}

impl Commands {
    /// Adds a command to the batch that is proposed next.
    pub fn add(&mut self, now: Duration, command: cell::Command, responder: Responder) {
        self.batch_since.get_or_insert(now);
        self.batch.push(Pending { command, responder });
    }

    /// Returns the time at which the batch has to be proposed.
    pub fn due(&self) -> Option<Duration> {
        self.batch_since.map(|since| since + SHARING_DELAY)
    }

    /// Removes and returns the batch.
    pub fn take_batch(&mut self) -> Vec<Pending> {
        self.batch_since = None;
        std::mem::take(&mut self.batch)
    }

    /// Adds the commands of a proposal.
    pub fn propose(&mut self, proposal: u64, commands: Vec<Pending>) {
        self.proposed.insert(proposal, commands);
    }

    /// Removes and returns the commands of a proposal.
    pub fn take_proposal(&mut self, proposal: u64) -> Vec<Pending> {
        self.proposed.remove(&proposal).unwrap_or_default()
    }

    /// Removes and returns the commands of all proposals.
    pub fn take_proposals(&mut self) -> Vec<Pending> {
        std::mem::take(&mut self.proposed)
            .into_values()
            .flatten()
            .collect()
    }

    /// Returns whether a submission of a job waits to be proposed or committed.
    pub fn is_submitting(&self, key: job::Key) -> bool {
        self.waiting().any(
            |pending| matches!(pending.command, cell::Command::Submit { key: other, .. } if other == key),
        )
    }

    /// Returns whether a command of the call that `responder` belongs to waits to be proposed or committed.
    pub fn is_under_way(&self, responder: &Responder) -> bool {
        let call = responder.forwarded();
        call.is_some()
            && self
                .waiting()
                .any(|pending| pending.responder.forwarded() == call)
    }

    fn waiting(&self) -> impl Iterator<Item = &Pending> {
        self.proposed.values().flatten().chain(&self.batch)
    }
}
