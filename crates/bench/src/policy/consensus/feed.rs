//! Measurements of followers of the feed: bytes, catch-up, and the age of the state that they have.

use std::time::Duration;

use bronzespoke_consensus::{feed, log};

use super::world::World;
use super::{CHANGE_BYTES, FRAME_BYTES, FRESHNESS_SOURCE, HEADER_BYTES, MISSED_CHANGES, ms, registry_delay};
use crate::measure::{Bound, Row};

/// Follower of the feed that reads from a source over one link.
struct Feed {
    now: Duration,
    follower: feed::Follower,
    bytes: u64,
}

impl Feed {
    fn new(seed: u64) -> Self {
        let follower = feed::Follower::new(feed::Config::new(seed), Duration::ZERO);
        Self {
            now: Duration::ZERO,
            follower,
            bytes: 0,
        }
    }

    fn run_until(&mut self, source: &feed::Source, done: impl Fn(&Self) -> bool) {
        let mut out = Vec::new();
        let mut input = feed::Input::Relay { to: Some(1) };
        while !done(self) {
            self.follower.step(self.now, input, &mut out);
            input = feed::Input::Tick;
            let sent = out.drain(..).find_map(|output| match output {
                feed::Output::Send { request, .. } => Some(request),
                _ => None,
            });
            let Some(request) = sent else {
                self.now = self.follower.next_wake().max(self.now + ms(1));
                continue;
            };
            let arrived = self.now + ms(12);
            let response = source.respond(arrived, Some(arrived), &request);
            self.count(&request);
            self.count(&response);
            self.now = arrived + ms(12);
            input = feed::Input::Receive { from: 1, response };
        }
    }

    fn count<T: serde::Serialize>(&mut self, value: &T) {
        let bytes = postcard::to_stdvec(value).expect("plain data is encoded").len() as u64;
        let segments = bytes.div_ceil(1_400);
        self.bytes += bytes + FRAME_BYTES + segments * HEADER_BYTES;
    }
}

fn changes(count: u64) -> feed::Source {
    let mut source = feed::Source::new(4 * 1024 * 1024);
    for index in 1..=count {
        let payload = log::Payload::Command(vec![0; CHANGE_BYTES].into());
        source.push(&log::Entry {
            position: log::Position { term: 1, index },
            payload,
        });
    }
    source
}

/// Returns the bytes per second of a follower whose source has no changes.
pub(super) fn idle_feed_bytes(seed: u64) -> f64 {
    let mut feed = Feed::new(seed);
    feed.run_until(&changes(0), |feed| feed.now >= ms(60_000));
    feed.bytes as f64 / feed.now.as_secs_f64()
}

/// Feed message in flight: arrival time, index of the hop, content.
enum InFlight {
    Request(Duration, usize, feed::Request),
    Response(Duration, usize, feed::Response),
}

/// One-way delay of each hop.
const HOPS: [Duration; 2] = [ms(12), ms(1)];

fn send(now: Duration, hop: usize, out: &mut Vec<feed::Output>, in_flight: &mut Vec<InFlight>) {
    for output in out.drain(..) {
        if let feed::Output::Send { request, .. } = output {
            in_flight.push(InFlight::Request(now + HOPS[hop], hop, request));
        }
    }
}

/// Returns the maximum age of the state, in seconds, on an idle root group: at a voter, at a relay 12 ms away that reads
/// from it, and at a VM 1 ms away that reads from the relay. At most `lost` responses to the relay are lost, 10 s apart.
fn max_freshness_ages(seed: u64, lost: u64) -> [f64; 3] {
    let mut world = World::new(seed, 3, None, registry_delay);
    let leader = world.wait_for_leader();
    let voter = if leader == 3 { 2 } else { 3 };
    let begin = world.now;
    let source = feed::Source::new(1);
    let mut hops = [1, 2].map(|hop| feed::Follower::new(feed::Config::new(seed + hop), begin));
    let mut in_flight = Vec::new();
    let mut out = Vec::new();
    let mut maximum = [0.0_f64; 3];
    let mut responses = 0;
    for hop in &mut hops {
        hop.step(begin, feed::Input::Relay { to: Some(1) }, &mut out);
    }
    out.clear();
    while world.now < begin + ms(40_000) {
        world.run_for(ms(1));
        let now = world.now;
        for message in std::mem::take(&mut in_flight) {
            match message {
                InFlight::Request(at, hop, request) if at <= now => {
                    let freshness = if hop == 0 {
                        world.replicas[&voter].freshness(now)
                    } else {
                        hops[0].freshness()
                    };
                    let response = source.respond(now, freshness, &request);
                    responses += u64::from(hop == 0);
                    let drop = hop == 0 && responses % 20 == 0 && responses / 20 <= lost;
                    if !drop {
                        in_flight.push(InFlight::Response(now + HOPS[hop], hop, response));
                    }
                }
                InFlight::Response(at, hop, response) if at <= now => {
                    hops[hop].step(now, feed::Input::Receive { from: 1, response }, &mut out);
                    send(now, hop, &mut out, &mut in_flight);
                }
                pending => in_flight.push(pending),
            }
        }
        for (hop, follower) in hops.iter_mut().enumerate() {
            follower.step(now, feed::Input::Tick, &mut out);
            send(now, hop, &mut out, &mut in_flight);
        }
        if now > begin + ms(5_000) {
            let times = [
                world.replicas[&voter].freshness(now),
                hops[0].freshness(),
                hops[1].freshness(),
            ];
            for (maximum, freshness) in maximum.iter_mut().zip(times) {
                let age = freshness.map_or(f64::INFINITY, |freshness| {
                    now.saturating_sub(freshness).as_secs_f64()
                });
                *maximum = maximum.max(age);
            }
        }
    }
    maximum
}

/// Measures the age of the state at each hop, without loss and with single lost responses.
pub(super) fn freshness_age(seed: u64) -> Vec<Row> {
    let bound = Bound::AtMost(3.0);
    let [voter, relay, follower] = max_freshness_ages(seed, 0);
    let [_, _, after_loss] = max_freshness_ages(seed, 2);
    vec![
        Row::new(
            "consensus.basis_age.voter.worst",
            voter,
            "s",
            bound,
            FRESHNESS_SOURCE,
        ),
        Row::new(
            "consensus.basis_age.relay.worst",
            relay,
            "s",
            bound,
            FRESHNESS_SOURCE,
        ),
        Row::new(
            "consensus.basis_age.follower.worst",
            follower,
            "s",
            bound,
            FRESHNESS_SOURCE,
        ),
        Row::new(
            "consensus.basis_age.follower.one_loss",
            after_loss,
            "s",
            bound,
            FRESHNESS_SOURCE,
        ),
    ]
}

/// Returns the seconds and the bytes until a follower 12 ms away has received the changes that it missed.
pub(super) fn catch_up(seed: u64) -> (f64, f64) {
    let mut feed = Feed::new(seed);
    feed.run_until(&changes(MISSED_CHANGES), |feed| {
        feed.follower.applied() >= MISSED_CHANGES
    });
    (feed.now.as_secs_f64(), feed.bytes as f64)
}
