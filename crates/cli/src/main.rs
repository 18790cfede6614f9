//! Entry point of the `bronzespoke` binary.

use std::{
    env,
    io::{self, IsTerminal},
    process::ExitCode,
    time::SystemTime,
};

use bronzespoke_cli::{demo, failure, logging, report, session, settings, shell, timeline};

fn main() -> ExitCode {
    let arguments = env::args_os().skip(1).collect::<Vec<_>>();
    if arguments.first().is_some_and(|argument| argument == "demo") {
        return demo::run(&arguments[1..]);
    }
    let environment = |name: &str| env::var(name).ok();
    let result = settings::read(arguments, &environment, wall_micros()).and_then(run);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(),
    }
}

fn run(settings: settings::Settings) -> Result<(), failure::Failure> {
    logging::start(settings.log)?;
    let session = session::Session::new(settings.addresses, settings.timeout);
    match settings.action {
        settings::Action::Help => {
            print!("{}", settings::help::TEXT);
            Ok(())
        }
        settings::Action::Version => {
            println!("bronzespoke {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        settings::Action::Statement { line, command_id } => {
            shell::Shell::new(runtime()?, session, settings.json).execute(&line, command_id)
        }
        settings::Action::Statements => {
            let mut shell = shell::Shell::new(runtime()?, session, settings.json);
            if io::stdin().is_terminal() {
                shell.run_prompt()
            } else {
                shell.run_script(io::stdin().lock())
            }
        }
        settings::Action::Timeline(filter) => timeline::run(&runtime()?, session, &filter, settings.json),
        settings::Action::Report { input, output } => report::run(&input, output.as_deref()),
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, failure::Failure> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| failure::Failure::refused(format!("runtime: {error}")))
}

fn wall_micros() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_micros() as u64)
}
