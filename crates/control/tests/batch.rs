//! Batching of commands into log entries.

use std::time::Duration;

use bronzespoke_control::{
    batch::{Batch, MAX_COMMANDS, PROMPT_DELAY, ROUTINE_DELAY, Urgency},
    envelope,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{Rng, SeedableRng, rngs::SmallRng};

fn envelope(number: u64) -> envelope::Envelope<u64> {
    envelope::Envelope::new(0, number)
}

/// Takes the batch that is due at or before `until`; returns its due time and its commands.
fn propose(batch: &mut Batch<u64, u64>, until: Duration) -> Option<(Duration, Vec<u64>)> {
    let due = batch.due().filter(|due| *due <= until)?;
    let (commands, waiters) = batch.take(due);
    let numbers: Vec<u64> = commands.iter().map(|envelope| envelope.command).collect();
    assert_eq!(numbers, waiters);
    Some((due, numbers))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against commands that exceed their maximum delay, are reordered or are lost, at any mix of rates.
    #[test]
    fn no_command_waits_longer_than_its_urgency_allows(seed in any::<u64>()) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut batch = Batch::default();
        let mut pushed: Vec<(Duration, Urgency)> = Vec::new();
        let mut proposed = 0;
        let mut now = Duration::ZERO;
        for number in 0..2_000 {
            let mean = [50, 2_000, 50_000, 500_000][random.random_range(0..4)];
            now += Duration::from_micros(random.random_range(0..2 * mean));
            while let Some((at, numbers)) = propose(&mut batch, now) {
                for number in numbers {
                    prop_assert_eq!(number, proposed);
                    let (since, urgency) = pushed[number as usize];
                    let max = match urgency {
                        Urgency::Prompt => PROMPT_DELAY,
                        Urgency::Routine => ROUTINE_DELAY,
                    };
                    prop_assert!(at.saturating_sub(since) <= max, "{:?} waits from {:?} to {:?}", urgency, since, at);
                    proposed += 1;
                }
            }
            let urgency = if random.random::<f64>() < 0.05 { Urgency::Prompt } else { Urgency::Routine };
            pushed.push((now, urgency));
            batch.push(now, envelope(number), number, urgency);
        }
        let rest = batch.take(now).0.len() as u64;
        prop_assert_eq!(proposed + rest, 2_000);
    }
}

/// Guards against an isolated command that is delayed as under load, including after a period of load.
#[test]
fn an_isolated_command_is_not_collected() {
    let mut batch = Batch::default();
    for millis in 0..2_000 {
        let now = Duration::from_millis(millis);
        batch.push(now, envelope(millis), millis, Urgency::Routine);
        propose(&mut batch, now);
    }
    let now = Duration::from_secs(3);
    batch.take(now);
    for number in 1..10 {
        let now = now + Duration::from_millis(300) * number as u32;
        batch.push(now, envelope(number), number, Urgency::Routine);
        assert_eq!(batch.due(), Some(now + PROMPT_DELAY));
        propose(&mut batch, now + PROMPT_DELAY).unwrap();
    }
}

/// Guards against one entry per start and end at peak load, which is 294 per second in a zone of the target size.
#[test]
fn routine_commands_at_peak_take_ten_entries_per_second() {
    let mut batch = Batch::default();
    let (mut now, mut batches) = (Duration::ZERO, 0);
    for number in 0..294 * 60 {
        now += Duration::from_micros(1_000_000 / 294);
        while propose(&mut batch, now).is_some() {
            batches += 1;
        }
        batch.push(now, envelope(number), number, Urgency::Routine);
    }
    // The first batches are proposed without collection.
    assert!(batches <= 10 * 60 + 10, "{batches} entries in 60 s");
}

/// Guards against a batch that grows without bound while routine commands wait.
#[test]
fn a_full_batch_is_due() {
    let mut batch = Batch::default();
    for number in 0..20 {
        batch.push(Duration::ZERO, envelope(number), number, Urgency::Routine);
        batch.take(Duration::ZERO);
    }
    for number in 0..MAX_COMMANDS as u64 {
        assert_ne!(batch.due(), Some(Duration::ZERO));
        batch.push(Duration::ZERO, envelope(number), number, Urgency::Routine);
    }
    assert_eq!(batch.due(), Some(Duration::ZERO));
}

/// Guards against commands that are proposed although their scheduler was replaced or their caller is gone.
#[test]
fn commands_without_a_waiter_can_be_dropped() {
    let mut batch = Batch::default();
    for number in 0..6 {
        batch.push(Duration::ZERO, envelope(number), number, Urgency::Prompt);
    }
    batch.retain(|waiter| waiter % 2 == 0);
    let (_, numbers) = propose(&mut batch, PROMPT_DELAY).unwrap();
    assert_eq!(numbers, [0, 2, 4]);
    batch.push(Duration::ZERO, envelope(1), 1, Urgency::Prompt);
    batch.retain(|_| false);
    assert_eq!(batch.due(), None);
}
