//! Periodic maintenance: membership, allotments and claims of led groups, published soft state, failed replicas.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_consensus::{membership, replica};
use bronzespoke_control::{demand, root, zone};
use bronzespoke_gossip::{Key, Value};
use bronzespoke_model::{id, resource, vm};

use crate::{
    control::{Controller, context, responder},
    peer::wire,
};

/// Interval between maintenance rounds.
pub const INTERVAL: Duration = Duration::from_millis(500);
/// Age at which the owner ends an open claim with an unknown outcome. No end is expected any more: a request lasts at
/// most 30 s by default, and its end is resent for 60 s. A response that arrives later is still recorded.
const OVERDUE_CLAIM: Duration = Duration::from_mins(10);
/// Maximum time since the last acknowledgement of a voter to which leadership is transferred.
const RESPONSIVE: Duration = Duration::from_millis(500);
/// Time without contact after which a witness is replaced by another VM.
const LOST_WITNESS: Duration = Duration::from_mins(10);
/// Time without contact after which the claims of a VM are ended; longer than any request lasts.
const LOST_HOLDER: Duration = Duration::from_mins(1);

impl Controller {
    /// Runs one maintenance round.
    pub(super) fn run_maintenance(&mut self) {
        self.maintenance_at = self.context.now() + INTERVAL;
        self.targets.expire(&self.context, &mut self.gossip);
        self.evict_peers();
        self.reopen_failed();
        self.publish_self();
        self.end_all_earlier_claims();
        self.maintain_root();
        self.maintain_zones();
    }

    /// Ends the claims of earlier incarnations of this VM's process in every zone where that is not done, even if it
    /// makes no claims there.
    fn end_all_earlier_claims(&mut self) {
        if self.context.me.durable {
            for zone in self.root.state().open_zones().collect::<Vec<_>>() {
                self.end_earlier_claims(zone);
            }
        }
    }

    fn publish_self(&mut self) {
        let view = self.root.view();
        let value = Value::Vm {
            applied: view.applied,
            version: view.version,
            ready: self.is_ready(),
        };
        let now = self.context.now();
        self.publish(now, Key::Vm(self.context.me.id), value);
    }

    fn publish(&mut self, now: Duration, key: Key, value: Value) {
        if self.gossip.set(now, key, value).is_err() {
            log::debug!("gossip: An entry is not published: the table is full.");
        }
    }

    fn maintain_root(&mut self) {
        let now = self.context.now();
        if !self.root.leads(now) {
            self.demand = None;
            return;
        }
        if let Some(member) = self.root.member() {
            let status = member.replica().status();
            let desired = self.desired_root_voters();
            if let Some(change) = self.next_change(&status, &desired) {
                self.root
                    .change(&self.context, change, responder::Responder::Discard);
            }
        }
        self.rebalance_allotments(now);
    }

    /// Returns the desired voters of the root group: one durable VM of each zone. Current voters are kept as long as
    /// they are listed.
    fn desired_root_voters(&self) -> Vec<id::VmId> {
        let view = self.root.view();
        let members = self
            .root
            .member()
            .map(|member| member.replica().status().membership);
        let members = members.unwrap_or_default();
        let mut chosen: BTreeMap<id::AvailabilityZoneId, (bool, bool, &str, id::VmId)> = BTreeMap::new();
        // A removed id never becomes a member again.
        let may_vote = |vm: &&vm::Vm| vm.durable && !members.removed.contains(&vm.id);
        for vm in view.vms.values().filter(may_vote) {
            let rank = (
                !members.voters.contains(&vm.id),
                !self.context.is_alive(vm.id),
                vm.name.as_str(),
                vm.id,
            );
            let best = chosen.entry(vm.place.zone).or_insert(rank);
            *best = (*best).min(rank);
        }
        chosen.into_values().map(|(_, _, _, vm)| vm).collect()
    }

    /// Records what zones have released and shifts allotments towards the demand.
    fn rebalance_allotments(&mut self, now: Duration) {
        let table = self.demand.get_or_insert_with(|| demand::Table::new(now));
        let demand = table.demand(now, self.root.state());
        let released = table.released(self.root.state());
        for (zone, released) in released {
            self.command_root(root::Command::Released { zone, released });
        }
        let grants = root::rebalance(self.root.state(), &demand);
        if !grants.is_empty() {
            self.command_root(root::Command::Grant(grants));
        }
    }

    /// Returns the zones whose group this VM leads.
    fn led_zones(&self, now: Duration) -> Vec<id::AvailabilityZoneId> {
        let led = self.zones.iter().filter(|(_, zone)| zone.leads(now));
        led.map(|(zone, _)| *zone).collect()
    }

