//! Policy measurements of `request`: six entry VMs in three zones over two regions share 50 targets.

mod simulation;
mod vm;
mod world;

use bronzespoke_request::router;

use crate::measure::{self, Bound, Row};

use simulation::{Outcome, Policy, Scenario};

const GOODPUT: &str = "design 1.8";
const TRUTH: &str = "design 1.8, I6, I7";
const DEPARTING: &str = "design 1.2, I8";
/// Share of capacity that has to be useful answers.
const GOODPUT_MIN: f64 = 0.95;
/// Longest time in which a departing target may get new work, in seconds.
const DEPARTING_MAX: f64 = 3.0;
/// Parts of a zone's callers at the first of its two VMs.
const EVEN: f64 = 0.6;
const UNEVEN: f64 = 0.95;
/// Simulated seconds that are measured.
const WINDOW_SHORT: f64 = 6.0;
const WINDOW_LONG: f64 = 40.0;

/// Returns the rows of this part.
pub fn rows(seed: u64, length: measure::Length) -> Vec<Row> {
    let window = match length {
        measure::Length::Short => WINDOW_SHORT,
        measure::Length::Long => WINDOW_LONG,
    };
    // Scenarios share nothing, so running some at the same time changes no figure.
    std::thread::scope(|scope| {
        let sharing = scope.spawn(move || sharing_rows(seed, window));
        let mut rows = Vec::new();
        for (overload, slow, cut) in scenarios() {
            let scenario = Scenario {
                seed,
                overload,
                slow,
                cut,
                first_vm: EVEN,
                window,
            };
            rows.extend(scenario_rows(&scenario));
        }
        rows.extend(sharing.join().expect("a scenario does not panic"));
        rows
    })
}

/// Measures the decisions beside plain round robin on the same seed.
fn scenario_rows(scenario: &Scenario) -> Vec<Row> {
    let cut = if scenario.cut { ".cut" } else { "" };
    let label = format!("x{}.slow{:.0}{cut}", scenario.overload, scenario.slow * 100.0);
    let mut rows = Vec::new();
    std::thread::scope(|scope| {
        let plain = scope.spawn(|| simulation::run(scenario, Policy::RoundRobin));
        let ours = simulation::run(scenario, Policy::Decided(router::LoadSource::default()));
        bounded_rows(&mut rows, &label, &ours);
        plain_rows(
            &mut rows,
            &label,
            &plain.join().expect("a scenario does not panic"),
        );
    });
    rows
}

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

fn bounded_rows(rows: &mut Vec<Row>, label: &str, outcome: &Outcome) {
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
        Bound::AtLeast(GOODPUT_MIN),
        GOODPUT,
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
        TRUTH,
    );
    push(
        "wrong_not_run",
        outcome.wrong_not_run,
        "answers",
        Bound::AtMost(0.0),
        TRUTH,
    );
    push(
        "departing",
        outcome.departing,
        "s",
        Bound::AtMost(DEPARTING_MAX),
        DEPARTING,
    );
}

fn plain_rows(rows: &mut Vec<Row>, label: &str, outcome: &Outcome) {
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

/// Compares the ways to share slots between VMs where they differ most.
fn sharing_rows(seed: u64, window: f64) -> Vec<Row> {
    let mut rows = Vec::new();
    let ways = [
        ("lent", router::LoadSource::Reserved),
        ("reported", router::LoadSource::Gossip),
        ("probed", router::LoadSource::Response),
    ];
    let cases = [
        (1.0, 0.0, EVEN),
        (1.0, 0.0, UNEVEN),
        (1.0, 0.3, EVEN),
        (2.0, 0.3, EVEN),
        (10.0, 0.3, EVEN),
    ];
    for (overload, slow, first_vm) in cases {
        for (name, sharing) in ways {
            let scenario = Scenario {
                seed,
                overload,
                slow,
                cut: false,
                first_vm,
                window,
            };
            let outcome = simulation::run(&scenario, Policy::Decided(sharing));
            let uneven = if first_vm > EVEN { ".uneven" } else { "" };
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
