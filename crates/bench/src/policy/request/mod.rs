//! Policy measurements of `request`: six entry VMs in three zones of two regions send requests to 50 shared targets.

mod simulation;
mod vm;
mod world;

use bronzespoke_request::router;

use crate::measure::{self, Bound, Row};

use simulation::{Outcome, Policy, Scenario};

const GOODPUT_SOURCE: &str = "design 1.8";
const RUN_STATE_SOURCE: &str = "design 1.8, I6, I7";
const DEPARTING_SOURCE: &str = "design 1.2, I8";
/// Minimum share of the targets' capacity that goes into successful responses.
const MIN_GOODPUT: f64 = 0.95;
/// Seconds after its departure in which a target may still receive new attempts.
const MAX_DEPARTING_SECONDS: f64 = 3.0;
/// Fractions of a zone's callers that are sent to the first of the zone's two VMs.
const EVEN_SPLIT: f64 = 0.6;
const UNEVEN_SPLIT: f64 = 0.95;
/// Measured seconds of simulated time.
const SHORT_WINDOW: f64 = 6.0;
const LONG_WINDOW: f64 = 40.0;

/// Runs the scenarios of `request` and returns their rows.
pub fn rows(seed: u64, length: measure::Length) -> Vec<Row> {
    let window = match length {
        measure::Length::Short => SHORT_WINDOW,
        measure::Length::Long => LONG_WINDOW,
    };
    // Scenarios share no state, so the values do not depend on which of them run in parallel.
    std::thread::scope(|scope| {
        let comparison = scope.spawn(move || load_source_rows(seed, window));
        let mut rows = Vec::new();
        for (overload, slow, cut) in scenarios() {
            let scenario = Scenario {
                seed,
                overload,
                slow,
                cut,
                first_vm: EVEN_SPLIT,
                window,
            };
            rows.extend(scenario_rows(&scenario));
        }
        rows.extend(comparison.join().expect("a scenario does not panic"));
        rows
    })
}

/// Runs one scenario with the production policy and with the round-robin baseline, from the same seed.
fn scenario_rows(scenario: &Scenario) -> Vec<Row> {
    let cut = if scenario.cut { ".cut" } else { "" };
    let label = format!("x{}.slow{:.0}{cut}", scenario.overload, scenario.slow * 100.0);
    let mut rows = Vec::new();
    std::thread::scope(|scope| {
        let baseline = scope.spawn(|| simulation::run(scenario, Policy::RoundRobin));
        let production = simulation::run(scenario, Policy::Production(router::LoadSource::default()));
        production_rows(&mut rows, &label, &production);
        baseline_rows(
            &mut rows,
            &label,
            &baseline.join().expect("a scenario does not panic"),
        );
    });
    rows
}

/// Returns the scenarios as overload factor, share of slow targets, and whether a zone is cut off.
fn scenarios() -> Vec<(f64, f64, bool)> {
    let mut list = Vec::new();
    for overload in [1.0, 2.0, 10.0] {
        for slow in [0.0, 0.1, 0.3] {
            list.push((overload, slow, false));
        }
        list.push((overload, 0.0, true));
    }
    list
}

fn production_rows(rows: &mut Vec<Row>, label: &str, outcome: &Outcome) {
    let mut push = |name: &str, value: f64, unit, bound, source| {
        rows.push(Row::new(
            format!("request.{name}.{label}"),
            value,
            unit,
            bound,
            source,
        ));
    };
    push(
        "goodput",
        outcome.goodput,
        "share",
        Bound::AtLeast(MIN_GOODPUT),
        GOODPUT_SOURCE,
    );
    push("wait_p50", outcome.wait[0], "ms", Bound::None, "design 1.3");
    push("wait_p95", outcome.wait[1], "ms", Bound::None, "design 1.3");
    push("wait_p99", outcome.wait[2], "ms", Bound::None, "design 1.3");
    push(
        "extra_attempts",
        outcome.extra,
        "per cent",
        Bound::None,
        "design 1.3",
    );
    push("remote", outcome.remote_kib, "KiB/s", Bound::None, "design 1.6");
    push(
        "share_error",
        outcome.share_error,
        "share",
        Bound::None,
        "design 1.3",
    );
    push(
        "duplicates",
        outcome.duplicates,
        "runs",
        Bound::AtMost(0.0),
        RUN_STATE_SOURCE,
    );
    push(
        "wrong_not_run",
        outcome.wrong_not_run,
        "answers",
        Bound::AtMost(0.0),
        RUN_STATE_SOURCE,
    );
    push(
        "departing",
        outcome.departing,
        "s",
        Bound::AtMost(MAX_DEPARTING_SECONDS),
        DEPARTING_SOURCE,
    );
}

fn baseline_rows(rows: &mut Vec<Row>, label: &str, outcome: &Outcome) {
    let mut push = |name: &str, value: f64, unit| {
        let name = format!("request.plain.{name}.{label}");
        rows.push(Row::new(name, value, unit, Bound::None, "round robin"));
    };
    push("goodput", outcome.goodput, "share");
    push("wait_p99", outcome.wait[2], "ms");
    push("extra_attempts", outcome.extra, "per cent");
    push("remote", outcome.remote_kib, "KiB/s");
    push("duplicates", outcome.duplicates, "runs");
}

/// Compares the sources of a target's load in the scenarios in which their results differ most.
fn load_source_rows(seed: u64, window: f64) -> Vec<Row> {
    let mut rows = Vec::new();
    let sources = [
        ("lent", router::LoadSource::Reserved),
        ("reported", router::LoadSource::Gossip),
        ("probed", router::LoadSource::Response),
    ];
    let cases = [
        (1.0, 0.0, EVEN_SPLIT),
        (1.0, 0.0, UNEVEN_SPLIT),
        (1.0, 0.3, EVEN_SPLIT),
        (2.0, 0.3, EVEN_SPLIT),
        (10.0, 0.3, EVEN_SPLIT),
    ];
    for (overload, slow, first_vm) in cases {
        for (name, load_source) in sources {
            let scenario = Scenario {
                seed,
                overload,
                slow,
                cut: false,
                first_vm,
                window,
            };
            let outcome = simulation::run(&scenario, Policy::Production(load_source));
            let uneven = if first_vm > EVEN_SPLIT { ".uneven" } else { "" };
            let label = format!("x{overload}.slow{:.0}{uneven}", slow * 100.0);
            let mut push = |measure: &str, value, unit| {
                let name = format!("request.sharing.{name}.{measure}.{label}");
                rows.push(Row::new(name, value, unit, Bound::None, "docs/decisions/0003"));
            };
            push("goodput", outcome.goodput, "share");
            push("wait_p99", outcome.wait[2], "ms");
        }
    }
    rows
}
