//! Settings from flags and the environment.
//!
//! All faults are found before anything is done, and are reported together.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf, time::Duration};

use bronzespoke_language::unit;
use bronzespoke_rpc::command;

use crate::{failure, timeline::filter};

pub mod help;
mod reader;

pub use reader::Environment;
use reader::{Flag, Reader, flag};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
/// Shortest and longest wait for one answer, in milliseconds.
const TIMEOUT_MS: std::ops::RangeInclusive<u64> = 10..=600_000;
/// Most daemon addresses; more than the entry VMs of the target size (34).
const MAX_ADDRESSES: usize = 64;

const ADDRESS: Flag = flag("--address", "BRONZESPOKE_ADDRESS");
const TIMEOUT: Flag = flag("--timeout", "BRONZESPOKE_TIMEOUT");
const JSON: Flag = flag("--json", "BRONZESPOKE_JSON");
const LOG: Flag = flag("--log", "BRONZESPOKE_LOG");
const STATEMENT: Flag = Flag {
    short: Some("-c"),
    name: "--statement",
    twin: "BRONZESPOKE_STATEMENT",
};
const COMMAND_ID: Flag = flag("--command-id", "BRONZESPOKE_COMMAND_ID");
const TEAM: Flag = flag("--team", "BRONZESPOKE_TEAM");
const JOB: Flag = flag("--job", "BRONZESPOKE_JOB");
const TASK: Flag = flag("--task", "BRONZESPOKE_TASK");
const TARGET: Flag = flag("--target", "BRONZESPOKE_TARGET");
const WORKER: Flag = flag("--worker", "BRONZESPOKE_WORKER");
const PROCESS: Flag = flag("--process", "BRONZESPOKE_PROCESS");
const SINCE: Flag = flag("--since", "BRONZESPOKE_SINCE");
const UNTIL: Flag = flag("--until", "BRONZESPOKE_UNTIL");
const OUTPUT: Flag = flag("--output", "BRONZESPOKE_OUTPUT");

const STATEMENT_FLAGS: [Flag; 2] = [STATEMENT, COMMAND_ID];
const TIMELINE_FLAGS: [Flag; 8] = [TEAM, JOB, TASK, TARGET, WORKER, PROCESS, SINCE, UNTIL];
const REPORT_FLAGS: [Flag; 1] = [OUTPUT];

/// Checked settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Addresses of daemons, in the order in which they are tried.
    pub addresses: Vec<SocketAddr>,
    /// Longest wait for one answer.
    pub timeout: Duration,
    /// Whether output is JSON.
    pub json: bool,
    /// Log level.
    pub log: log::LevelFilter,
    /// What to do.
    pub action: Action,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Execute one statement.
    Statement {
        /// The line.
        line: String,
        /// Id of the command; generated when absent.
        command_id: Option<command::Id>,
    },
    /// Execute statements from standard input or a prompt.
    Statements,
    /// Show the merged timeline.
    Timeline(filter::Filter),
    /// Turn a JSON file into an HTML page.
    Report {
        /// JSON file.
        input: PathBuf,
        /// HTML file; standard output when absent.
        output: Option<PathBuf>,
    },
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Part {
    Statements,
    Timeline,
    Report,
}

