//! Batching of commands into log entries: entries per second, and the maximum wait of a command.

use std::time::Duration;

use bronzespoke_control::{batch, envelope};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{NOW_MS, STARTS_PER_SECOND};
use crate::measure::{Bound, Row};

/// Batches the starts and ends of one minute at peak load into entries, with an average of one command per second for
/// urgent work. Returns the entries per second, and the maximum waits of routine and urgent commands in milliseconds.
fn simulate(seed: u64, routine: batch::Urgency) -> (f64, [f64; 2]) {
    const SECONDS: u64 = 60;
    let mut random = SmallRng::seed_from_u64(seed);
    let mut batch = batch::Batch::default();
    let (mut entries, mut waits) = (0, [0.0, 0.0]);
    let end = Duration::from_secs(SECONDS);
    let mut now = Duration::ZERO;
    while now < end {
        let gap = -random.random::<f64>().max(f64::MIN_POSITIVE).ln() / (2.0 * STARTS_PER_SECOND as f64);
        now += Duration::from_secs_f64(gap);
        while let Some(due) = batch.due().filter(|due| *due <= now) {
            entries += 1;
            for (kind, since) in batch.take(due).1 {
                let wait = due.saturating_sub(since);
                waits[kind] = f64::max(waits[kind], wait.as_secs_f64() * 1000.0);
            }
        }
        let urgent = random.random::<f64>() < 0.5 / STARTS_PER_SECOND as f64;
        let urgency = if urgent { batch::Urgency::Prompt } else { routine };
        let command = envelope::Envelope::new(NOW_MS, ());
        batch.push(now, command, (usize::from(urgent), now), urgency);
    }
    (f64::from(entries) / SECONDS as f64, waits)
}

/// Adds the rows of command batching at peak load.
pub(super) fn add_rows(seed: u64, rows: &mut Vec<Row>) {
    let (unbatched, _) = simulate(seed, batch::Urgency::Prompt);
    let (batched, [routine, urgent]) = simulate(seed, batch::Urgency::Routine);
    let prompt = batch::PROMPT_DELAY.as_secs_f64() * 1000.0;
    let max_routine = batch::ROUTINE_DELAY.as_secs_f64() * 1000.0;
    let source = "ten batches a second and one urgent command";
    let entries = "control.log_entries_per_second_at_peak";
    let waits = "control.command_wait_ms_at_peak";
    rows.push(Row::new(
        format!("{entries}.all_prompt"),
        unbatched,
        "1/s",
        Bound::None,
        source,
    ));
    rows.push(Row::new(
        format!("{entries}.collected"),
        batched,
        "1/s",
        Bound::AtMost(12.0),
        source,
    ));
    let source = "2 ms for urgent work, 100 ms for the rest";
    rows.push(Row::new(
        format!("{waits}.longest_routine"),
        routine,
        "ms",
        Bound::AtMost(max_routine),
        source,
    ));
    rows.push(Row::new(
        format!("{waits}.longest_urgent"),
        urgent,
        "ms",
        Bound::AtMost(prompt),
        source,
    ));
}
