//! Parser of commands.

use bronzespoke_model::{id, resource, team};

use super::{Input, ParseResult, field, word};
use crate::statement;

/// Maximum weight of a team's share.
const MAX_WEIGHT: u32 = 10_000;
/// Maximum upper limit of processors: 4,000,000 cores, more than 20 times the planned fleet; it fits 32 bits.
const MAX_CPU_MILLI: u32 = 4_000_000_000;
/// Maximum upper limit of memory: 4,095 TiB, more than 5 times the planned fleet; it fits 32 bits.
const MAX_MEMORY_MIB: u32 = 4095 * 1024 * 1024;
/// Maximum upper limit of accelerators.
const MAX_ACCELERATORS: u32 = 1_000_000;
/// Maximum limit of requests in flight.
const MAX_REQUESTS: u32 = 1_000_000;
/// Maximum request deadline, in milliseconds: one hour.
const MAX_DEADLINE_MS: u32 = 3_600_000;
/// Minimum of the limit on a request body, in bytes; a lower limit would reject ordinary requests.
const MIN_BODY_BYTES: u32 = 1024;
/// Maximum of the limit on a request body, in bytes: 64 MiB.
const MAX_BODY_BYTES: u32 = 64 << 20;
/// Maximum rate to other regions, in bytes per second: 1 GiB/s.
const MAX_REMOTE_BYTES: u32 = 1 << 30;
/// Maximum rate of preemptions or recovery starts, per second.
const MAX_RATE: u32 = 10_000;

const QUOTA_FIELDS: [&str; 5] = ["weight", "cpu", "memory", "accelerators", "requests"];
const QUEUE_FIELDS: [&str; 2] = ["service", "requests"];
const KEY_FIELDS: [&str; 1] = ["hash"];
const CONFIG_FIELDS: [&str; 7] = [
    "request_deadline",
    "request_body",
    "retry_percent",
    "remote_bytes_per_second",
    "version_one",
    "preemptions_per_second",
    "recovery_starts_per_second",
];

#[derive(Clone, Copy)]
enum CreateSubject {
    Team,
    Service,
    Queue,
}

#[derive(Clone, Copy)]
enum SetSubject {
    Team,
    Config,
}

#[derive(Clone, Copy)]
enum CancelSubject {
    Job,
    Jobs,
}

#[derive(Clone, Copy)]
enum NodeKind {
    Worker,
    Target,
    Vm,
}

#[derive(Clone, Copy)]
enum GroupKind {
    Root,
    Zone,
}

/// Parses the rest of a statement after `create`.
pub(super) fn create(input: &mut Input<'_>) -> ParseResult<statement::Command> {
    let table = [
        ("team", CreateSubject::Team),
        ("service", CreateSubject::Service),
        ("queue", CreateSubject::Queue),
    ];
    let created = word::one_of(input, &table)?;
    let name = word::name(word::next(input)?)?;
    Ok(match created {
        CreateSubject::Team => statement::Command::CreateTeam {
            name,
            quota: quota(input)?,
        },
        CreateSubject::Service => statement::Command::CreateService { name },
        CreateSubject::Queue => queue(input, name)?,
    })
}

fn quota(input: &mut Input<'_>) -> ParseResult<team::Quota> {
    let change = quota_change(input)?;
    Ok(team::Quota {
        weight: field::required(input, "weight", change.weight)?,
        limit: resource::Amount::new(
            field::required(input, "cpu", change.cpu_milli)?,
            field::required(input, "memory", change.memory_mib)?,
            field::required(input, "accelerators", change.accelerators)?,
        ),
        requests: field::required(input, "requests", change.requests)?,
    })
}

fn quota_change(input: &mut Input<'_>) -> ParseResult<statement::QuotaChange> {
    let mut change = statement::QuotaChange::default();
    field::one_or_more(input, &QUOTA_FIELDS, None, |field| {
        match field.name.text {
            "weight" => change.weight = Some(field.count(1..=MAX_WEIGHT)?),
            "cpu" => change.cpu_milli = Some(field.cpu(0..=MAX_CPU_MILLI)?),
            "memory" => change.memory_mib = Some(field.memory(0..=MAX_MEMORY_MIB)?),
            "accelerators" => change.accelerators = Some(field.count(0..=MAX_ACCELERATORS)?),
            "requests" => change.requests = Some(field.count(0..=MAX_REQUESTS)?),
            other => unreachable!("`{other}` is not in the list of quota fields"),
        }
        Ok(())
    })?;
    Ok(change)
}

fn queue(input: &mut Input<'_>, name: String) -> ParseResult<statement::Command> {
    let mut service = None;
    let mut requests = None;
    field::one_or_more(input, &QUEUE_FIELDS, None, |field| {
        match field.name.text {
            "service" => service = Some(word::name(field.value)?),
            "requests" => requests = Some(field.count(1..=MAX_REQUESTS)?),
            other => unreachable!("`{other}` is not in the list of queue fields"),
        }
        Ok(())
    })?;
    Ok(statement::Command::CreateQueue {
        name,
        service: field::required(input, "service", service)?,
        requests: field::required(input, "requests", requests)?,
    })
}

