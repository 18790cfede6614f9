//! Policy measurements of `consensus`.
//!
//! Replicas exchange encoded messages over links with a fixed one-way delay, and their storage syncs in a fixed time.
//! Byte counts cover the encoded message and its frame. The `wire` rows add the TCP and IP headers of one segment for
//! each message, which is the worst case.

mod feed;
mod world;

use std::time::Duration;

use bronzespoke_consensus::replica::Input;
use bronzespoke_model::id;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::measure::{Bound, Length, Row};
use world::World;

/// Bytes of the length prefix and the group id of a frame.
const FRAME_BYTES: u64 = 6;
/// Bytes of the IPv4 and TCP headers with the timestamp option.
const HEADER_BYTES: u64 = 52;
const SYNC_TIME: Duration = Duration::from_millis(1);
const ENTRY_BYTES: usize = 12;
/// Assumed size of a configuration change; the design gives none.
const CHANGE_BYTES: usize = 200;
const MISSED_CHANGES: u64 = 1_000;
/// Starts per second in one availability zone: 2,500 per second in the cell, spread over 17 zones.
const STARTS_PER_SECOND: u64 = 150;

const FRESHNESS_SOURCE: &str = "design 2.2: key freshness";
const CONTROL_BYTES_SOURCE: &str = "design 1.7: 24 KB/s control";
const IN_FORCE_SOURCE: &str = "design 1.2 I10: 11 s";
const NO_BOUND_SOURCE: &str = "no figure on the page";

