//! `bronzespoked`: the daemon on each VM.

use std::{
    ffi::OsString, net::SocketAddr, ops::RangeInclusive, path::PathBuf, process::ExitCode, sync::Arc,
    time::Duration,
};

use bronzespoke_daemon::{daemon, fleet, logging, settings};
use bronzespoke_platform as platform;

/// Exit status for invalid settings or arguments.
const USAGE: u8 = 2;

/// First argument of a daemon of a fleet, whose workers receive directives.
const FLEET: &str = "fleet";
/// Flag for the path of the platform's settings file.
const SETTINGS_FLAG: &str = "--settings";
/// Environment variable for the path of the platform's settings file.
const SETTINGS_VARIABLE: &str = "BRONZESPOKE_SETTINGS";
/// Flag for the address at which frames are received if it differs from the one that other daemons use, for example
/// behind a proxy.
const LISTEN_FLAG: &str = "--listen-frames";
/// Flag for the half-life of the teams' past use, which is not counted without it.
const PAST_USE_FLAG: &str = "--past-use";
/// Range of the half-life: shares are kept over seconds by themselves, and a month is the longest period after which teams
/// still compare their use.
const PAST_USE_RANGE: RangeInclusive<Duration> = Duration::from_mins(10)..=Duration::from_hours(30 * 24);

fn main() -> ExitCode {
    let mut arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    if arguments.first().is_some_and(|first| first == FLEET) {
        return run_fleet(arguments.split_off(1));
    }
    let environment = |name: &str| std::env::var(name).ok();
    match settings::read(arguments, &environment) {
        Ok(settings::Request::Help) => print(&settings::help()),
        Ok(settings::Request::Version) => print(concat!("bronzespoked ", env!("CARGO_PKG_VERSION"), "\n")),
        Ok(settings::Request::Check(_)) => print("The settings are valid.\n"),
        Ok(settings::Request::Run(settings)) => run(*settings),
        Err(errors) => {
            for error in errors {
                eprintln!("bronzespoked: {error}");
            }
            ExitCode::from(USAGE)
        }
    }
}

/// Parses the half-life of past use.
fn parse_half_life(text: &str) -> Result<Duration, String> {
    let parsed = humantime::parse_duration(text).ok();
    parsed
        .filter(|half_life| PAST_USE_RANGE.contains(half_life))
        .ok_or_else(|| format!("{text} is not a duration from 10m to 30d"))
}

/// Runs a daemon of a fleet with the platform's settings file, given by `--settings` or the environment.
fn run_fleet(arguments: Vec<OsString>) -> ExitCode {
    let mut arguments = pico_args::Arguments::from_vec(arguments);
    let check = arguments.contains("--check");
    let named: Result<Option<PathBuf>, _> =
        arguments.opt_value_from_os_str(SETTINGS_FLAG, |value| Ok::<_, String>(PathBuf::from(value)));
    let path = match named {
        Ok(path) => path.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)),
        Err(error) => return usage(&error.to_string()),
    };
    let listen: Result<Option<SocketAddr>, _> = arguments.opt_value_from_str(LISTEN_FLAG);
    let listen = match listen {
        Ok(listen) => listen,
        Err(error) => {
            return usage(&format!(
                "{LISTEN_FLAG}: {error}; expected an IP address and port"
            ));
        }
    };
    let past_use = match arguments.opt_value_from_fn(PAST_USE_FLAG, parse_half_life) {
        Ok(past_use) => past_use,
        Err(error) => return usage(&format!("{PAST_USE_FLAG}: {error}")),
    };
    if let Some(unknown) = arguments.finish().first() {
        return usage(&format!(
            "unknown argument {}; expected {SETTINGS_FLAG} FILE, {LISTEN_FLAG} ADDRESS, {PAST_USE_FLAG} DURATION or \
             --check",
            unknown.display()
        ));
    }
    let Some(path) = path else {
        return usage(&format!(
            "no settings file given; set {SETTINGS_FLAG} or {SETTINGS_VARIABLE}"
        ));
    };
    let adapter = Arc::new(platform::Platform);
    let ended = if check {
        fleet::read(&path, adapter.as_ref()).map(|_settings| println!("The settings are valid."))
    } else {
        fleet::run(&path, adapter, listen, past_use)
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ fleet::Error::Settings(_)) => usage(&error.to_string()),
        Err(error) => {
            eprintln!("bronzespoked: {error}");
            ExitCode::FAILURE
        }
    }
}

fn usage(errors: &str) -> ExitCode {
    for error in errors.lines() {
        eprintln!("bronzespoked: {error}");
    }
    ExitCode::from(USAGE)
}

fn print(text: &str) -> ExitCode {
    print!("{text}");
    ExitCode::SUCCESS
}

fn run(mut settings: settings::Settings) -> ExitCode {
    logging::start(&settings.name, settings.log_level);
    let started = daemon::Listeners::bind(&mut settings)
        .and_then(|listeners| daemon::Daemon::start(settings, listeners));
    let daemon = match started {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("bronzespoked: {error}");
            return ExitCode::FAILURE;
        }
    };
    if let Err(error) = wait_for_signal() {
        log::error!("daemon: Signal handlers cannot be installed: {error}");
        return ExitCode::FAILURE;
    }
    daemon.shut_down();
    ExitCode::SUCCESS
}

/// Waits for SIGTERM or SIGINT.
fn wait_for_signal() -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        let mut interrupt = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}
