//! Load patterns that the tests simulate.

use std::time::Duration;

use bronzespoke_model::resource;
use bronzespoke_standin::fleet::{load, simulation};
use bronzespoke_workload::catalog;

/// Kinds of requests like those of the first deployments: gangs of large tasks, wide steps, and short urgent checks.
pub fn kinds(scale: f64) -> Vec<load::Kind> {
    let reconciliation = load::Kind {
        queue: catalog::Queue {
            advice: Some(advice(310.0, 4.4)),
            ..load::queue("reconciliation", 1, Duration::from_millis(1_200), 2.2, 3)
        },
        rate: 1.81 * scale,
        tasks: 8.0,
        max_tasks: 48,
        size: resource::Amount::new(18_000, 26_000, 0),
        run_time: Duration::from_secs(4),
        gang: true,
        two_step_share: 0.2,
        eligible_share: 0.35,
        value: 8.77,
        failing_share: 0.03,
    };
    let audit = load::Kind {
        queue: catalog::Queue {
            advice: Some(advice(62.0, 0.88)),
            ..load::queue("audit", 2, Duration::from_secs(3), 4.0, 4)
        },
        rate: 4.35 * scale,
        tasks: 10.0,
        max_tasks: 60,
        size: resource::Amount::new(3_900, 4_000, 0),
        run_time: Duration::from_millis(3_400),
        gang: false,
        two_step_share: 0.5,
        eligible_share: 0.45,
        value: 2.27,
        failing_share: 0.01,
    };
    let check = load::Kind {
        queue: catalog::Queue {
            advice: Some(advice(8.7, 0.12)),
            ..load::queue("check", 0, Duration::from_millis(400), 1.5, 2)
        },
        rate: 30.8 * scale,
        tasks: 2.0,
        max_tasks: 12,
        size: resource::Amount::new(5_600, 10_000, 0),
        run_time: Duration::from_secs(1),
        gang: false,
        two_step_share: 0.0,
        eligible_share: 0.7,
        value: 0.45,
        failing_share: 0.01,
    };
    vec![reconciliation, audit, check]
}

fn advice(decision: f64, per_worker: f64) -> catalog::QueryCost {
    catalog::QueryCost {
        decision: Duration::from_secs_f64(decision / 1_000.0),
        per_worker: Duration::from_secs_f64(per_worker / 1_000.0),
        valid: Duration::from_millis(2_500),
    }
}

/// The first deployment without faults or bursts.
pub fn calm(seed: u64) -> simulation::Plan {
    let limit = resource::Amount::new(1_700_000, 0, 0);
    simulation::Plan {
        seed,
        workers: 48,
        capacity: resource::Amount::new(64_000, 131_072, 0),
        proxies: 9,
        kinds: kinds(1.0),
        teams: (0..6).map(|team| (format!("team-{team}"), limit)).collect(),
        duration: Duration::from_secs(20),
        bursts: Vec::new(),
        faults: simulation::Faults::default(),
        variation: simulation::Variation::default(),
        costs: None,
        trace: None,
    }
}
