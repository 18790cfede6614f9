//! Evacuations of availability zones in long runs in simulated time, with faults.

#[allow(dead_code, reason = "this test program uses a part of the module")]
mod common;

use std::time::Duration;

use bronzespoke_standin::fleet::simulation::{Faults, Plan, Simulation};
use yare::parameterized;

/// Time to complete the remaining work after the last submission.
const DRAIN: Duration = Duration::from_mins(1);

/// Guards against tasks that start in an evacuated zone, run twice or are lost when starts are under way while the order is
/// recorded or the leader changes.
#[parameterized(
    alone = { Faults::default() },
    leader_changes = { Faults { leader_changes: 0.2, ..Faults::default() } },
    late_directives = { Faults { late_directives: 0.05, ..Faults::default() } },
    lost_answers = { Faults { lost_answers: 0.05, crashes: 0.3, ..Faults::default() } },
    restarts = { Faults { restarts: 1.0, reuse_names: true, ..Faults::default() } },
)]
fn nothing_starts_in_an_evacuated_zone(faults: Faults) {
    for seed in 0..4 {
        let plan = Plan {
            faults: Faults {
                evacuations: 0.3,
                ..faults
            },
            ..common::calm(700 + seed)
        };
        let report = Simulation::new(plan).run(DRAIN);
        let first = &report.violations[..report.violations.len().min(5)];
        assert!(first.is_empty(), "seed {seed}: {first:#?}");
        assert!(
            report.unfinished.is_empty(),
            "seed {seed}: {:x?}",
            report.unfinished
        );
        assert!(report.starts > 0, "seed {seed}");
    }
}
