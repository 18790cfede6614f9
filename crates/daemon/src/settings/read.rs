//! Reads settings from flags, then from the environment.

use std::{ffi::OsString, fmt::Write as _, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use bronzespoke_model::vm;

use crate::settings::{
    DEFAULT_DRAIN_NOTICE, DEFAULT_TRAFFIC_THREADS, Error, MAX_PLACE, MAX_SEEDS, Request, Settings,
};

struct Definition {
    flag: &'static str,
    variable: &'static str,
    value: &'static str,
    help: &'static str,
}

const fn define(
    flag: &'static str,
    variable: &'static str,
    value: &'static str,
    help: &'static str,
) -> Definition {
    Definition {
        flag,
        variable,
        value,
        help,
    }
}

const NAME: Definition = define(
    "--name",
    "BRONZESPOKE_NAME",
    "NAME",
    "name of this VM, unique in the cell (required)",
);
const REGION: Definition = define(
    "--region",
    "BRONZESPOKE_REGION",
    "NUMBER",
    "region of this VM, 1 to 9999 (required)",
);
const ZONE: Definition = define(
    "--zone",
    "BRONZESPOKE_ZONE",
    "NUMBER",
    "availability zone of this VM, unique in the cell, 1 to 9999 (required)",
);
const PEER: Definition = define(
    "--peer",
    "BRONZESPOKE_PEER",
    "IP:PORT",
    "address for frames between daemons (required)",
);
const HTTP: Definition = define(
    "--http",
    "BRONZESPOKE_HTTP",
    "IP:PORT",
    "address for callers, targets and workers (required)",
);
const RPC: Definition = define(
    "--rpc",
    "BRONZESPOKE_RPC",
    "IP:PORT",
    "address for operators, by JSON-RPC (required)",
);
const SEEDS: Definition = define(
    "--seeds",
    "BRONZESPOKE_SEEDS",
    "IP:PORT,…",
    "peer addresses of other daemons of the cell; empty for a cell of one",
);
const DATA: Definition = define(
    "--data",
    "BRONZESPOKE_DATA",
    "FOLDER",
    "folder for durable state; without it this VM keeps nothing over a restart",
);
const FOUND: Definition = define(
    "--found",
    "BRONZESPOKE_FOUND",
    "",
    "found the cell when no seed knows one; set it on exactly one VM with a data folder",
);
const RANDOM_SEED: Definition = define(
    "--random-seed",
    "BRONZESPOKE_RANDOM_SEED",
    "NUMBER",
    "seed of random choices, for repeatable tests; drawn by default",
);
const TRAFFIC_THREADS: Definition = define(
    "--traffic-threads",
    "BRONZESPOKE_TRAFFIC_THREADS",
    "NUMBER",
    "traffic threads, 1 to 64; default 2",
);
const DRAIN_NOTICE: Definition = define(
    "--drain-notice",
    "BRONZESPOKE_DRAIN_NOTICE",
    "DURATION",
    "time to keep accepting after readiness turned off, 0s to 60s; default 5s",
);
const LOG_LEVEL: Definition = define(
    "--log-level",
    "BRONZESPOKE_LOG_LEVEL",
    "LEVEL",
    "off, error, warn, info, debug or trace; default info",
);

const DEFINITIONS: [&Definition; 13] = [
    &NAME,
    &REGION,
    &ZONE,
    &PEER,
    &HTTP,
    &RPC,
    &SEEDS,
    &DATA,
    &FOUND,
    &RANDOM_SEED,
    &TRAFFIC_THREADS,
    &DRAIN_NOTICE,
    &LOG_LEVEL,
];

const PLACE_RANGE: &str = "a whole number from 1 to 9999";
const ADDRESS_FORM: &str = "an IP address and a port, such as 10.0.0.1:7100";

struct Reader<'a> {
    arguments: pico_args::Arguments,
    environment: &'a dyn Fn(&str) -> Option<String>,
    errors: Vec<Error>,
}

