//! Settings of the daemon: flags, environment variables, and the report of all errors.

use std::{collections::HashMap, ffi::OsString, process::Command};

use bronzespoke_daemon::settings::{self, Error, Request, Settings};
use yare::parameterized;

/// Flags, their environment variables, and two different allowed values each.
const TWINS: [(&str, &str, [&str; 2]); 12] = [
    ("--name", "BRONZESPOKE_NAME", ["sur-1", "sur-2.example"]),
    ("--region", "BRONZESPOKE_REGION", ["2", "9999"]),
    ("--zone", "BRONZESPOKE_ZONE", ["3", "9998"]),
    ("--peer", "BRONZESPOKE_PEER", ["127.0.0.1:7101", "[::1]:7102"]),
    ("--http", "BRONZESPOKE_HTTP", ["127.0.0.1:7201", "[::1]:7202"]),
    ("--rpc", "BRONZESPOKE_RPC", ["127.0.0.1:7301", "[::1]:7302"]),
    (
        "--seeds",
        "BRONZESPOKE_SEEDS",
        ["127.0.0.1:7102", "127.0.0.1:7103,127.0.0.1:7104"],
    ),
    ("--data", "BRONZESPOKE_DATA", ["state-a", "state-b"]),
    ("--random-seed", "BRONZESPOKE_RANDOM_SEED", ["5", "6"]),
    ("--traffic-threads", "BRONZESPOKE_TRAFFIC_THREADS", ["1", "64"]),
    ("--drain-notice", "BRONZESPOKE_DRAIN_NOTICE", ["0s", "60s"]),
    ("--log-level", "BRONZESPOKE_LOG_LEVEL", ["off", "trace"]),
];

const REQUIRED: [(&str, &str); 6] = [
    ("--name", "sur-1"),
    ("--region", "1"),
    ("--zone", "1"),
    ("--peer", "127.0.0.1:7101"),
    ("--http", "127.0.0.1:7201"),
    ("--rpc", "127.0.0.1:7301"),
];

type Environment = HashMap<&'static str, &'static str>;

fn read(arguments: &[&str], environment: &Environment) -> Result<Request, Vec<Error>> {
    let arguments = arguments.iter().map(OsString::from).collect();
    settings::read(arguments, &|name| environment.get(name).map(ToString::to_string))
}

/// Required flags without the given one, and `--random-seed`, so that two readings are equal.
fn base(without: &str) -> Vec<&'static str> {
    let seed = ("--random-seed", "1");
    let all = REQUIRED.into_iter().chain([seed]);
    all.filter(|(flag, _)| *flag != without)
        .flat_map(|(flag, value)| [flag, value])
        .collect()
}

/// The base with further arguments.
fn with<'a>(without: &str, arguments: &[&'a str]) -> Vec<&'a str> {
    let mut all: Vec<&str> = base(without);
    all.extend(arguments);
    all
}

fn settings(request: Result<Request, Vec<Error>>) -> Settings {
    match request {
        Ok(Request::Run(settings)) => *settings,
        other => panic!("settings were expected, not {other:?}"),
    }
}

fn errors(request: Result<Request, Vec<Error>>) -> Vec<String> {
    let errors = request.expect_err("the settings are wrong");
    errors.iter().map(ToString::to_string).collect()
}

/// Guards against a flag that a unit file cannot set, and against a variable that overrides a flag.
#[test]
fn every_flag_has_an_environment_variable_and_takes_precedence() {
    for (flag, variable, [one, other]) in TWINS {
        let from = |arguments: &[&'static str], environment: &Environment| {
            settings(read(&with(flag, arguments), environment))
        };
        let by_flag = from(&[flag, one], &Environment::new());
        let by_variable = from(&[], &Environment::from([(variable, one)]));
        assert_eq!(by_flag, by_variable, "{flag} and {variable} mean the same");
        let by_both = from(&[flag, one], &Environment::from([(variable, other)]));
        assert_eq!(by_flag, by_both, "{flag} takes precedence over {variable}");
        let different = from(&[flag, other], &Environment::new());
        assert_ne!(by_flag, different, "{flag} has an effect");
    }
}

/// Guards against reading the variable of a flag without a value as set although it says `false`.
#[parameterized(
    one = { "1", true },
    yes = { "true", true },
    zero = { "0", false },
    no = { "false", false },
    empty = { "", false },
)]
fn the_variable_of_found_is_true_or_false(value: &'static str, expected: bool) {
    let environment = Environment::from([("BRONZESPOKE_FOUND", value)]);
    let arguments = with("", &["--data", "state"]);
    assert_eq!(settings(read(&arguments, &environment)).found, expected);
}

/// Guards against help that omits a flag or its variable.
#[test]
fn help_lists_every_flag_with_its_variable() {
    let help = settings::help();
    let found = ("--found", "BRONZESPOKE_FOUND", [""; 2]);
    for (flag, variable, _) in TWINS.into_iter().chain([found]) {
        assert!(help.contains(&format!("  {flag} ")), "{flag} is in the help");
        assert!(help.contains(variable), "{variable} is in the help");
    }
}

