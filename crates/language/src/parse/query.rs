//! Parser of queries.

use super::{Input, ParseResult, field, word};
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
enum ShowSubject {
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

const SHOW_SUBJECTS: [(&str, ShowSubject); 13] = [
    ("tasks", ShowSubject::Tasks),
    ("jobs", ShowSubject::Jobs),
    ("teams", ShowSubject::Teams),
    ("keys", ShowSubject::Keys),
    ("holdings", ShowSubject::Holdings),
    ("targets", ShowSubject::Targets),
    ("workers", ShowSubject::Workers),
    ("services", ShowSubject::Services),
    ("queues", ShowSubject::Queues),
    ("config", ShowSubject::Config),
    ("versions", ShowSubject::Versions),
    ("members", ShowSubject::Members),
    ("old-callers", ShowSubject::OldCallers),
];

/// Parses the rest of a statement after `show`.
pub(super) fn show(input: &mut Input<'_>) -> ParseResult<statement::Query> {
    Ok(match word::one_of(input, &SHOW_SUBJECTS)? {
        ShowSubject::Tasks => statement::Query::Tasks(filter(input, &TASK_FILTERS, &TASK_STATES)?),
        ShowSubject::Jobs => statement::Query::Jobs(filter(input, &JOB_FILTERS, &JOB_STATES)?),
        ShowSubject::Teams => statement::Query::Teams,
        ShowSubject::Keys => statement::Query::Keys(filter(input, &KEY_FILTERS, &[])?),
        ShowSubject::Holdings => statement::Query::Holdings(filter(input, &HOLDING_FILTERS, &[])?),
        ShowSubject::Targets => statement::Query::Targets(filter(input, &TARGET_FILTERS, &NODE_STATES)?),
        ShowSubject::Workers => statement::Query::Workers(filter(input, &WORKER_FILTERS, &NODE_STATES)?),
        ShowSubject::Services => statement::Query::Services,
        ShowSubject::Queues => statement::Query::Queues,
        ShowSubject::Config => statement::Query::Config,
        ShowSubject::Versions => statement::Query::Versions,
        ShowSubject::Members => statement::Query::Members,
        ShowSubject::OldCallers => statement::Query::OldCallers,
    })
}

/// Parses the rest of a statement after `why`.
pub(super) fn why(input: &mut Input<'_>) -> ParseResult<statement::Query> {
    word::keyword(input, "job")?;
    let job = word::id(input)?;
    Ok(statement::Query::Why { job })
}

/// Parses an optional `where` clause.
fn filter(input: &mut Input<'_>, allowed: &[&str], states: &States) -> ParseResult<statement::Filter> {
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
    field::one_or_more(input, allowed, None, |field| {
        match field.name.text {
            "team" => filter.team = Some(word::name(field.value)?),
            "service" => filter.service = Some(word::name(field.value)?),
            "job" => filter.job = Some(word::number(field.value, &(0..=u64::MAX))?),
            "worker" => filter.worker = Some(word::number(field.value, &(0..=u64::MAX))?),
            "zone" => filter.zone = Some(word::zone(field.value)?),
            "state" => filter.state = Some(word::lookup(field.value, states)?),
            other => unreachable!("`{other}` is not in a list of filters"),
        }
        Ok(())
    })?;
    Ok(filter)
}