    fn maintain_zones(&mut self) {
        let now = self.context.now();
        for zone in self.led_zones(now) {
            self.reconcile_membership(zone);
            self.reconcile_allotments(zone);
            self.expire_claims(zone);
            if zone == self.context.me.place.zone {
                self.publish_zone(now, zone);
                self.report_demand(now, zone);
            } else {
                self.transfer_to_zone(zone);
            }
        }
    }

    /// Transfers leadership of another zone's group to a voter in that zone.
    ///
    /// A witness may win an election, but the workers of the zone report to the zone's own VMs, and only those run its
    /// scheduler.
    fn transfer_to_zone(&mut self, zone: id::AvailabilityZoneId) {
        let Some(group) = self.zones.get(&zone) else {
            return;
        };
        let now = self.context.now();
        let view = self.root.view();
        let in_zone = |vm: id::VmId| view.vms.get(&vm).is_some_and(|vm| vm.place.zone == zone);
        let is_responsive =
            |acked: Option<Duration>| acked.is_some_and(|at| now.saturating_sub(at) < RESPONSIVE);
        let peers = group.member().replica().status().peers;
        let next = peers
            .iter()
            .find(|peer| peer.voter && in_zone(peer.id) && is_responsive(peer.acked));
        let next = next.map(|peer| peer.id);
        if let (Some(next), Some(group)) = (next, self.zones.get_mut(&zone)) {
            log::info!("group: Transferring leadership of zone {zone} from the witness to VM {next}.");
            group.step(
                &self.context,
                replica::Input::TransferLeadership { to: Some(next) },
            );
        }
    }

    fn reconcile_membership(&mut self, zone: id::AvailabilityZoneId) {
        let desired = self.desired_zone_members(zone);
        let status = self.zones[&zone].member().replica().status();
        let change = self.next_change(&status, &desired);
        if let (Some(change), Some(group)) = (change, self.zones.get_mut(&zone)) {
            group.change(&self.context, change, responder::Responder::Discard);
        }
    }

    /// Returns the desired members of a zone group: the VMs of the zone and one witness in the nearest other zone.
    fn desired_zone_members(&self, zone: id::AvailabilityZoneId) -> Vec<id::VmId> {
        let view = self.root.view();
        let members = self.zones[&zone].member().replica().status().membership;
        // A removed id never becomes a member again.
        let mut desired: Vec<_> = view
            .vms
            .values()
            .filter(|vm| vm.place.zone == zone && !members.removed.contains(&vm.id))
            .map(|vm| vm.id)
            .collect();
        let Some(place) = view.zones.get(&zone).map(|record| vm::Place {
            region: record.region,
            zone,
        }) else {
            return desired;
        };
        let now = self.context.now();
        let silent = |vm: id::VmId| {
            let peer = self.context.peers.get(&vm);
            peer.is_some_and(|peer| now.saturating_sub(peer.last_seen) >= LOST_WITNESS)
        };
        let elsewhere = view.vms.values().filter(|vm| vm.place.zone != zone);
        let witness = elsewhere
            .filter(|vm| !members.removed.contains(&vm.id))
            .min_by_key(|vm| {
                let current = members.voters.contains(&vm.id) && !silent(vm.id);
                (
                    !current,
                    place.distance(&vm.place),
                    !vm.durable,
                    !self.context.is_alive(vm.id),
                    vm.id,
                )
            });
        desired.extend(witness.map(|vm| vm.id));
        desired
    }

    /// Returns the next single change that brings the membership closer to `desired`.
    ///
    /// An unreachable member is removed only when it is replaced or removed from the directory, so that a short absence
    /// does not shrink the group.
    fn next_change(&self, status: &replica::Status, desired: &[id::VmId]) -> Option<membership::Change> {
        if status.change_pending {
            return None;
        }
        let members = &status.membership;
        let caught_up = status
            .peers
            .iter()
            .find(|peer| peer.caught_up && members.learners.contains(&peer.id));
        if let Some(peer) = caught_up.filter(|peer| desired.contains(&peer.id)) {
            return Some(membership::Change::Promote(peer.id));
        }
        let listed = &self.root.view().vms;
        let unlisted = members
            .voters
            .iter()
            .chain(&members.learners)
            .find(|vm| !listed.contains_key(vm));
        if let Some(unlisted) = unlisted {
            return Some(membership::Change::Remove(*unlisted));
        }
        let missing = desired.iter().find(|vm| {
            !members.contains(**vm) && !members.removed.contains(vm) && self.context.is_alive(**vm)
        });
        if let Some(vm) = missing {
            return Some(membership::Change::AddLearner(*vm));
        }
        let surplus = members.learners.iter().find(|vm| !desired.contains(vm));
        // Remove a voter only after its replacement has become a voter.
        let complete = desired.iter().all(|vm| members.voters.contains(vm));
        let replaced = members.voters.iter().find(|vm| complete && !desired.contains(vm));
        surplus.or(replaced).map(|vm| membership::Change::Remove(*vm))
    }