/// Guards against an invalid value that is accepted, or refused without naming the flag, the value and what is allowed.
#[parameterized(
    name = { "--name", "a b", "1 to 63 letters" },
    region_zero = { "--region", "0", "1 to 9999" },
    region_large = { "--region", "70000", "1 to 9999" },
    zone_text = { "--zone", "west", "1 to 9999" },
    peer = { "--peer", "localhost", "an IP address and a port" },
    http = { "--http", "10.0.0.1", "an IP address and a port" },
    rpc = { "--rpc", ":7300", "an IP address and a port" },
    random_seed = { "--random-seed", "-1", "a whole number" },
    threads_none = { "--traffic-threads", "0", "1 to 64" },
    threads_many = { "--traffic-threads", "65", "1 to 64" },
    notice_long = { "--drain-notice", "2m", "0s to 60s" },
    notice_text = { "--drain-notice", "soon", "0s to 60s" },
    level = { "--log-level", "loud", "off, error, warn, info, debug or trace" },
)]
fn a_wrong_value_is_named(flag: &str, value: &str, allowed: &str) {
    let arguments = with(flag, &[flag, value]);
    let errors = errors(read(&arguments, &Environment::new()));
    assert_eq!(errors.len(), 1, "one error, not {errors:?}");
    for part in [flag, value, allowed] {
        assert!(errors[0].contains(part), "`{}` has `{part}`", errors[0]);
    }
}

/// Guards against a list of seeds that ignores invalid entries or grows without bound.
#[test]
fn every_wrong_seed_is_named() {
    let arguments = with("", &["--seeds", "127.0.0.1:1,one,127.0.0.1:2,two"]);
    let found = errors(read(&arguments, &Environment::new()));
    assert_eq!(found.len(), 2, "{found:?}");
    assert!(
        found[0].contains("\"one\"") && found[1].contains("\"two\""),
        "{found:?}"
    );
    let many = vec!["127.0.0.1:1"; 65].join(",");
    let arguments = with("", &["--seeds", &many]);
    let found = errors(read(&arguments, &Environment::new()));
    assert!(found[0].contains("at most 64"), "{found:?}");
}

/// Guards against reporting one error at a time, which costs an operator one restart each.
#[test]
fn all_errors_are_reported_at_once() {
    let arguments = [
        "--name",
        "a b",
        "--region",
        "0",
        "--zone",
        "x",
        "--traffic-threads",
        "0",
        "--speed",
    ];
    let environment = Environment::from([("BRONZESPOKE_LOG_LEVEL", "loud")]);
    let errors = errors(read(&arguments, &environment));
    let settings = [
        "--name",
        "--region",
        "--zone",
        "--peer",
        "--http",
        "--rpc",
        "--traffic-threads",
    ];
    for setting in settings.into_iter().chain(["--log-level", "--speed"]) {
        let of_setting = errors.iter().filter(|fault| fault.starts_with(setting)).count();
        assert_eq!(of_setting, 1, "{setting} is reported once in {errors:#?}");
    }
    assert_eq!(errors.len(), 9, "{errors:#?}");
}

/// Guards against bootstrapping a cell without durable state: it would be lost at the first restart.
#[test]
fn a_founder_needs_a_data_folder() {
    let arguments = with("", &["--found"]);
    let errors = errors(read(&arguments, &Environment::new()));
    assert!(errors.len() == 1 && errors[0].contains("--data"), "{errors:?}");
}

fn daemon(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_bronzespoked"))
        .args(arguments)
        .env_clear()
        .output()
        .expect("the daemon can be run");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

/// Guards against a wrong exit status, or output on the wrong stream.
#[test]
fn the_program_exits_with_status_and_output() {
    let (status, out, _) = daemon(&["--help"]);
    assert!(status == Some(0) && out == settings::help(), "{out}");
    let (status, out, _) = daemon(&["--version"]);
    assert!(status == Some(0) && out.starts_with("bronzespoked "), "{out}");
    let (status, out, error) = daemon(&with("", &["--check"]));
    assert_eq!((status, error.as_str()), (Some(0), ""), "{out}");
    let (status, out, error) = daemon(&["--check", "--region", "0", "--http", "x"]);
    assert_eq!((status, out.as_str()), (Some(2), ""), "{error}");
    assert_eq!(error.lines().count(), 6, "one line for each error: {error}");
}

/// Guards against `--check` that touches the data folder or an address.
#[test]
fn a_check_changes_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let data = folder.path().join("state");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address").to_string();
    let data_text = data.to_str().expect("a path as text");
    let arguments = with("--peer", &["--peer", &address, "--data", data_text, "--check"]);
    assert_eq!(daemon(&arguments).0, Some(0));
    assert!(!data.exists(), "a check creates no folder");
}

/// Guards against reporting an address in use as a panic or as success.
#[test]
fn an_address_in_use_is_one_clear_error() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address").to_string();
    let arguments = with("--http", &["--http", &address]);
    let (status, _, error) = daemon(&arguments);
    assert_eq!(status, Some(1), "{error}");
    assert!(error.contains("--http") && error.contains(&address), "{error}");
    assert_eq!(error.lines().count(), 1, "{error}");
}
