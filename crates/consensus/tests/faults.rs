//! Random faults over many seeds.
//!
//! For a longer run, use `BRONZESPOKE_SEEDS=10000 cargo test --release -p bronzespoke-consensus --test faults`;
//! `BRONZESPOKE_FIRST_SEED` sets the first seed.

mod driver;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use bronzespoke_consensus::rules::Rules;
use driver::plan;

const SEEDS: u64 = 320;
const THREADS: usize = 4;

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Guards against any order of message losses, delays, crashes, pauses, disk faults and membership changes that
/// violates an invariant, and against groups that do not recover after the faults end.
#[test]
fn random_faults_break_no_invariant() {
    let first = number("BRONZESPOKE_FIRST_SEED", 0);
    let seeds = number("BRONZESPOKE_SEEDS", SEEDS);
    let next = AtomicU64::new(first);
    let faults = Mutex::new(Vec::new());
    let totals = Mutex::new((0, 0, 0));
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + seeds {
                        return;
                    }
                    let outcome = plan::run(seed, Rules::default());
                    let mut totals = totals.lock().expect("no thread panics");
                    totals.0 += outcome.committed;
                    totals.1 += outcome.steps;
                    totals.2 += outcome.terms;
                    drop(totals);
                    if outcome.violation.is_some() || outcome.stalled {
                        faults.lock().expect("no thread panics").push((seed, outcome));
                    }
                }
            });
        }
    });
    let totals = totals.into_inner().expect("no thread panics");
    println!(
        "{seeds} seeds from {first}: {} commits, {} steps, {} terms",
        totals.0, totals.1, totals.2
    );
    let mut faults = faults.into_inner().expect("no thread panics");
    faults.sort_by_key(|(seed, _)| *seed);
    let shown = &faults[..faults.len().min(12)];
    assert!(faults.is_empty(), "{} seeds failed: {shown:#?}", faults.len());
}