/// Runs the measurements of `consensus` and returns their rows.
pub fn rows(seed: u64, length: Length) -> Vec<Row> {
    let trials = match length {
        Length::Short => 60,
        Length::Long => 600,
    };
    let mut rows = failover(seed, trials);
    for delay in [1, 12, 3] {
        let name = format!("consensus.commit_latency.one_way_{delay}ms");
        rows.push(Row::new(
            name,
            commit_latency(seed, delay),
            "ms",
            Bound::None,
            NO_BOUND_SOURCE,
        ));
    }
    for batch in [0, 1, 2, 10] {
        let (message, wire) = bytes_per_start(seed, batch);
        let name = format!("consensus.bytes_per_start.batch_{batch}ms");
        rows.push(Row::new(
            format!("{name}.message"),
            message,
            "B",
            Bound::None,
            NO_BOUND_SOURCE,
        ));
        rows.push(Row::new(
            format!("{name}.wire"),
            wire,
            "B",
            Bound::None,
            NO_BOUND_SOURCE,
        ));
    }
    let budget = Bound::AtMost(24_000.0);
    rows.push(Row::new(
        "consensus.idle.follower.wire",
        idle_bytes(seed),
        "B/s",
        budget,
        CONTROL_BYTES_SOURCE,
    ));
    rows.push(Row::new(
        "consensus.idle.feed.wire",
        feed::idle_feed_bytes(seed),
        "B/s",
        budget,
        CONTROL_BYTES_SOURCE,
    ));
    rows.extend(catch_up(seed));
    rows.extend(feed::freshness_age(seed));
    rows
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the one-way delay in the registry's current topology: two zones 1 ms apart, further zones 12 ms away.
fn registry_delay(left: id::VmId, right: id::VmId) -> Duration {
    if left <= 2 && right <= 2 { ms(1) } else { ms(12) }
}

/// Measures the time from the crash of a leader until another replica holds the lease, and so commits and serves reads.
fn failover(seed: u64, trials: u64) -> Vec<Row> {
    let mut times = Vec::new();
    for trial in 0..trials {
        let mut world = World::new(seed.wrapping_add(trial), 3, None, registry_delay);
        let leader = world.wait_for_leader();
        world.run_for(ms(500 + (trial * 37) % 100));
        world.down.push(leader);
        let crash = world.now;
        world.wait_for_leader();
        times.push(world.now.saturating_sub(crash).as_secs_f64());
    }
    times.sort_by(f64::total_cmp);
    let bound = Bound::AtMost(3.0);
    vec![
        Row::new(
            "consensus.leaderless.median",
            times[times.len() / 2],
            "s",
            bound,
            FRESHNESS_SOURCE,
        ),
        Row::new(
            "consensus.leaderless.worst",
            times[times.len() - 1],
            "s",
            bound,
            FRESHNESS_SOURCE,
        ),
    ]
}

/// Returns the median time in milliseconds from a proposal to its commit on the leader, with a sync time of 1 ms.
fn commit_latency(seed: u64, delay: u64) -> f64 {
    let link: fn(id::VmId, id::VmId) -> Duration = match delay {
        1 => |_, _| ms(1),
        3 => |_, _| ms(3),
        _ => |_, _| ms(12),
    };
    let mut world = World::new(seed, 3, None, link);
    let leader = world.wait_for_leader();
    let mut times = Vec::new();
    for proposal in 0..200 {
        let begin = world.now;
        world.input(
            leader,
            Input::Propose {
                id: proposal,
                data: vec![0; ENTRY_BYTES].into(),
            },
        );
        world.run_for(ms(97));
        let committed = world.committed.iter().find(|(id, _)| *id == proposal);
        times.push(committed.map_or(f64::INFINITY, |(_, at)| {
            at.saturating_sub(begin).as_secs_f64() * 1e3
        }));
    }
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Returns the bytes per committed start on one follower's link, in both directions together, without and with TCP and
/// IP headers.
fn bytes_per_start(seed: u64, batch: u64) -> (f64, f64) {
    const SECONDS: u64 = 20;
    let mut world = World::new(seed, 3, Some(ms(batch)), |_, _| ms(1));
    let leader = world.wait_for_leader();
    world.run_for(ms(500));
    world.traffic.clear();
    let starts = SECONDS * STARTS_PER_SECOND;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut remaining = starts;
    while remaining > 0 {
        // A scheduling round proposes its starts in one burst.
        let burst = rng.random_range(1..=6).min(remaining);
        for _ in 0..burst {
            world.input(
                leader,
                Input::Propose {
                    id: remaining,
                    data: vec![0; ENTRY_BYTES].into(),
                },
            );
            remaining -= 1;
        }
        world.run_for(Duration::from_micros(burst * 1_000_000 / STARTS_PER_SECOND));
    }
    let follower = if leader == 1 { 2 } else { 1 };
    let (bytes, messages) = world.between(leader, follower);
    let committed = world.committed.len() as f64;
    (
        bytes as f64 / committed,
        (bytes + messages * HEADER_BYTES) as f64 / committed,
    )
}

/// Returns the bytes per second on an idle follower's link, in both directions together.
fn idle_bytes(seed: u64) -> f64 {
    let mut world = World::new(seed, 3, None, registry_delay);
    let leader = world.wait_for_leader();
    world.run_for(ms(1_000));
    world.traffic.clear();
    world.run_for(ms(10_000));
    let follower = if leader == 1 { 2 } else { 1 };
    let (bytes, messages) = world.between(leader, follower);
    (bytes + messages * HEADER_BYTES) as f64 / 10.0
}

/// Measures the bytes and the time until a member, and a follower of the feed, has received the changes that it missed
/// over a link of 12 ms.
fn catch_up(seed: u64) -> Vec<Row> {
    let mut world = World::new(seed, 3, None, |_, _| ms(12));
    let leader = world.wait_for_leader();
    let missing = if leader == 3 { 2 } else { 3 };
    world.down.push(missing);
    for change in 0..MISSED_CHANGES {
        world.input(
            leader,
            Input::Propose {
                id: change,
                data: vec![0; CHANGE_BYTES].into(),
            },
        );
        world.run_for(ms(5));
    }
    world.run_for(ms(1_000));
    world.traffic.clear();
    world.down.clear();
    let begin = world.now;
    let last = world.replicas[&leader].status().commit;
    while world.replicas[&missing].status().applied < last {
        world.run_for(ms(1));
    }
    let time = world.now.saturating_sub(begin).as_secs_f64();
    let (bytes, messages) = world.between(leader, missing);
    let wire = bytes + bytes.div_ceil(1_400).max(messages) * HEADER_BYTES;
    let (feed_time, feed_wire) = feed::catch_up(seed);
    let bound = Bound::AtMost(11.0);
    vec![
        Row::new(
            "consensus.catch_up_1000.member.time",
            time,
            "s",
            bound,
            IN_FORCE_SOURCE,
        ),
        Row::new(
            "consensus.catch_up_1000.member.wire",
            wire as f64,
            "B",
            Bound::None,
            NO_BOUND_SOURCE,
        ),
        Row::new(
            "consensus.catch_up_1000.feed.time",
            feed_time,
            "s",
            bound,
            IN_FORCE_SOURCE,
        ),
        Row::new(
            "consensus.catch_up_1000.feed.wire",
            feed_wire,
            "B",
            Bound::None,
            NO_BOUND_SOURCE,
        ),
    ]
}
