//! Leadership transfer.

use std::time::Duration;

use bronzespoke_model::id;

use super::{Output, Replica, State};
use crate::message::Body;

/// A leadership transfer that waits until the next leader has the complete log.
#[derive(Debug)]
pub(crate) struct Transfer {
    to: id::VmId,
    pub(crate) deadline: Duration,
    /// Whether the next leader was asked to campaign.
    requested: bool,
}

impl Replica {
    pub(super) fn start_transfer(&mut self, to: Option<id::VmId>, out: &mut Vec<Output>) {
        let voters = &self.membership().voters;
        let State::Leader(leader) = &self.state else {
            return;
        };
        let others = leader.progress.iter().filter(|(vm, _)| voters.contains(vm));
        let best = others
            .max_by_key(|(_, progress)| (progress.acked, progress.matched))
            .map(|(vm, _)| *vm);
        let chosen = match to {
            Some(vm) if vm != self.config.id && voters.contains(&vm) => Some(vm),
            Some(_) => None,
            None => best,
        };
        let Some(to) = chosen else {
            if self.store_failed {
                self.become_follower(None, out);
            }
            return;
        };
        let deadline = self.now + self.config.election_timeout;
        if let State::Leader(leader) = &mut self.state {
            leader.transfer = Some(Transfer {
                to,
                deadline,
                requested: false,
            });
        }
        self.continue_transfer(out);
    }

    /// Asks the next leader to campaign once it has the complete log.
    pub(super) fn continue_transfer(&mut self, out: &mut Vec<Output>) {
        let last = self.log.last().index;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        let ready = leader
            .progress
            .get(&transfer.to)
            .is_some_and(|progress| progress.matched >= last);
        if !ready || transfer.requested {
            return;
        }
        transfer.requested = true;
        leader.lease_void = true;
        let to = transfer.to;
        self.send(to, Body::TimeoutNow, out);
    }

    pub(super) fn run_transfer_timer(&mut self, out: &mut Vec<Output>) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(transfer) = &leader.transfer else { return };
        if self.now < transfer.deadline {
            return;
        }
        let requested = transfer.requested;
        leader.transfer = None;
        if requested || self.store_failed {
            // The lease is void for the rest of the term, so a new election is needed to restore a leader with a lease.
            self.become_follower(None, out);
        }
    }
}
