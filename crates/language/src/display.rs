//! Rendering of statements in canonical form, which parses into the same statement.

use std::fmt::{self, Display, Formatter, Write};

use bronzespoke_model::id;

use crate::{statement, unit};

impl Display for statement::Statement {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Query(query) => query.fmt(f),
            Self::Command(command) => command.fmt(f),
        }
    }
}

impl Display for statement::Query {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tasks(filter) => write!(f, "show tasks{filter}"),
            Self::Jobs(filter) => write!(f, "show jobs{filter}"),
            Self::Teams => f.write_str("show teams"),
            Self::Keys(filter) => write!(f, "show keys{filter}"),
            Self::Holdings(filter) => write!(f, "show holdings{filter}"),
            Self::Targets(filter) => write!(f, "show targets{filter}"),
            Self::Workers(filter) => write!(f, "show workers{filter}"),
            Self::Services => f.write_str("show services"),
            Self::Queues => f.write_str("show queues"),
            Self::Config => f.write_str("show config"),
            Self::Versions => f.write_str("show versions"),
            Self::Members => f.write_str("show members"),
            Self::OldCallers => f.write_str("show old-callers"),
            Self::Why { job } => write!(f, "why job {job}"),
        }
    }
}

/// Renders nothing for an empty filter, and otherwise a space and the `where` clause.
impl Display for statement::Filter {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut text = String::new();
        field(&mut text, "team", self.team.as_ref())?;
        field(&mut text, "service", self.service.as_ref())?;
        field(&mut text, "job", self.job)?;
        field(&mut text, "worker", self.worker)?;
        field(&mut text, "zone", self.zone)?;
        field(&mut text, "state", self.state)?;
        if text.is_empty() {
            return Ok(());
        }
        write!(f, " where{text}")
    }
}

impl Display for statement::State {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Waiting => "waiting",
            Self::Running => "running",
            Self::Stopping => "stopping",
            Self::Succeeded => "succeeded",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::Impossible => "impossible",
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Probation => "probation",
            Self::Lost => "lost",
        })
    }
}

impl Display for statement::Command {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::CreateTeam { name, quota } => {
                write!(f, "create team {name}{}", statement::QuotaChange::all(quota))
            }
            Self::SetTeam { name, change } => write!(f, "set team {name}{change}"),
            Self::GrantKey { team, hash: None } => write!(f, "grant key to team {team}"),
            Self::GrantKey {
                team,
                hash: Some(hash),
            } => {
                write!(f, "grant key to team {team} hash={}", encode_hex(hash))
            }
            Self::WithdrawKey { prefix } => write!(f, "withdraw key {prefix}"),
            Self::CreateService { name } => write!(f, "create service {name}"),
            Self::CreateQueue {
                name,
                service,
                requests,
            } => write!(f, "create queue {name} service={service} requests={requests}"),
            Self::Drain(node) => write!(f, "drain {node}"),
            Self::Undrain(node) => write!(f, "undrain {node}"),
            Self::SetConfig { change, expect } => write!(f, "set config{change} expect {expect}"),
            Self::CancelJob { job } => write!(f, "cancel job {job}"),
            Self::CancelJobs { team } => write!(f, "cancel jobs of team {team}"),
            Self::AddMember { vm, group } => write!(f, "add member {vm} to group {}", group_name(*group)),
            Self::RemoveMember { vm, group } => {
                write!(f, "remove member {vm} from group {}", group_name(*group))
            }
            Self::DeclareLost { zone } => write!(f, "declare zone {zone} lost"),
        }
    }
}

impl Display for statement::Node {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Worker(id) => write!(f, "worker {id}"),
            Self::Target(id) => write!(f, "target {id}"),
            Self::Vm(id) => write!(f, "vm {id}"),
        }
    }
}

/// Renders each field that is present, preceded by a space.
impl Display for statement::QuotaChange {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        field(f, "weight", self.weight)?;
        field(f, "cpu", self.cpu_milli.map(unit::format_cpu))?;
        field(f, "memory", self.memory_mib.map(unit::format_memory))?;
        field(f, "accelerators", self.accelerators)?;
        field(f, "requests", self.requests)
    }
}

/// Renders each field that is present, preceded by a space.
impl Display for statement::ConfigChange {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (name, value) in self.fields() {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}

impl statement::ConfigChange {
    /// Returns the name and rendered value of each field that is present, for `show config` and answers.
    pub fn fields(&self) -> Vec<(&'static str, String)> {
        let bytes = |value: u32| unit::format_bytes(u64::from(value));
        let duration = |value: u32| unit::format_duration(u64::from(value));
        let switch = |on: bool| String::from(if on { "on" } else { "off" });
        let number = |value: u32| value.to_string();
        let fields = [
            ("request_deadline", self.request_deadline_ms.map(duration)),
            ("request_body", self.request_body_bytes.map(bytes)),
            ("retry_percent", self.retry_percent.map(number)),
            ("remote_bytes_per_second", self.remote_bytes_per_second.map(bytes)),
            ("version_one", self.version_one.map(switch)),
            ("preemptions_per_second", self.preemptions_per_second.map(number)),
            (
                "recovery_starts_per_second",
                self.recovery_starts_per_second.map(number),
            ),
        ];
        let present = fields
            .into_iter()
            .filter_map(|(name, value)| Some((name, value?)));
        present.collect()
    }
}

/// Encodes bytes, such as a key hash, as lower-case hexadecimal digits.
pub fn encode_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        write!(text, "{byte:02x}").expect("writing to a string succeeds");
    }
    text
}

fn group_name(group: id::GroupId) -> String {
    match group {
        id::GroupId::Root => String::from("root"),
        id::GroupId::Zone(zone) => format!("zone {zone}"),
    }
}

/// Renders a field that is present, preceded by a space.
fn field(out: &mut impl Write, name: &str, value: Option<impl Display>) -> fmt::Result {
    match value {
        Some(value) => write!(out, " {name}={value}"),
        None => Ok(()),
    }
}
