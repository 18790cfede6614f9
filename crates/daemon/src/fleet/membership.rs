//! Membership changes by which the leader keeps as many voters with a disk as the tolerated losses require.

use std::time::Duration;

use bronzespoke_consensus::membership::Change;
use bronzespoke_control::cell;

use crate::fleet::{commands::Responder, controller::Controller, wire};

/// Interval at which the membership is reconciled.
const INTERVAL: Duration = Duration::from_millis(300);
/// A voter without contact for this long is replaced if a learner has caught up. The platform counts a successor as
/// ready 4 s after it starts.
const REPLACE_AFTER: Duration = Duration::from_millis(2_500);

impl Controller {
    pub(super) fn reconcile_membership(&mut self, now: Duration) {
        if now < self.membership_at {
            return;
        }
        self.membership_at = now + INTERVAL;
        if self.dispatch.is_none() || !self.holds_lease(now) || self.leaving {
            return;
        }
        if let Some(endpoint) = self.unlocated(now) {
            let command = cell::Command::Locate {
                vm: endpoint.vm,
                peer: endpoint.peer,
            };
            self.enqueue(command, Responder::Discard);
            return;
        }
        if let Some(change) = self.required_change(now) {
            log::info!("decision=change_members change={change:?}");
            if let Some(member) = &mut self.member {
                member.change(now, change, &mut self.events);
            }
        }
    }

    /// Returns a daemon with a disk whose address is not recorded in the state.
    fn unlocated(&self, now: Duration) -> Option<wire::Endpoint> {
        let reachable = self.discovery.reachable(now).filter(|(_, durable)| *durable);
        let mut endpoints = reachable.map(|(endpoint, _)| endpoint).chain([self.me]);
        endpoints.find(|endpoint| self.state.peers().get(&endpoint.vm) != Some(&endpoint.peer))
    }

    fn required_change(&self, now: Duration) -> Option<Change> {
        let status = self.member.as_ref()?.replica().status();
        if status.change_pending {
            return None;
        }
        let members = &status.membership;
        let reachable: Vec<wire::Endpoint> = self
            .discovery
            .reachable(now)
            .filter(|(_, durable)| *durable)
            .map(|(endpoint, _)| endpoint)
            .collect();
        // A member whose address is used by another incarnation has lost its disk.
        for endpoint in &reachable {
            let all = members.voters.iter().chain(&members.learners);
            let mut others = all.filter(|vm| **vm != endpoint.vm);
            let replaced = others.find(|vm| self.address_of(**vm) == Some(endpoint.peer));
            if let Some(replaced) = replaced {
                return Some(Change::Remove(*replaced));
            }
        }
        if let Some(endpoint) = reachable
            .iter()
            .find(|endpoint| !members.contains(endpoint.vm) && !members.removed.contains(&endpoint.vm))
        {
            return Some(Change::AddLearner(endpoint.vm));
        }
        let ready = status.peers.iter().find(|peer| {
            !peer.voter && peer.caught_up && reachable.iter().any(|endpoint| endpoint.vm == peer.id)
        });
        let required = (2 * self.settings.tolerated_losses + 1).max(1);
        if members.voters.len() < required {
            return ready.map(|learner| Change::Promote(learner.id));
        }
        let silent = members.voters.iter().find(|vm| {
            let last_contact = self.discovery.last_contact(**vm).unwrap_or_default();
            **vm != self.me.vm && now.saturating_sub(last_contact) > REPLACE_AFTER
        });
        match (ready, silent) {
            (Some(_), Some(silent)) => Some(Change::Remove(*silent)),
            _ => None,
        }
    }

    /// Returns the address at which a member was last known.
    fn address_of(&self, vm: bronzespoke_model::id::VmId) -> Option<std::net::SocketAddr> {
        self.state
            .peers()
            .get(&vm)
            .copied()
            .or_else(|| self.discovery.address(vm))
    }
}
