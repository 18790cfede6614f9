//! Guards against settings that are ignored, and against errors that are reported one at a time.

use std::{collections::HashMap, ffi::OsString, process::Command, time::Duration};

use bronzespoke_cli::{failure, settings, timeline::filter};
use yare::parameterized;

const NOW_MICROS: u64 = 1_800_000_000_000_000;

fn read(arguments: &[&str], environment: &[(&str, &str)]) -> Result<settings::Settings, failure::Failure> {
    let environment = environment.iter().copied().collect::<HashMap<_, _>>();
    let lookup = |name: &str| environment.get(name).map(|value| String::from(*value));
    settings::read(
        arguments.iter().map(OsString::from).collect(),
        &lookup,
        NOW_MICROS,
    )
}

fn errors(arguments: &[&str], environment: &[(&str, &str)]) -> Vec<String> {
    match read(arguments, environment) {
        Err(failure::Failure::Usage(errors)) => errors,
        other => panic!("{other:?}"),
    }
}

#[test]
fn flags_and_environment_mean_the_same() {
    let from_flags = read(
        &[
            "--address",
            "10.0.0.1:7431",
            "--address=10.0.0.2:7431",
            "--timeout",
            "250ms",
            "--json",
            "--log",
            "info",
            "timeline",
            "--team",
            "kodokan",
            "--job",
            "7",
            "--task",
            "7/1",
            "--target",
            "3",
            "--worker",
            "4",
            "--process",
            "vm-1",
            "--since",
            "10m",
            "--until",
            "2027-01-15T08:00:00Z",
        ],
        &[],
    )
    .expect("the flags are right");
    let from_environment = read(
        &["timeline"],
        &[
            ("BRONZESPOKE_ADDRESS", "10.0.0.1:7431,10.0.0.2:7431"),
            ("BRONZESPOKE_TIMEOUT", "250ms"),
            ("BRONZESPOKE_JSON", "1"),
            ("BRONZESPOKE_LOG", "info"),
            ("BRONZESPOKE_TEAM", "kodokan"),
            ("BRONZESPOKE_JOB", "7"),
            ("BRONZESPOKE_TASK", "7/1"),
            ("BRONZESPOKE_TARGET", "3"),
            ("BRONZESPOKE_WORKER", "4"),
            ("BRONZESPOKE_PROCESS", "vm-1"),
            ("BRONZESPOKE_SINCE", "10m"),
            ("BRONZESPOKE_UNTIL", "2027-01-15T08:00:00Z"),
        ],
    )
    .expect("the environment is right");
    assert_eq!(from_flags, from_environment);
    assert_eq!(
        (from_flags.addresses.len(), from_flags.timeout),
        (2, Duration::from_millis(250))
    );
    let settings::Action::Timeline(filter) = from_flags.action else {
        panic!("{:?}", from_flags.action);
    };
    assert_eq!(filter.team, Some(filter::Team::Name(String::from("kodokan"))));
    assert_eq!(
        (filter.since, filter.until),
        (Some(NOW_MICROS - 600_000_000), Some(NOW_MICROS))
    );
}

#[test]
fn flag_takes_precedence() {
    let settings = read(
        &["--address", "10.0.0.1:1", "--log", "debug"],
        &[("BRONZESPOKE_LOG", "off")],
    );
    assert_eq!(settings.expect("right").log, log::LevelFilter::Debug);
}

#[test]
fn all_errors_are_reported_at_once() {
    let arguments = [
        "--timeout",
        "1h",
        "--log",
        "loud",
        "--adress",
        "--since",
        "soon",
        "timeline",
        "--output",
        "x",
    ];
    let errors = errors(
        &arguments,
        &[
            ("BRONZESPOKE_JSON", "maybe"),
            ("BRONZESPOKE_ADDRESS", "localhost"),
        ],
    );
    let expected = [
        "BRONZESPOKE_ADDRESS: `localhost`",
        "--timeout: `1h`",
        "BRONZESPOKE_JSON: `maybe`",
        "--log: `loud`",
        "--since: `soon`",
        "--adress: this flag is not known",
        "--output: this flag is for `report` only",
    ];
    for (error, expected) in errors.iter().zip(expected) {
        assert!(error.starts_with(expected), "{errors:?}");
    }
    assert_eq!(errors.len(), expected.len(), "{errors:?}");
}

#[parameterized(
    no_address = { &["-c", "show teams"], "--address: at least one" },
    no_value = { &["--address", "10.0.0.1:1", "-c"], "-c: a value is missing" },
    twice = { &["--address", "10.0.0.1:1", "-c", "show teams", "-c", "show jobs"], "--statement: it is given 2 times" },
    id_without_statement = { &["--address", "10.0.0.1:1", "--command-id", "1"], "--command-id: it belongs to one" },
    bad_id = { &["--address", "10.0.0.1:1", "-c", "x", "--command-id", "xyz"], "--command-id: `xyz`" },
    statement_for_timeline = { &["--address", "10.0.0.1:1", "timeline", "-c", "x"], "--statement: this flag is for" },
    no_file = { &["report"], "report: exactly one FILE" },
    unknown = { &["--address", "10.0.0.1:1", "show", "teams"], "`show`: this argument is not known" },
    order = { &["--address", "10.0.0.1:1", "timeline", "--since", "1m", "--until", "2m"], "--since: it is later" },
    task = { &["--address", "10.0.0.1:1", "timeline", "--task", "7"], "--task: `7`" },
)]
fn fault_names_the_setting(arguments: &[&str], expected: &str) {
    let errors = errors(arguments, &[]);
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert!(errors[0].starts_with(expected), "{errors:?}");
}

#[parameterized(
    help = { &["--help"], 0, "USAGE", "" },
    help_with_faults = { &["-h", "--unknown"], 0, "USAGE", "" },
    version = { &["--version"], 0, "bronzespoke 0.1.0", "" },
    unknown_flag = { &["--unknown"], 2, "", "--unknown: this flag is not known" },
    syntax = { &["--address", "127.0.0.1:1", "-c", "show task"], 2, "", "column 6: found `task`" },
    query_id = { &["--address", "127.0.0.1:1", "-c", "show teams", "--command-id", "1"], 2, "", "a query does not" },
    no_file = { &["report", "/nonexistent.json"], 1, "", "/nonexistent.json: " },
)]
fn program_ends_with_the_status(arguments: &[&str], status: i32, out: &str, error: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_bronzespoke"))
        .args(arguments)
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(status));
    assert!(String::from_utf8_lossy(&output.stdout).contains(out));
    assert!(
        String::from_utf8_lossy(&output.stderr).contains(error),
        "{output:?}"
    );
}