impl Reader<'_> {
    fn reject(&mut self, definition: &Definition, value: &str, allowed: &str) {
        self.errors.push(Error {
            setting: String::from(definition.flag),
            value: String::from(value),
            allowed: String::from(allowed),
        });
    }

    fn text(&mut self, definition: &Definition) -> Option<String> {
        match self.arguments.opt_value_from_str::<_, String>(definition.flag) {
            Ok(Some(value)) => Some(value),
            Ok(None) => (self.environment)(definition.variable).filter(|value| !value.is_empty()),
            Err(_) => {
                self.reject(definition, "", definition.help);
                None
            }
        }
    }

    fn value<T: FromStr>(&mut self, definition: &Definition, allowed: &str) -> Option<T> {
        let text = self.text(definition)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.reject(definition, &text, allowed);
        }
        parsed
    }

    fn required<T: FromStr>(&mut self, definition: &Definition, allowed: &str) -> Option<T> {
        let errors = self.errors.len();
        let value = self.value(definition, allowed);
        if value.is_none() && self.errors.len() == errors {
            self.reject(definition, "", allowed);
        }
        value
    }

    fn place(&mut self, definition: &Definition) -> u16 {
        let number = self.required::<u16>(definition, PLACE_RANGE).unwrap_or(1);
        if !(1..=MAX_PLACE).contains(&number) {
            self.reject(definition, &number.to_string(), PLACE_RANGE);
        }
        number
    }

    fn address(&mut self, definition: &Definition) -> SocketAddr {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        self.required(definition, ADDRESS_FORM).unwrap_or(unspecified)
    }

    fn seeds(&mut self) -> Vec<SocketAddr> {
        let text = self.text(&SEEDS).unwrap_or_default();
        let mut seeds = Vec::new();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            match part.parse() {
                Ok(address) => seeds.push(address),
                Err(_) => self.reject(&SEEDS, part, ADDRESS_FORM),
            }
        }
        if seeds.len() > MAX_SEEDS {
            self.reject(&SEEDS, &text, "at most 64 addresses");
        }
        seeds
    }

    fn name(&mut self) -> String {
        let allowed = "1 to 63 letters, digits, dots and hyphens";
        let name = self.required::<String>(&NAME, allowed).unwrap_or_default();
        let legal = |character: char| character.is_ascii_alphanumeric() || ".-".contains(character);
        let fits = name.len() <= 63 && name.chars().all(legal);
        if !fits {
            self.reject(&NAME, &name, allowed);
        }
        name
    }

    fn flag(&mut self, definition: &Definition) -> bool {
        if self.arguments.contains(definition.flag) {
            return true;
        }
        let Some(text) = (self.environment)(definition.variable).filter(|value| !value.is_empty()) else {
            return false;
        };
        match text.as_str() {
            "1" | "true" => true,
            "0" | "false" => false,
            other => {
                self.reject(definition, other, "true or false");
                false
            }
        }
    }

    fn traffic_threads(&mut self) -> usize {
        let allowed = "a whole number from 1 to 64";
        let threads = self
            .value(&TRAFFIC_THREADS, allowed)
            .unwrap_or(DEFAULT_TRAFFIC_THREADS);
        if !(1..=64).contains(&threads) {
            self.reject(&TRAFFIC_THREADS, &threads.to_string(), allowed);
        }
        threads
    }

    fn drain_notice(&mut self) -> Duration {
        let allowed = "a duration from 0s to 60s, such as 5s";
        let Some(text) = self.text(&DRAIN_NOTICE) else {
            return DEFAULT_DRAIN_NOTICE;
        };
        match humantime::parse_duration(&text) {
            Ok(duration) if duration <= Duration::from_mins(1) => duration,
            _ => {
                self.reject(&DRAIN_NOTICE, &text, allowed);
                DEFAULT_DRAIN_NOTICE
            }
        }
    }
}

/// Reads and checks the settings; see [`crate::settings::read`].
pub fn read(
    arguments: Vec<OsString>,
    environment: &dyn Fn(&str) -> Option<String>,
) -> Result<Request, Vec<Error>> {
    let mut arguments = pico_args::Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        return Ok(Request::Help);
    }
    if arguments.contains(["-V", "--version"]) {
        return Ok(Request::Version);
    }
    let check = arguments.contains("--check");
    let mut reader = Reader {
        arguments,
        environment,
        errors: Vec::new(),
    };
    let settings = Settings {
        name: reader.name(),
        place: vm::Place {
            region: reader.place(&REGION),
            zone: reader.place(&ZONE),
        },
        peer: reader.address(&PEER),
        http: reader.address(&HTTP),
        rpc: reader.address(&RPC),
        seeds: reader.seeds(),
        data: reader.value::<PathBuf>(&DATA, "a path"),
        found: reader.flag(&FOUND),
        random_seed: reader
            .value(&RANDOM_SEED, "a whole number")
            .unwrap_or_else(rand::random),
        traffic_threads: reader.traffic_threads(),
        drain_notice: reader.drain_notice(),
        log_level: reader
            .value(&LOG_LEVEL, LOG_LEVEL.help)
            .unwrap_or(log::LevelFilter::Info),
    };
    if settings.found && settings.data.is_none() {
        reader.reject(&FOUND, "true", "this flag only together with --data");
    }
    for rest in reader.arguments.finish() {
        let flag = rest.to_string_lossy().into_owned();
        reader.errors.push(Error {
            setting: flag.clone(),
            value: flag,
            allowed: String::from("a flag that --help lists"),
        });
    }
    if !reader.errors.is_empty() {
        return Err(reader.errors);
    }
    let settings = Box::new(settings);
    Ok(if check {
        Request::Check(settings)
    } else {
        Request::Run(settings)
    })
}

/// Returns the help text.
pub fn help() -> String {
    let mut text = String::from(
        "bronzespoked: the bronzespoke daemon, one on each entry VM\n\nUsage: bronzespoked [FLAGS]\n\nFlags, each with its environment variable:\n",
    );
    for definition in DEFINITIONS {
        let flag = format!("{} {}", definition.flag, definition.value);
        writeln!(
            text,
            "  {flag:<28} {}\n  {:<28} {}",
            definition.variable, "", definition.help
        )
        .expect("writing to a string does not fail");
    }
    text.push_str("  --check                      check the settings and stop\n");
    text.push_str("  --help                       print this text\n");
    text.push_str("  --version                    print the version\n");
    text
}
