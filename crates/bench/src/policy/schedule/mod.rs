//! Policy measurements of `schedule`: one workload under the scheduler and under two baselines, first fit without
//! fairness and one queue per team, from the same seed in simulated time.

mod baseline;
mod simulation;
mod work;

use crate::measure::{Bound, Length, Row};

/// Runs the workload on each fleet under each driver and returns the rows.
pub fn rows(seed: u64, length: Length) -> Vec<Row> {
    let mut rows = Vec::new();
    let mut fleets = vec![work::CURRENT_ZONE, work::TARGET_ZONE];
    if length == Length::Long {
        fleets.push(work::TARGET_FLEET);
    }
    for fleet in fleets {
        let plan = work::plan(seed, &fleet);
        for driver in simulation::DRIVERS {
            let result = simulation::run(seed, &fleet, &plan, driver);
            add_rows(&mut rows, fleet.name, driver, &result);
        }
    }
    rows
}

fn add_rows(rows: &mut Vec<Row>, fleet: &str, driver: simulation::Driver, result: &simulation::Outcome) {
    let is_scheduler = driver == simulation::Driver::Scheduler;
    let mut add = |measure: &str, value: f64, unit: &'static str, bound: Bound, source: &'static str| {
        let bound = if is_scheduler { bound } else { Bound::None };
        let name = format!("schedule.{fleet}.{measure}.{}", driver.name());
        rows.push(Row::new(name, value, unit, bound, source));
    };
    for (kind, waits) in &result.waits {
        for (name, quantile) in [("median", 0.5), ("p95", 0.95), ("p99", 0.99)] {
            add(
                &format!("wait.{kind}.{name}"),
                simulation::quantile(waits, quantile),
                "s",
                Bound::None,
                "brief",
            );
        }
    }
    let urgent = result
        .waits
        .get("urgent")
        .map_or(0.0, |waits| simulation::quantile(waits, 1.0));
    add("urgent.largest", urgent, "s", Bound::AtMost(1.6), "design 1.7");
    for (name, value) in ["processors", "memory", "accelerators"]
        .iter()
        .zip(result.packing)
    {
        add(&format!("packing.{name}"), value, "share", Bound::None, "brief");
    }
    add(
        "share.distance",
        result.share_deficit,
        "share",
        Bound::None,
        "brief",
    );
    add("stopped", result.preempted as f64, "tasks", Bound::None, "brief");
    add("lost", result.lost_core_seconds, "core-s", Bound::None, "brief");
    add(
        "unstarted",
        result.unstarted as f64,
        "tasks",
        Bound::None,
        "brief",
    );
    add("decisions", result.decisions, "per start", Bound::None, "brief");
    add(
        "overfilled",
        result.overfilled as f64,
        "workers",
        Bound::AtMost(0.0),
        "design 1.2, I1",
    );
}