/// Parses the rest of a statement after `set`.
pub(super) fn set(input: &mut Input<'_>) -> ParseResult<statement::Command> {
    let table = [("team", SetSubject::Team), ("config", SetSubject::Config)];
    Ok(match word::one_of(input, &table)? {
        SetSubject::Team => statement::Command::SetTeam {
            name: word::name(word::next(input)?)?,
            change: quota_change(input)?,
        },
        SetSubject::Config => {
            let change = config_change(input)?;
            word::keyword(input, "expect")?;
            let expect = word::id(input)?;
            statement::Command::SetConfig { change, expect }
        }
    })
}

fn config_change(input: &mut Input<'_>) -> ParseResult<statement::ConfigChange> {
    let mut change = statement::ConfigChange::default();
    field::one_or_more(input, &CONFIG_FIELDS, Some("expect"), |field| {
        match field.name.text {
            "request_deadline" => change.request_deadline_ms = Some(field.duration(1..=MAX_DEADLINE_MS)?),
            "request_body" => change.request_body_bytes = Some(field.bytes(MIN_BODY_BYTES..=MAX_BODY_BYTES)?),
            "retry_percent" => change.retry_percent = Some(field.count(0..=100)?),
            "remote_bytes_per_second" => {
                change.remote_bytes_per_second = Some(field.bytes(0..=MAX_REMOTE_BYTES)?);
            }
            "version_one" => {
                change.version_one = Some(word::lookup(field.value, &[("on", true), ("off", false)])?);
            }
            "preemptions_per_second" => change.preemptions_per_second = Some(field.count(0..=MAX_RATE)?),
            "recovery_starts_per_second" => {
                change.recovery_starts_per_second = Some(field.count(1..=MAX_RATE)?);
            }
            other => unreachable!("`{other}` is not in the list of configuration fields"),
        }
        Ok(())
    })?;
    Ok(change)
}

/// Parses the rest of a statement after `grant`.
pub(super) fn grant(input: &mut Input<'_>) -> ParseResult<statement::Command> {
    for text in ["key", "to", "team"] {
        word::keyword(input, text)?;
    }
    let team = word::name(word::next(input)?)?;
    let mut hash = None;
    field::zero_or_more(input, &KEY_FIELDS, None, |field| {
        hash = Some(word::hash(field.value)?);
        Ok(())
    })?;
    Ok(statement::Command::GrantKey { team, hash })
}

/// Parses the rest of a statement after `withdraw`.
pub(super) fn withdraw(input: &mut Input<'_>) -> ParseResult<statement::Command> {
    word::keyword(input, "key")?;
    let prefix = word::hash_prefix(word::next(input)?)?;
    Ok(statement::Command::WithdrawKey { prefix })
}

/// Parses the rest of a statement after `drain` or `undrain`.
pub(super) fn node(input: &mut Input<'_>) -> ParseResult<statement::Node> {
    let table = [
        ("worker", NodeKind::Worker),
        ("target", NodeKind::Target),
        ("vm", NodeKind::Vm),
    ];
    let kind = word::one_of(input, &table)?;
    let id = word::id(input)?;
    Ok(match kind {
        NodeKind::Worker => statement::Node::Worker(id),
        NodeKind::Target => statement::Node::Target(id),
        NodeKind::Vm => statement::Node::Vm(id),
    })
}

/// Parses the rest of a statement after `cancel`.
pub(super) fn cancel(input: &mut Input<'_>) -> ParseResult<statement::Command> {
    let table = [("job", CancelSubject::Job), ("jobs", CancelSubject::Jobs)];
    Ok(match word::one_of(input, &table)? {
        CancelSubject::Job => statement::Command::CancelJob {
            job: word::id(input)?,
        },
        CancelSubject::Jobs => {
            word::keyword(input, "of")?;
            word::keyword(input, "team")?;
            let team = word::name(word::next(input)?)?;
            statement::Command::CancelJobs { team }
        }
    })
}

/// Parses the rest of a statement after `add`.
pub(super) fn add(input: &mut Input<'_>) -> ParseResult<statement::Command> {
    let (vm, group) = member(input, "to")?;
    Ok(statement::Command::AddMember { vm, group })
}

/// Parses the rest of a statement after `remove`.
pub(super) fn remove(input: &mut Input<'_>) -> ParseResult<statement::Command> {
    let (vm, group) = member(input, "from")?;
    Ok(statement::Command::RemoveMember { vm, group })
}

fn member(input: &mut Input<'_>, preposition: &str) -> ParseResult<(id::VmId, id::GroupId)> {
    word::keyword(input, "member")?;
    let vm = word::id(input)?;
    word::keyword(input, preposition)?;
    word::keyword(input, "group")?;
    let group = match word::one_of(input, &[("root", GroupKind::Root), ("zone", GroupKind::Zone)])? {
        GroupKind::Root => id::GroupId::Root,
        GroupKind::Zone => id::GroupId::Zone(word::zone(word::next(input)?)?),
    };
    Ok((vm, group))
}

/// Parses the rest of a statement after `declare`.
pub(super) fn declare(input: &mut Input<'_>) -> ParseResult<statement::Command> {
    word::keyword(input, "zone")?;
    let zone = word::zone(word::next(input)?)?;
    word::keyword(input, "lost")?;
    Ok(statement::Command::DeclareLost { zone })
}
