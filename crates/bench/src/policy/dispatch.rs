//! Policy measurements of `dispatch`: how much a scheduling pass looks at.

use bronzespoke_standin::fleet::full;

use crate::measure::{Bound, Length, Row};

/// Workers that a waiting step looks at in one pass at most: as many as two queries name.
const WORKERS_BOUND: Bound = Bound::AtMost(120.0);
const SOURCE: &str = "issue 23, not workers x waiting";

/// Runs the measurements of `dispatch` and returns their rows. They are exact counts and need no seed.
pub fn rows(length: Length) -> Vec<Row> {
    let sizes: &[(u16, u64)] = match length {
        Length::Short => &[(350, 50), (1_100, 50), (1_100, 1_500)],
        Length::Long => &[
            (350, 50),
            (350, 1_500),
            (1_100, 50),
            (1_100, 1_500),
            (2_800, 50),
            (2_800, 1_500),
        ],
    };
    let mut rows = Vec::new();
    for (workers, waiting) in sizes {
        let work = full::Fleet::with_backlog(*workers, *waiting, true).work_in_a_second();
        let name = format!("dispatch.pass.workers_per_step.{workers}_workers_{waiting}_waiting");
        let value = work.workers as f64 / work.steps.max(1) as f64;
        rows.push(Row::new(name, value, "workers", WORKERS_BOUND, SOURCE));
    }
    rows
}