/// Reads the settings. `now_micros` is the wall time since the Unix epoch, for durations ago.
pub fn read(
    arguments: Vec<OsString>,
    environment: Environment<'_>,
    now_micros: u64,
) -> Result<Settings, failure::Failure> {
    let mut reader = Reader::new(arguments, environment);
    let help = reader.contains(["-h", "--help"]);
    let version = reader.contains(["-V", "--version"]);
    let addresses = reader.many(ADDRESS, "IP:PORT such as 10.0.0.1:7431 is allowed", |text| {
        text.parse().ok()
    });
    let timeout = reader.one(TIMEOUT, "a duration from 10ms to 10m is allowed", |text| {
        unit::parse_duration(text).filter(|value| TIMEOUT_MS.contains(value))
    });
    let json = reader.switch(JSON);
    let levels = "off, error, warn, info, debug or trace is allowed";
    let log = reader.one(LOG, levels, |text| text.parse().ok());
    let statement = reader.one(STATEMENT, "a statement is allowed", |text| {
        Some(String::from(text))
    });
    let command_id = reader.one(COMMAND_ID, "1 to 32 hexadecimal digits are allowed", |text| {
        text.parse().ok()
    });
    let filter = filter(&mut reader, now_micros);
    let output = reader.one(OUTPUT, "a file is allowed", |text| Some(PathBuf::from(text)));
    let given = given_flags(&reader);
    let (free, mut faults) = reader.finish();
    if help || version {
        let action = if help { Action::Help } else { Action::Version };
        return Ok(settings(Vec::new(), None, json, None, action));
    }
    let free = free.iter().map(String::as_str).collect::<Vec<_>>();
    let (part, input) = match free.as_slice() {
        [] => (Part::Statements, None),
        ["timeline"] => (Part::Timeline, None),
        ["report", file] => (Part::Report, Some(PathBuf::from(file))),
        ["report", ..] => {
            faults.push(String::from("report: exactly one FILE is needed"));
            (Part::Report, None)
        }
        ["timeline", other, ..] | [other, ..] => {
            let other = bronzespoke_language::render::printable(other);
            faults.push(format!(
                "`{other}`: this argument is not known; a statement goes after -c, see --help"
            ));
            (Part::Statements, None)
        }
    };
    for (name, owner) in given.into_iter().filter(|(_, owner)| *owner != part) {
        faults.push(format!("{name}: this flag is for {} only", describe(owner)));
    }
    if part != Part::Report && addresses.is_empty() && !faults.iter().any(|fault| names(fault, ADDRESS)) {
        faults.push(String::from(
            "--address: at least one IP:PORT is needed (or BRONZESPOKE_ADDRESS)",
        ));
    }
    if addresses.len() > MAX_ADDRESSES {
        faults.push(format!(
            "--address: it is given {} times; at most {MAX_ADDRESSES} are allowed",
            addresses.len()
        ));
    }
    if part == Part::Statements && statement.is_none() && command_id.is_some() {
        faults.push(String::from(
            "--command-id: it belongs to one command, which -c gives",
        ));
    }
    if !faults.is_empty() {
        return Err(failure::Failure::Usage(faults));
    }
    let action = match (part, input, statement) {
        (Part::Timeline, _, _) => Action::Timeline(filter),
        (Part::Report, Some(input), _) => Action::Report { input, output },
        (_, _, Some(line)) => Action::Statement { line, command_id },
        (_, _, None) => Action::Statements,
    };
    Ok(settings(addresses, timeout, json, log, action))
}

fn settings(
    addresses: Vec<SocketAddr>,
    timeout_ms: Option<u64>,
    json: bool,
    log: Option<log::LevelFilter>,
    action: Action,
) -> Settings {
    Settings {
        addresses,
        timeout: timeout_ms.map_or(DEFAULT_TIMEOUT, Duration::from_millis),
        json,
        log: log.unwrap_or(log::LevelFilter::Warn),
        action,
    }
}

fn filter(reader: &mut Reader<'_>, now_micros: u64) -> filter::Filter {
    let number = "a whole number is allowed";
    let time = "a time such as 2026-12-04T09:30:00Z or a duration ago such as 10m is allowed";
    let read_time = |text: &str| filter::read_time(text, now_micros);
    let filter = filter::Filter {
        team: reader.one(TEAM, "a team's id or name is allowed", filter::Team::read),
        job: reader.one(JOB, number, |text| text.parse().ok()),
        task: reader.one(
            TASK,
            "JOB/INDEX such as 281474976710657/0 is allowed",
            filter::read_task,
        ),
        target: reader.one(TARGET, number, |text| text.parse().ok()),
        worker: reader.one(WORKER, number, |text| text.parse().ok()),
        process: reader.one(PROCESS, "the name of a VM is allowed", |text| {
            Some(String::from(text))
        }),
        since: reader.one(SINCE, time, read_time),
        until: reader.one(UNTIL, time, read_time),
    };
    if let (Some(since), Some(until)) = (filter.since, filter.until)
        && since > until
    {
        reader.fault(String::from("--since: it is later than --until"));
    }
    filter
}

fn given_flags(reader: &Reader<'_>) -> Vec<(&'static str, Part)> {
    let owned = |flags: &[Flag], part: Part| {
        let given = flags.iter().filter(|flag| reader.was_given(**flag));
        given.map(|flag| (flag.name, part)).collect::<Vec<_>>()
    };
    let mut given = owned(&STATEMENT_FLAGS, Part::Statements);
    given.extend(owned(&TIMELINE_FLAGS, Part::Timeline));
    given.extend(owned(&REPORT_FLAGS, Part::Report));
    given
}

const fn describe(part: Part) -> &'static str {
    match part {
        Part::Statements => "statements",
        Part::Timeline => "`timeline`",
        Part::Report => "`report`",
    }
}

fn names(fault: &str, flag: Flag) -> bool {
    fault.starts_with(flag.name) || fault.starts_with(flag.twin)
}
