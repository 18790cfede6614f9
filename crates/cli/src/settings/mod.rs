//! Settings from flags and the environment.
//!
//! All settings are checked before the program does anything, and all errors are reported together.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf, time::Duration};

use bronzespoke_language::unit;
use bronzespoke_rpc::command;

use crate::{failure, timeline::filter};

pub mod help;
mod reader;

pub use reader::Environment;
use reader::{Flag, Reader, flag};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
/// Allowed timeouts of one attempt, in milliseconds.
const TIMEOUT_MS: std::ops::RangeInclusive<u64> = 10..=600_000;
/// Maximum number of daemon addresses; the largest supported cell has 34 entry VMs.
const MAX_ADDRESSES: usize = 64;

const ADDRESS: Flag = flag("--address", "BRONZESPOKE_ADDRESS");
const TIMEOUT: Flag = flag("--timeout", "BRONZESPOKE_TIMEOUT");
const JSON: Flag = flag("--json", "BRONZESPOKE_JSON");
const LOG: Flag = flag("--log", "BRONZESPOKE_LOG");
const STATEMENT: Flag = Flag {
    short: Some("-c"),
    name: "--statement",
    variable: "BRONZESPOKE_STATEMENT",
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

/// Validated settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Addresses of daemons, in the order in which they are tried.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of one attempt to get an answer.
    pub timeout: Duration,
    /// Whether to print JSON instead of tables and text.
    pub json: bool,
    /// Level of the log on standard error.
    pub log: log::LevelFilter,
    /// Action to perform.
    pub action: Action,
}

/// Action of one run of the program.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Execute one statement.
    Statement {
        /// Statement in the operators' language.
        line: String,
        /// Id of the command; a random one is generated if absent.
        command_id: Option<command::Id>,
    },
    /// Execute statements from standard input or an interactive prompt.
    Statements,
    /// Show the merged timeline of all processes.
    Timeline(filter::Filter),
    /// Render a JSON file as an HTML page.
    Report {
        /// JSON file with policy measures or a timeline.
        input: PathBuf,
        /// HTML file; standard output if absent.
        output: Option<PathBuf>,
    },
}

/// Subcommand, which decides which flags are allowed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mode {
    Statements,
    Timeline,
    Report,
}

