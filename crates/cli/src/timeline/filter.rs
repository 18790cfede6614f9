//! Filters of the timeline.
//!
//! Event fields are read by name from the JSON form, so that new kinds of events need no change here.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use bronzespoke_model::{event, id, task};
use serde_json::Value;

/// Team that a filter selects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Team {
    /// Id of the team.
    Id(id::TeamId),
    /// Name of the team, which is resolved with `show teams`.
    Name(String),
}

impl Team {
    /// Parses an id or, if it is not a number, a name.
    pub fn read(text: &str) -> Option<Self> {
        let name = || (!text.is_empty()).then(|| Self::Name(String::from(text)));
        text.parse().map(Self::Id).ok().or_else(name)
    }
}

/// Conditions on events; all that are set must match.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Filter {
    /// Team of the event, or of its job.
    pub team: Option<Team>,
    /// Job of the event, or of its task.
    pub job: Option<id::JobId>,
    /// Task of the event.
    pub task: Option<task::Ref>,
    /// Target of the event.
    pub target: Option<id::TargetId>,
    /// Worker of the event.
    pub worker: Option<id::WorkerId>,
    /// Name of the VM that recorded the event.
    pub process: Option<String>,
    /// Earliest wall time, in microseconds since the Unix epoch.
    pub since: Option<u64>,
    /// Latest wall time, in microseconds since the Unix epoch.
    pub until: Option<u64>,
}

impl Filter {
    /// Keeps the events that match every condition. `team` is the id of the team in the filter.
    ///
    /// Task events do not carry a team; the team of their job is taken from the other events.
    pub fn apply(&self, team: Option<id::TeamId>, events: &mut Vec<event::Event>) {
        let teams = if team.is_some() {
            job_teams(events)
        } else {
            HashMap::new()
        };
        events.retain(|event| self.matches_event(team.map(u64::from), &teams, event));
    }

    fn matches_event(&self, team: Option<u64>, teams: &HashMap<u64, u64>, event: &event::Event) -> bool {
        let kind = fields(event);
        let job = number(&kind, "job").or_else(|| number(&kind["task"], "job"));
        let index = number(&kind["task"], "index");
        let event_team = || number(&kind, "team").or_else(|| teams.get(&job?).copied());
        let task_index = self.task.map(|task| u64::from(task.index));
        matches(team, event_team)
            && matches(self.job, || job)
            && matches(self.task.map(|task| task.job), || job)
            && matches(task_index, || index)
            && matches(self.target, || number(&kind, "target"))
            && matches(self.worker, || number(&kind, "worker"))
            && self
                .process
                .as_ref()
                .is_none_or(|process| *process == event.process)
            && self.since.is_none_or(|since| event.stamp.micros >= since)
            && self.until.is_none_or(|until| event.stamp.micros <= until)
    }
}

/// Parses a task in the form `JOB/INDEX`.
pub fn read_task(text: &str) -> Option<task::Ref> {
    let (job, index) = text.split_once('/')?;
    Some(task::Ref {
        job: job.parse().ok()?,
        index: index.parse().ok()?,
    })
}

/// Parses a time in RFC 3339 or a duration before `now_micros`. Returns microseconds since the Unix epoch.
pub fn read_time(text: &str, now_micros: u64) -> Option<u64> {
    if let Ok(ago) = humantime::parse_duration(text) {
        return now_micros.checked_sub(u64::try_from(ago.as_micros()).ok()?);
    }
    let time = humantime::parse_rfc3339_weak(text).ok()?;
    let elapsed = time.duration_since(SystemTime::UNIX_EPOCH).ok()?;
    u64::try_from(elapsed.as_micros()).ok()
}

/// Formats microseconds since the Unix epoch in RFC 3339.
pub fn write_time(micros: u64) -> String {
    /// 9999-12-31, the latest day that the format can represent.
    const LATEST_MICROS: u64 = 253_402_214_400_000_000;
    let time = SystemTime::UNIX_EPOCH + Duration::from_micros(micros.min(LATEST_MICROS));
    humantime::format_rfc3339_micros(time).to_string()
}

/// Returns the JSON object of an event's kind: its fields, and its name under `event`.
pub(crate) fn fields(event: &event::Event) -> Value {
    serde_json::to_value(&event.kind).expect("an event is plain data")
}

/// Returns the team of each job that the events name.
fn job_teams(events: &[event::Event]) -> HashMap<u64, u64> {
    let pairs = events.iter().filter_map(|event| {
        let kind = fields(event);
        number(&kind, "job").zip(number(&kind, "team"))
    });
    pairs.collect()
}

fn number(value: &Value, name: &str) -> Option<u64> {
    value.get(name)?.as_u64()
}

fn matches(expected: Option<u64>, actual: impl FnOnce() -> Option<u64>) -> bool {
    expected.is_none_or(|expected| actual() == Some(expected))
}