    /// Adopts the granted totals of the root state and releases what exceeds the target allotments.
    fn reconcile_allotments(&mut self, zone: id::AvailabilityZoneId) {
        let view = std::sync::Arc::clone(self.root.view());
        let Some(group) = self.zones.get_mut(&zone) else {
            return;
        };
        let holdings = group.state().holdings();
        let mut granted = view.granted(zone);
        granted.retain(|(team, total)| !total.fits(&holdings.get(*team).granted));
        if !granted.is_empty() {
            group.propose(self.context.now(), zone::Command::Granted(granted));
            return;
        }
        let releases = group.state().releases(|team| view.target(team, zone));
        if !releases.is_empty() {
            group.propose(self.context.now(), zone::Command::Release(releases));
        }
    }

    /// Ends claims that are overdue, and those of VMs that left the directory or are unreachable for [`LOST_HOLDER`].
    fn expire_claims(&mut self, zone: id::AvailabilityZoneId) {
        let Some(group) = self.zones.get(&zone) else {
            return;
        };
        let claims = group.state().claims();
        let overdue = claims.overdue(context::Context::wall_ms(), OVERDUE_CLAIM.as_millis() as u64);
        let lost = claims.held().find(|(_, holder)| self.is_lost(*holder));
        if let Some((_, holder)) = lost {
            self.end_claims(zone, holder);
        }
        if let (Some(number), Some(group)) = (overdue, self.zones.get_mut(&zone)) {
            let completion = zone::Completion::Unknown;
            group.propose(self.context.now(), zone::Command::Complete { number, completion });
        }
    }

    fn is_lost(&self, vm: id::VmId) -> bool {
        if vm == self.context.me.id {
            return false;
        }
        let now = self.context.now();
        let silent = |peer: &context::Peer| now.saturating_sub(peer.last_seen) >= LOST_HOLDER;
        let peer = self.context.peers.get(&vm);
        // A VM that was listed a moment ago may still be missing from this VM's view.
        let unlisted = !self.root.view().vms.contains_key(&vm) && !self.context.is_alive(vm);
        unlisted || peer.is_some_and(silent)
    }

    /// Ends the open claims of a VM in the groups that this VM leads, because its restarted process cannot complete
    /// them.
    pub(super) fn end_claims_of(&mut self, holder: id::VmId) {
        let now = self.context.now();
        for zone in self.led_zones(now) {
            self.end_claims(zone, holder);
        }
    }

    fn end_claims(&mut self, zone: id::AvailabilityZoneId, holder: id::VmId) {
        if let Some(group) = self.zones.get_mut(&zone) {
            let before = group.state().claims().next_number();
            group.propose(self.context.now(), zone::Command::HolderGone { holder, before });
        }
    }

    /// Publishes the free capacity of the zone.
    fn publish_zone(&mut self, now: Duration, zone: id::AvailabilityZoneId) {
        let (Some(group), Some(scheduling)) = (self.zones.get(&zone), &self.scheduling) else {
            return;
        };
        let metrics = scheduling.scheduler().metrics(now);
        let free = |dimension: usize| {
            let free = metrics.capacity[dimension].saturating_sub(metrics.used[dimension]);
            u32::try_from(free).unwrap_or(u32::MAX)
        };
        let value = Value::Capacity {
            term: group.member().replica().status().term,
            free: resource::Amount::new(free(0), free(1), free(2)),
            workers: metrics.workers,
        };
        self.publish(now, Key::Capacity(zone), value);
    }

    /// Transfers leadership of every group that this VM leads, before it shuts down.
    pub(super) fn transfer_leadership(&mut self) {
        // Propose what is queued first: a leader accepts no commands during a transfer.
        self.root.flush(&self.context);
        for zone in self.zones.values_mut() {
            zone.flush(&self.context);
        }
        self.root
            .step(&self.context, replica::Input::TransferLeadership { to: None });
        for zone in self.zones.values_mut() {
            zone.step(&self.context, replica::Input::TransferLeadership { to: None });
        }
    }

    /// Changes the membership of a group that this VM leads, on behalf of an operator.
    pub(super) fn change_members(
        &mut self,
        group: id::GroupId,
        change: membership::Change,
        responder: responder::Responder,
    ) {
        match group {
            id::GroupId::Root => self.root.change(&self.context, change, responder),
            id::GroupId::Zone(zone) => match self.zones.get_mut(&zone) {
                Some(zone) => zone.change(&self.context, change, responder),
                None => responder.reply(&self.context, wire::Reply::NotLeader),
            },
        }
    }
}
