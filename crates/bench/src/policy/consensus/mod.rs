//! Policy measurements of `consensus`.
//!
//! Replicas exchange encoded messages over links with a fixed one-way delay and store with a fixed sync time. Bytes
//! are those of the encoded message with its frame, and for the `wire` rows with the TCP and IP headers of one segment
//! for each message, which is the worst case.

mod feed;
mod world;

use std::time::Duration;

use bronzespoke_consensus::replica::Input;
use bronzespoke_model::id;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::measure::{Bound, Length, Row};
use world::World;

/// Length prefix and group of a frame.
const FRAME_BYTES: u64 = 6;
/// IPv4 and TCP headers with timestamps.
const HEADER_BYTES: u64 = 52;
const SYNC: Duration = Duration::from_millis(1);
const ENTRY_BYTES: usize = 12;
/// A configuration change; an assumption, the page gives no size.
const CHANGE_BYTES: usize = 200;
const MISSED_CHANGES: u64 = 1_000;
/// Starts of one zone: 2,500 a second over 17 availability zones.
const STARTS_PER_SECOND: u64 = 150;

const FRESHNESS: &str = "design 2.2: key freshness";
const CONTROL_BYTES: &str = "design 1.7: 24 KB/s control";
const IN_FORCE: &str = "design 1.2 I10: 11 s";
const NO_BOUND: &str = "no figure on the page";

/// Returns the rows of this part.
pub fn rows(seed: u64, length: Length) -> Vec<Row> {
    let trials = match length {
        Length::Short => 60,
        Length::Long => 600,
    };
    let mut rows = leaderless(seed, trials);
    for delay in [1, 12, 3] {
        let name = format!("consensus.commit_latency.one_way_{delay}ms");
        rows.push(Row::new(
            name,
            commit_latency(seed, delay),
            "ms",
            Bound::None,
            NO_BOUND,
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
            NO_BOUND,
        ));
        rows.push(Row::new(format!("{name}.wire"), wire, "B", Bound::None, NO_BOUND));
    }
    let budget = Bound::AtMost(24_000.0);
    rows.push(Row::new(
        "consensus.idle.follower.wire",
        idle_bytes(seed),
        "B/s",
        budget,
        CONTROL_BYTES,
    ));
    rows.push(Row::new(
        "consensus.idle.feed.wire",
        feed::idle_feed_bytes(seed),
        "B/s",
        budget,
        CONTROL_BYTES,
    ));
    rows.extend(catch_up(seed));
    rows.extend(feed::basis_age(seed));
    rows
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Two zones 1 ms apart, further ones 12 ms away, as the registry's topology today.
fn registry(left: id::VmId, right: id::VmId) -> Duration {
    if left <= 2 && right <= 2 { ms(1) } else { ms(12) }
}

/// Time from the crash of a leader to a leader that holds a lease, hence commits and serves reads.
fn leaderless(seed: u64, trials: u64) -> Vec<Row> {
    let mut times = Vec::new();
    for trial in 0..trials {
        let mut world = World::new(seed.wrapping_add(trial), 3, None, registry);
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
            FRESHNESS,
        ),
        Row::new(
            "consensus.leaderless.worst",
            times[times.len() - 1],
            "s",
            bound,
            FRESHNESS,
        ),
    ]
}

/// Median time from a proposal to its commit on the leader, with a store that syncs in 1 ms.
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

/// Bytes of one follower's link, both directions, for each committed start.
fn bytes_per_start(seed: u64, batch: u64) -> (f64, f64) {
    const SECONDS: u64 = 20;
    let mut world = World::new(seed, 3, Some(ms(batch)), |_, _| ms(1));
    let leader = world.wait_for_leader();
    world.run_for(ms(500));
    world.traffic.clear();
    let starts = SECONDS * STARTS_PER_SECOND;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut left = starts;
    while left > 0 {
        // Starts come in the bursts of scheduling rounds.
        let burst = rng.random_range(1..=6).min(left);
        for _ in 0..burst {
            world.input(
                leader,
                Input::Propose {
                    id: left,
                    data: vec![0; ENTRY_BYTES].into(),
                },
            );
            left -= 1;
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

/// Bytes of an idle follower's link, both directions, in a second.
fn idle_bytes(seed: u64) -> f64 {
    let mut world = World::new(seed, 3, None, registry);
    let leader = world.wait_for_leader();
    world.run_for(ms(1_000));
    world.traffic.clear();
    world.run_for(ms(10_000));
    let follower = if leader == 1 { 2 } else { 1 };
    let (bytes, messages) = world.between(leader, follower);
    (bytes + messages * HEADER_BYTES) as f64 / 10.0
}

/// Bytes and time until a member, and a follower of the feed, has the changes that it missed, 12 ms away.
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
        Row::new("consensus.catch_up_1000.member.time", time, "s", bound, IN_FORCE),
        Row::new(
            "consensus.catch_up_1000.member.wire",
            wire as f64,
            "B",
            Bound::None,
            NO_BOUND,
        ),
        Row::new(
            "consensus.catch_up_1000.feed.time",
            feed_time,
            "s",
            bound,
            IN_FORCE,
        ),
        Row::new(
            "consensus.catch_up_1000.feed.wire",
            feed_wire,
            "B",
            Bound::None,
            NO_BOUND,
        ),
    ]
}
