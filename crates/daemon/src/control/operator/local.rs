//! Queries that every daemon answers locally, from the root state and from soft state.

use bronzespoke_control::root;
use bronzespoke_gossip::{Key, Value};
use bronzespoke_language::{
    answer::{self, Kind},
    encode_hex, statement,
};
use bronzespoke_model::id;

use crate::control::Controller;

/// Number of digits shown of a key hash.
const HASH_DIGITS: usize = 16;

impl Controller {
    pub(super) fn query_local(&self, query: &statement::Query) -> answer::Answer {
        let table = match query {
            statement::Query::Teams => self.teams(),
            statement::Query::Keys(filter) => self.keys(filter),
            statement::Query::Targets(filter) => self.target_rows(filter),
            statement::Query::Services => self.services(),
            statement::Query::Queues => self.queues(),
            statement::Query::Config => self.config_rows(),
            statement::Query::Versions => self.versions(),
            statement::Query::Members => self.members(),
            statement::Query::OldCallers => return self.old_callers(),
            _ => return answer::Answer::error(answer::Code::Internal, "the query belongs to a zone"),
        };
        answer::Answer::Table(table)
    }

    fn teams(&self) -> answer::Table {
        let columns = [
            ("name", Kind::Text),
            ("id", Kind::Id),
            ("weight", Kind::Count),
            ("cpu", Kind::CpuMilli),
            ("memory", Kind::MemoryMib),
            ("accelerators", Kind::Count),
            ("requests", Kind::Count),
            ("limit in force", Kind::Flag),
        ];
        let mut table = answer::Table::new("teams", &columns);
        for team in self.root.view().teams.values() {
            let limit = &team.quota.limit;
            table.push(vec![
                team.name.clone().into(),
                team.id.into(),
                team.quota.weight.into(),
                limit.cpu_milli.into(),
                limit.memory_mib.into(),
                limit.accelerators.into(),
                team.quota.requests.into(),
                self.root.state().limit_in_force(team.id).into(),
            ]);
        }
        table
    }

    fn keys(&self, filter: &statement::Filter) -> answer::Table {
        let columns = [("hash", Kind::Text), ("team", Kind::Text)];
        let mut table = answer::Table::new("keys", &columns);
        let view = self.root.view();
        for (hash, team) in view.keys.iter() {
            let name = view.teams.get(team).map_or("", |team| team.name.as_str());
            if filter.team.as_deref().is_none_or(|wanted| wanted == name) {
                let mut digits = encode_hex(hash);
                digits.truncate(HASH_DIGITS);
                table.push(vec![digits.into(), name.into()]);
            }
        }
        table
    }

    fn target_rows(&self, filter: &statement::Filter) -> answer::Table {
        let columns = [
            ("target", Kind::Id),
            ("service", Kind::Text),
            ("zone", Kind::Id),
            ("address", Kind::Text),
            ("slots", Kind::Count),
            ("in flight", Kind::Count),
            ("state", Kind::Text),
        ];
        let mut table = answer::Table::new("targets", &columns);
        for status in &self.targets.usable().usable {
            let state = if status.departing { "draining" } else { "ready" };
            let announcement = &status.announcement;
            let chosen = filter.zone.is_none_or(|zone| zone == status.place.zone)
                && filter
                    .service
                    .as_deref()
                    .is_none_or(|service| service == announcement.service);
            if chosen {
                table.push(vec![
                    announcement.target.into(),
                    announcement.service.clone().into(),
                    u32::from(status.place.zone).into(),
                    announcement.address.to_string().into(),
                    announcement.slots.into(),
                    status.in_flight.into(),
                    state.into(),
                ]);
            }
        }
        table
    }

    fn services(&self) -> answer::Table {
        let mut table = answer::Table::new("services", &[("service", Kind::Text), ("id", Kind::Id)]);
        for service in self.root.view().services.values() {
            table.push(vec![service.name.clone().into(), service.id.into()]);
        }
        table
    }

