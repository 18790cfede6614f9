//! Prints the timeline, measures, violated guarantees and counters at the end of the demo.

use bronzespoke_model::event;

use crate::demo::Demo;

/// Kinds of work, in the order of the table of waiting times.
const KINDS: [&str; 8] = [
    "keyed request",
    "open request",
    "non-repeatable request",
    "batch job",
    "service job",
    "gang job",
    "urgent job",
    "job of a lost VM",
];

/// Prints the summary, without the timeline if `quiet`. Returns whether all guarantees held.
pub fn print(demo: &Demo, quiet: bool) -> bool {
    let events = demo.cell.events();
    if !quiet {
        print_timeline(&events);
    }
    print_measures(demo, &events);
    let totals = demo.fleet.ledger.totals();
    let mut holds = demo.counters.holds();
    println!(
        "Workers: {} runs started, {} at the same time, {} in two places, {} over capacity, {} repeated after success.",
        totals.starts, totals.peak_running, totals.overlapping, totals.over_capacity, totals.reruns
    );
    let doubled = demo.counters.doubled + totals.overlapping + totals.reruns;
    holds &= totals.overlapping == 0 && totals.over_capacity == 0 && totals.reruns == 0;
    for guarantee in &demo.counters.violations {
        println!("BROKEN: {guarantee}");
    }
    println!(
        "demo: accepted={} completed={} lost={} doubled={doubled}",
        demo.counters.accepted,
        demo.counters.completed,
        demo.counters.lost()
    );
    holds
}

fn print_timeline(events: &[event::Event]) {
    println!("Timeline over all processes:");
    let Some(first) = events.first() else {
        return;
    };
    for event in events {
        let at = event.stamp.micros.saturating_sub(first.stamp.micros) / 1000;
        println!("  {at:>6} ms  {:<4} {:?}", event.process, event.kind);
    }
}

fn print_measures(demo: &Demo, events: &[event::Event]) {
    println!(
        "{:<24} {:>6} {:>12} {:>12}",
        "waiting time", "count", "median ms", "largest ms"
    );
    for kind in KINDS {
        if let Some((count, median, largest)) = demo.counters.wait_summary(kind) {
            let (median, largest) = (median.as_secs_f64() * 1000.0, largest.as_secs_f64() * 1000.0);
            println!("{kind:<24} {count:>6} {median:>12.1} {largest:>12.1}");
        }
    }
    if let Some(packing) = demo.counters.packing {
        println!(
            "Packing: {:.1}% of the processors of a full zone in use while work waited.",
            packing * 100.0
        );
    }
    for (team, entitled, got) in &demo.counters.shares {
        println!(
            "Share of team {team}: {:.1}% of what was in use, {:.1}% by weight.",
            got * 100.0,
            entitled * 100.0
        );
    }
    let seconds = events.first().zip(events.last()).map_or(1.0, |(first, last)| {
        (last.stamp.micros.saturating_sub(first.stamp.micros) as f64 / 1e6).max(1.0)
    });
    let bytes = demo.cell.sent_bytes() as f64;
    let daemons = demo.cell.running().count().max(1) as f64;
    println!(
        "Control cost: {:.0} bytes per second and daemon, sent.",
        bytes / seconds / daemons
    );
}
