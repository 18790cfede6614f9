//! The leader keeps as many voters with a disk as the tolerated losses ask for.

use std::time::Duration;

use bronzespoke_consensus::membership::Change;
use bronzespoke_control::cell;

use crate::fleet::{
    controller::{Controller, Responder},
    wire,
};

/// Time between two looks at the members.
const INTERVAL: Duration = Duration::from_millis(300);
/// A voter that was silent for this long is replaced if a learner has caught up. The platform counts a successor as
/// ready 4 s after it starts.
const REPLACE_AFTER: Duration = Duration::from_millis(2_500);

impl Controller {
    pub(super) fn look_after_members(&mut self, now: Duration) {
        if now < self.duties_at {
            return;
        }
        self.duties_at = now + INTERVAL;
        if self.dispatch.is_none() || !self.holds_lease(now) || self.leaving {
            return;
        }
        if let Some(place) = self.unlocated(now) {
            let command = cell::Command::Locate {
                vm: place.vm,
                peer: place.peer,
            };
            self.enqueue(command, Responder::Nobody);
            return;
        }
        if let Some(change) = self.wanted_change(now) {
            log::info!("decision=change_members change={change:?}");
            if let Some(member) = &mut self.member {
                member.change(now, change, &mut self.events);
            }
        }
    }

    /// A daemon with a disk whose address is not recorded.
    fn unlocated(&self, now: Duration) -> Option<wire::Place> {
        let reached = self.contact.reached(now).filter(|(_, durable)| *durable);
        let mut places = reached.map(|(place, _)| place).chain([self.me]);
        places.find(|place| self.state.peers().get(&place.vm) != Some(&place.peer))
    }

    fn wanted_change(&self, now: Duration) -> Option<Change> {
        let status = self.member.as_ref()?.replica().status();
        if status.change_pending {
            return None;
        }
        let members = &status.membership;
        let reached: Vec<wire::Place> = self
            .contact
            .reached(now)
            .filter(|(_, durable)| *durable)
            .map(|(place, _)| place)
            .collect();
        // A member whose address another life has taken has lost its disk.
        for place in &reached {
            let all = members.voters.iter().chain(&members.learners);
            let mut former = all.filter(|vm| **vm != place.vm);
            let replaced = former.find(|vm| self.address_of(**vm) == Some(place.peer));
            if let Some(former) = replaced {
                return Some(Change::Remove(*former));
            }
        }
        if let Some(place) = reached
            .iter()
            .find(|place| !members.contains(place.vm) && !members.removed.contains(&place.vm))
        {
            return Some(Change::AddLearner(place.vm));
        }
        let ready = status
            .peers
            .iter()
            .find(|peer| !peer.voter && peer.caught_up && reached.iter().any(|place| place.vm == peer.id));
        let wanted = (2 * self.settings.tolerated_losses + 1).max(1);
        if members.voters.len() < wanted {
            return ready.map(|learner| Change::Promote(learner.id));
        }
        let silent = members.voters.iter().find(|vm| {
            let heard = self.contact.last_heard(**vm).unwrap_or_default();
            **vm != self.me.vm && now.saturating_sub(heard) > REPLACE_AFTER
        });
        match (ready, silent) {
            (Some(_), Some(silent)) => Some(Change::Remove(*silent)),
            _ => None,
        }
    }

    /// Address under which a member was last known.
    fn address_of(&self, vm: bronzespoke_model::id::VmId) -> Option<std::net::SocketAddr> {
        self.state
            .peers()
            .get(&vm)
            .copied()
            .or_else(|| self.contact.address(vm))
    }
}
