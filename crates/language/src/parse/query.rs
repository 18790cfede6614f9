//! Queries.

use super::{Input, Outcome, field, word};
use crate::statement;

const TASK_FILTERS: [&str; 5] = ["team", "job", "worker", "zone", "state"];
const JOB_FILTERS: [&str; 3] = ["team", "zone", "state"];
const KEY_FILTERS: [&str; 1] = ["team"];
const HOLDING_FILTERS: [&str; 2] = ["team", "zone"];
const TARGET_FILTERS: [&str; 3] = ["service", "zone", "state"];
const WORKER_FILTERS: [&str; 2] = ["zone", "state"];

type States = [(&'static str, statement::State)];

const TASK_STATES: [(&str, statement::State); 3] = [
    ("waiting", statement::State::Waiting),
    ("running", statement::State::Running),
    ("stopping", statement::State::Stopping),
];

const JOB_STATES: [(&str, statement::State); 6] = [
    ("waiting", statement::State::Waiting),
    ("running", statement::State::Running),
    ("succeeded", statement::State::Succeeded),
    ("failed", statement::State::Failed),
    ("cancelled", statement::State::Cancelled),
    ("impossible", statement::State::Impossible),
];

const NODE_STATES: [(&str, statement::State); 4] = [
    ("ready", statement::State::Ready),
    ("draining", statement::State::Draining),
    ("probation", statement::State::Probation),
    ("lost", statement::State::Lost),
];

#[derive(Clone, Copy)]
enum Subject {
    Tasks,
    Jobs,
    Teams,
    Keys,
    Holdings,
    Targets,
    Workers,
    Services,
    Queues,
    Config,
    Versions,
    Members,
    OldCallers,
}

const SUBJECTS: [(&str, Subject); 13] = [
    ("tasks", Subject::Tasks),
    ("jobs", Subject::Jobs),
    ("teams", Subject::Teams),
    ("keys", Subject::Keys),
    ("holdings", Subject::Holdings),
    ("targets", Subject::Targets),
    ("workers", Subject::Workers),
    ("services", Subject::Services),
    ("queues", Subject::Queues),
    ("config", Subject::Config),
    ("versions", Subject::Versions),
    ("members", Subject::Members),
    ("old-callers", Subject::OldCallers),
];

/// Parses the part after `show`.
pub(super) fn show(input: &mut Input<'_>) -> Outcome<statement::Query> {
    Ok(match word::choice(input, &SUBJECTS)? {
        Subject::Tasks => statement::Query::Tasks(filter(input, &TASK_FILTERS, &TASK_STATES)?),
        Subject::Jobs => statement::Query::Jobs(filter(input, &JOB_FILTERS, &JOB_STATES)?),
        Subject::Teams => statement::Query::Teams,
        Subject::Keys => statement::Query::Keys(filter(input, &KEY_FILTERS, &[])?),
        Subject::Holdings => statement::Query::Holdings(filter(input, &HOLDING_FILTERS, &[])?),
        Subject::Targets => statement::Query::Targets(filter(input, &TARGET_FILTERS, &NODE_STATES)?),
        Subject::Workers => statement::Query::Workers(filter(input, &WORKER_FILTERS, &NODE_STATES)?),
        Subject::Services => statement::Query::Services,
        Subject::Queues => statement::Query::Queues,
        Subject::Config => statement::Query::Config,
        Subject::Versions => statement::Query::Versions,
        Subject::Members => statement::Query::Members,
        Subject::OldCallers => statement::Query::OldCallers,
    })
}

/// Parses the part after `why`.
pub(super) fn why(input: &mut Input<'_>) -> Outcome<statement::Query> {
    word::keyword(input, "job")?;
    let job = word::id(input)?;
    Ok(statement::Query::Why { job })
}

fn filter(input: &mut Input<'_>, allowed: &[&str], states: &States) -> Outcome<statement::Filter> {
    let mut filter = statement::Filter::default();
    let next = word::peek(input)?;
    if next.text.is_empty() {
        return Ok(filter);
    }
    if next.text != "where" {
        let expected = "`where` or the end of the line";
        return Err(super::expectation::Expectation::cut(next.offset, expected));
    }
    word::keyword(input, "where")?;
    field::some(input, allowed, None, |field| {
        match field.name.text {
            "team" => filter.team = Some(word::name(field.value)?),
            "service" => filter.service = Some(word::name(field.value)?),
            "job" => filter.job = Some(word::number(field.value, &(0..=u64::MAX))?),
            "worker" => filter.worker = Some(word::number(field.value, &(0..=u64::MAX))?),
            "zone" => filter.zone = Some(word::zone(field.value)?),
            "state" => filter.state = Some(word::pick(field.value, states)?),
            other => unreachable!("`{other}` is not in a list of filters"),
        }
        Ok(())
    })?;
    Ok(filter)
}
