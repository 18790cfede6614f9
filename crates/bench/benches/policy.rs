//! Runs the policy measurements, prints their table, and fails when a value violates its bound.
//!
//! Flags: `--short` for the short run of CI, `--seed N`, `--json` for machine-readable output.

use std::process::ExitCode;

use bronzespoke_bench::{measure, policy};

const DEFAULT_SEED: u64 = 20_261_204;

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    let short = arguments.contains("--short");
    let json = arguments.contains("--json");
    let seed = match arguments.opt_value_from_str("--seed") {
        Ok(seed) => seed.unwrap_or(DEFAULT_SEED),
        Err(error) => {
            eprintln!("--seed: {error}; a whole number is allowed");
            return ExitCode::from(2);
        }
    };
    let length = if short {
        measure::Length::Short
    } else {
        measure::Length::Long
    };
    let rows = policy::rows(seed, length);
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&rows).expect("rows are plain data")
        );
    } else {
        print_table(&rows, seed);
    }
    let broken = rows.iter().filter(|row| !row.holds()).count();
    if broken > 0 {
        eprintln!("policy: {broken} bounds are broken");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn print_table(rows: &[measure::Row], seed: u64) {
    println!("policy measurements, seed {seed}");
    println!(
        "{:<52} {:>14} {:<10} {:>14} {:<28} verdict",
        "measure", "value", "unit", "bound", "source"
    );
    for row in rows {
        let bound = match row.bound {
            measure::Bound::None => String::from("-"),
            measure::Bound::AtMost(limit) => format!("<= {limit}"),
            measure::Bound::AtLeast(limit) => format!(">= {limit}"),
        };
        let verdict = if row.holds() { "ok" } else { "BROKEN" };
        println!(
            "{:<52} {:>14.4} {:<10} {:>14} {:<28} {verdict}",
            row.name, row.value, row.unit, bound, row.source
        );
    }
}
