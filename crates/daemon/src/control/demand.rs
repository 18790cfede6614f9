//! Demand reports from the leaders of zones to the leader of the root group.

use std::{collections::BTreeMap, time::Duration};

use bronzespoke_control::{demand, escrow, zone};
use bronzespoke_model::{id, resource};

use crate::{control::Controller, peer::wire};

impl Controller {
    /// Reports the demand of each team, and the amounts released, for a zone that this VM leads.
    pub(super) fn report_demand(&mut self, now: Duration, zone: id::AvailabilityZoneId) {
        let Some(group) = self.zones.get(&zone) else {
            return;
        };
        let term = group.member().replica().status().term;
        let same = self
            .reporter
            .take()
            .filter(|reporter| reporter.is_for(zone, term));
        let mut reporter = same.unwrap_or_else(|| demand::Reporter::new(zone, term, now));
        let leader = self.leader(id::GroupId::Root);
        if let Some(leader) = leader.filter(|_| reporter.is_due(now)) {
            for (team, demand, released) in team_demand(group.state()) {
                reporter.set(team, demand, released);
            }
            if let Some(report) = reporter.report(now, leader) {
                self.send_demand(now, leader, report, &mut reporter);
            }
        }
        self.reporter = Some(reporter);
    }

    fn send_demand(
        &mut self,
        now: Duration,
        leader: id::VmId,
        report: demand::Report,
        reporter: &mut demand::Reporter,
    ) {
        if leader != self.context.me.id {
            self.context.send(leader, wire::Body::Demand(report));
            return;
        }
        let table = self.demand.as_mut();
        if let Some(receipt) = table.and_then(|table| table.receive(now, &report)) {
            reporter.acknowledge(leader, &receipt);
        }
    }

    /// Handles a demand report as the leader of the root group. Other daemons ignore it; the sender learns of the
    /// leader from announcements.
    pub(super) fn receive_demand(&mut self, from: id::VmId, report: &demand::Report) {
        let now = self.context.now();
        if !self.root.leads(now) || !self.root.state().zones().contains_key(&report.zone) {
            return;
        }
        let table = self.demand.get_or_insert_with(|| demand::Table::new(now));
        if let Some(receipt) = table.receive(now, report) {
            self.context.send(from, wire::Body::DemandReceipt(receipt));
        }
    }

    /// Handles the receipt of the root leader for a report.
    pub(super) fn demand_received(&mut self, from: id::VmId, receipt: &demand::Receipt) {
        if let Some(reporter) = &mut self.reporter {
            reporter.acknowledge(from, receipt);
        }
    }
}

/// Returns what the tasks of each team use or wait for, and what the zone has released of its allotment.
fn team_demand(state: &zone::State) -> impl Iterator<Item = (id::TeamId, resource::Amount, escrow::Total)> {
    let mut teams: BTreeMap<id::TeamId, (escrow::Total, escrow::Total)> = BTreeMap::new();
    for (_, job) in state.jobs().filter(|(_, job)| !job.state.is_terminal()) {
        let tasks = u64::from(job.spec.tasks.saturating_sub(job.succeeded));
        let size = escrow::Total::from(job.spec.size);
        let all = size.zip(&size, |dimension, _| dimension.saturating_mul(tasks));
        let (demand, _) = teams.entry(job.team).or_default();
        *demand = demand.saturating_add(&all);
    }
    for (team, holding) in state.holdings().iter() {
        let (demand, released) = teams.entry(team).or_default();
        *demand = demand.max(&holding.used);
        *released = holding.released;
    }
    let amounts = |(team, (demand, released)): (_, (escrow::Total, _))| (team, demand.amount(), released);
    teams.into_iter().map(amounts)
}
