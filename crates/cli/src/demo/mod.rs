//! Demo: runs a complete cell in one process, sends every kind of work over real sockets, injects failures, and checks
//! the guarantees of the scheduler.

pub mod cell;
pub mod counters;
mod fleet;
mod jobs;
mod partitions;
mod requests;
mod shares;
mod summary;

use std::{ffi::OsString, process::ExitCode, time::Duration};

use tokio_util::sync::CancellationToken;

/// Timeout for the cell to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for one operator command, including retries.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);
/// Exit status for invalid flags.
const USAGE_STATUS: u8 = 2;

/// State shared by the steps of the demo.
#[derive(Debug)]
struct Demo {
    cell: cell::Cell,
    fleet: fleet::Fleet,
    counters: counters::Counters,
    /// Key of the team `federations`, of weight 2.
    key: String,
    /// Key of the team `dojos`, of weight 1.
    second_key: String,
}

/// Runs the demo. The exit status is 0 only if all checks passed.
pub fn run(arguments: &[OsString]) -> ExitCode {
    let mut arguments = pico_args::Arguments::from_vec(arguments.to_vec());
    let seed = arguments.opt_value_from_str("--seed");
    let quiet = arguments.contains("--no-timeline");
    let level = arguments.opt_value_from_str::<_, log::LevelFilter>("--log-level");
    let rest = arguments.finish();
    let seed = match seed {
        Ok(seed) if rest.is_empty() => seed.unwrap_or(1_u64),
        Ok(_) => {
            return usage(&format!(
                "{} is not a flag of the demo",
                rest[0].to_string_lossy()
            ));
        }
        Err(error) => return usage(&format!("--seed: {error}; a whole number is allowed")),
    };
    match level {
        Ok(level) => bronzespoke_daemon::logging::start("demo", level.unwrap_or(log::LevelFilter::Error)),
        Err(error) => {
            return usage(&format!(
                "--log-level: {error}; off, error, warn, info, debug or trace is allowed"
            ));
        }
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("demo: {error}");
            return ExitCode::FAILURE;
        }
    };
    match start_and_run(&runtime, seed, quiet) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn usage(message: &str) -> ExitCode {
    eprintln!("demo: {message}; --seed NUMBER, --log-level LEVEL and --no-timeline are allowed");
    ExitCode::from(USAGE_STATUS)
}

fn start_and_run(runtime: &tokio::runtime::Runtime, seed: u64, quiet: bool) -> Result<bool, String> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    println!("Starting a cell: 2 regions, 3 availability zones, 6 entry VMs.");
    // Daemons own runtimes, which must be neither started nor dropped inside another runtime.
    let cell = cell::Cell::start(folder.path(), seed).map_err(|error| error.to_string())?;
    let cancel = CancellationToken::new();
    let fleet = fleet::Fleet::new(cancel.clone());
    let mut demo = Demo {
        cell,
        fleet,
        counters: counters::Counters::default(),
        key: String::new(),
        second_key: String::new(),
    };
    let result = run_steps(runtime, &mut demo);
    cancel.cancel();
    let holds = result.map(|()| summary::print(&demo, quiet));
    demo.cell.stop();
    holds
}

fn run_steps(runtime: &tokio::runtime::Runtime, demo: &mut Demo) -> Result<(), String> {
    runtime.block_on(async {
        demo.set_up().await?;
        demo.requests().await?;
        demo.jobs().await?;
        demo.measure_shares().await?;
        demo.withdraw_key().await?;
        demo.drain_target().await?;
        demo.change_configuration().await?;
        demo.partition_zone().await
    })?;
    demo.lose_vm(runtime)
}

impl Demo {
    async fn set_up(&mut self) -> Result<(), String> {
        let ready = cell::wait_until(START_TIMEOUT, || self.cell.is_ready()).await;
        let elapsed = ready.ok_or("the cell did not become ready")?;
        println!("The cell is ready after {} ms.", elapsed.as_millis());
        for line in [
            "create team federations weight=2 cpu=2000 memory=4000GiB accelerators=64 requests=2000",
            "create team dojos weight=1 cpu=2000 memory=4000GiB accelerators=64 requests=2000",
            "create service reconciliations",
            "create queue open-desk service=reconciliations requests=100",
        ] {
            self.cell.execute_until_accepted(0, line, COMMAND_TIMEOUT).await?;
        }
        self.key = self.grant_key("federations").await?;
        self.second_key = self.grant_key("dojos").await?;
        self.fleet.start(&self.cell).await?;
        let cell = &self.cell;
        let key = self.key.clone();
        requests::wait_until_serving(cell, &key).await
    }

    /// Grants a generated key and returns it.
    async fn grant_key(&self, team: &str) -> Result<String, String> {
        let line = format!("grant key to team {team}");
        let answer = self
            .cell
            .execute_until_accepted(0, &line, COMMAND_TIMEOUT)
            .await?;
        let bronzespoke_language::answer::Answer::Text(text) = answer else {
            return Err(String::from("a granted key was not shown"));
        };
        let word = text.text.split_whitespace().find(|word| word.len() > 40);
        word.map(|word| String::from(word.trim_end_matches('.')))
            .ok_or_else(|| text.text.clone())
    }
}