    fn queues(&self) -> answer::Table {
        let columns = [
            ("queue", Kind::Text),
            ("service", Kind::Text),
            ("requests", Kind::Count),
        ];
        let mut table = answer::Table::new("queues", &columns);
        let view = self.root.view();
        for queue in view.queues.values() {
            let service = view.services.values().find(|service| service.id == queue.service);
            let service = service.map(|service| service.name.clone());
            table.push(vec![
                queue.name.clone().into(),
                service.into(),
                queue.requests.into(),
            ]);
        }
        table
    }

    fn config_rows(&self) -> answer::Table {
        let view = self.root.view();
        let title = format!("config, version {}", view.version);
        let mut table = answer::Table::new(title, &[("field", Kind::Text), ("value", Kind::Text)]);
        let config = serde_json::to_value(&view.config).unwrap_or_default();
        for (field, value) in config.as_object().into_iter().flatten() {
            table.push(vec![field.clone().into(), value.to_string().into()]);
        }
        table
    }

    /// Returns the configuration version in effect in each process; the version of an unreachable process is unknown.
    fn versions(&self) -> answer::Table {
        let columns = [
            ("process", Kind::Text),
            ("zone", Kind::Id),
            ("version", Kind::Count),
            ("root index", Kind::Count),
            ("age", Kind::DurationMs),
            ("ready", Kind::Flag),
        ];
        let mut table = answer::Table::new("versions", &columns);
        let now = self.context.now();
        for vm in self.root.view().vms.values() {
            let entry = self.gossip.get(Key::Vm(vm.id), now);
            let (version, applied, ready, age) = match entry.as_ref().map(|entry| (entry.value, entry.age)) {
                Some((
                    Value::Vm {
                        applied,
                        version,
                        ready,
                    },
                    age,
                )) => (
                    Some(*version),
                    Some(*applied),
                    Some(*ready),
                    Some(age.as_millis() as u64),
                ),
                _ => (None, None, None, None),
            };
            table.push(vec![
                vm.name.clone().into(),
                u32::from(vm.place.zone).into(),
                version.into(),
                applied.into(),
                age.into(),
                ready.into(),
            ]);
        }
        table
    }

    fn members(&self) -> answer::Table {
        let columns = [
            ("group", Kind::Text),
            ("vm", Kind::Id),
            ("name", Kind::Text),
            ("role", Kind::Text),
            ("alive", Kind::Flag),
        ];
        let mut table = answer::Table::new("members known to this process", &columns);
        let groups = self
            .root
            .member()
            .into_iter()
            .map(|member| (id::GroupId::Root, member))
            .chain(
                self.zones
                    .iter()
                    .map(|(zone, group)| (id::GroupId::Zone(*zone), group.member())),
            );
        for (group, member) in groups {
            let status = member.replica().status();
            // Show committed members only: an uncommitted change may be lost with its leader.
            let members = status.committed;
            let learners = members.learners.iter().map(|vm| (vm, "learner"));
            for (vm, role) in members.voters.iter().map(|vm| (vm, "voter")).chain(learners) {
                let role = if status.leader == Some(*vm) {
                    "leader"
                } else {
                    role
                };
                let name = self.root.view().vms.get(vm).map(|vm| vm.name.clone());
                let alive = self.context.is_alive(*vm);
                table.push(vec![
                    group_name(group).into(),
                    (*vm).into(),
                    name.into(),
                    role.into(),
                    alive.into(),
                ]);
            }
        }
        table
    }

    fn old_callers(&self) -> answer::Answer {
        answer::Answer::text(format!(
            "Calls of the version-1 interface are counted by team in the metric bronzespoke_version_one_total at http://{}/metrics of each VM.",
            self.context.me.http
        ))
    }
}

/// Returns the name of a group as shown to operators.
pub(super) fn group_name(group: id::GroupId) -> String {
    match group {
        id::GroupId::Root => String::from("root"),
        id::GroupId::Zone(zone) => format!("zone {zone}"),
    }
}

/// Returns the drain subject of a node.
pub(super) const fn subject(node: statement::Node) -> root::Subject {
    match node {
        statement::Node::Worker(worker) => root::Subject::Worker(worker),
        statement::Node::Target(target) => root::Subject::Target(target),
        statement::Node::Vm(vm) => root::Subject::Vm(vm),
    }
}