/// Reads the settings. `now_micros` is the wall time in microseconds since the Unix epoch, against which durations in
/// `--since` and `--until` are resolved.
pub fn read(
    arguments: Vec<OsString>,
    environment: Environment<'_>,
    now_micros: u64,
) -> Result<Settings, failure::Failure> {
    let mut reader = Reader::new(arguments, environment);
    let help = reader.contains(["-h", "--help"]);
    let version = reader.contains(["-V", "--version"]);
    let addresses = reader.read_list(ADDRESS, "IP:PORT such as 10.0.0.1:7431 is allowed", |text| {
        text.parse().ok()
    });
    let timeout = reader.read_single(TIMEOUT, "a duration from 10ms to 10m is allowed", |text| {
        unit::parse_duration(text).filter(|value| TIMEOUT_MS.contains(value))
    });
    let json = reader.read_switch(JSON);
    let levels = "off, error, warn, info, debug or trace is allowed";
    let log = reader.read_single(LOG, levels, |text| text.parse().ok());
    let statement = reader.read_single(STATEMENT, "a statement is allowed", |text| {
        Some(String::from(text))
    });
    let command_id = reader.read_single(COMMAND_ID, "1 to 32 hexadecimal digits are allowed", |text| {
        text.parse().ok()
    });
    let filter = read_filter(&mut reader, now_micros);
    let output = reader.read_single(OUTPUT, "a file is allowed", |text| Some(PathBuf::from(text)));
    let given = mode_flags(&reader);
    let (positional, mut errors) = reader.finish();
    if help || version {
        let action = if help { Action::Help } else { Action::Version };
        return Ok(settings(Vec::new(), None, json, None, action));
    }
    let positional = positional.iter().map(String::as_str).collect::<Vec<_>>();
    let (mode, input) = match positional.as_slice() {
        [] => (Mode::Statements, None),
        ["timeline"] => (Mode::Timeline, None),
        ["report", file] => (Mode::Report, Some(PathBuf::from(file))),
        ["report", ..] => {
            errors.push(String::from("report: exactly one FILE is needed"));
            (Mode::Report, None)
        }
        ["timeline", other, ..] | [other, ..] => {
            let other = bronzespoke_language::render::printable(other);
            errors.push(format!(
                "`{other}`: this argument is not known; a statement goes after -c, see --help"
            ));
            (Mode::Statements, None)
        }
    };
    for (name, owner) in given.into_iter().filter(|(_, owner)| *owner != mode) {
        errors.push(format!("{name}: this flag is for {} only", describe(owner)));
    }
    if mode != Mode::Report && addresses.is_empty() && !errors.iter().any(|error| concerns(error, ADDRESS)) {
        errors.push(String::from(
            "--address: at least one IP:PORT is needed (or BRONZESPOKE_ADDRESS)",
        ));
    }
    if addresses.len() > MAX_ADDRESSES {
        errors.push(format!(
            "--address: it is given {} times; at most {MAX_ADDRESSES} are allowed",
            addresses.len()
        ));
    }
    if mode == Mode::Statements && statement.is_none() && command_id.is_some() {
        errors.push(String::from(
            "--command-id: it belongs to one command, which -c gives",
        ));
    }
    if !errors.is_empty() {
        return Err(failure::Failure::Usage(errors));
    }
    let action = match (mode, input, statement) {
        (Mode::Timeline, _, _) => Action::Timeline(filter),
        (Mode::Report, Some(input), _) => Action::Report { input, output },
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

fn read_filter(reader: &mut Reader<'_>, now_micros: u64) -> filter::Filter {
    let number = "a whole number is allowed";
    let time = "a time such as 2026-12-04T09:30:00Z or a duration ago such as 10m is allowed";
    let read_time = |text: &str| filter::read_time(text, now_micros);
    let filter = filter::Filter {
        team: reader.read_single(TEAM, "a team's id or name is allowed", filter::Team::read),
        job: reader.read_single(JOB, number, |text| text.parse().ok()),
        task: reader.read_single(
            TASK,
            "JOB/INDEX such as 281474976710657/0 is allowed",
            filter::read_task,
        ),
        target: reader.read_single(TARGET, number, |text| text.parse().ok()),
        worker: reader.read_single(WORKER, number, |text| text.parse().ok()),
        process: reader.read_single(PROCESS, "the name of a VM is allowed", |text| {
            Some(String::from(text))
        }),
        since: reader.read_single(SINCE, time, read_time),
        until: reader.read_single(UNTIL, time, read_time),
    };
    if let (Some(since), Some(until)) = (filter.since, filter.until)
        && since > until
    {
        reader.record_error(String::from("--since: it is later than --until"));
    }
    filter
}

/// Returns the names of the given flags that belong to one mode, with that mode.
fn mode_flags(reader: &Reader<'_>) -> Vec<(&'static str, Mode)> {
    let owned = |flags: &[Flag], mode: Mode| {
        let given = flags.iter().filter(|flag| reader.was_given(**flag));
        given.map(|flag| (flag.name, mode)).collect::<Vec<_>>()
    };
    let mut given = owned(&STATEMENT_FLAGS, Mode::Statements);
    given.extend(owned(&TIMELINE_FLAGS, Mode::Timeline));
    given.extend(owned(&REPORT_FLAGS, Mode::Report));
    given
}

const fn describe(mode: Mode) -> &'static str {
    match mode {
        Mode::Statements => "statements",
        Mode::Timeline => "`timeline`",
        Mode::Report => "`report`",
    }
}

/// Returns whether an error message is about a flag or its environment variable.
fn concerns(error: &str, flag: Flag) -> bool {
    error.starts_with(flag.name) || error.starts_with(flag.variable)
}
